"""Estimates how long a frame was delayed, without synchronized clocks."""

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import OFFSET_BUCKET_US


def now_us():
    """Return this machine's clock in whole microseconds."""
    return int(now() * 1_000_000)


class ClockOffset:
    """The smallest recent difference between the two clocks of a link.

    For a frame that waited in a paused process or a full socket, the
    difference between the receiver's clock and the sender's stamp is larger
    than for the fastest frame. The caller has waited for that excess too, but
    the remaining time in the frame can't include it, since it was written
    before the wait.

    The minimum is kept in two buckets, the older of which is dropped when a
    new one starts, because the clocks may drift apart. Only one bucket is
    replaced at a time: otherwise the delayed frames that are read after a
    pause of this process would replace both and their delay would pass for
    normal.
    """

    __slots__ = ("current", "previous", "rotate_at")

    def __init__(self):
        self.current = None
        self.previous = None
        self.rotate_at = 0

    @property
    def smallest(self):
        """The offset in microseconds, or None before the first stamp."""
        if self.previous is None:
            return self.current
        return min(self.current, self.previous)

    def observe(self, own_us, stamp_us):
        """Record a frame's stamp and return the frame's excess delay.

        Parameters
        ----------
        own_us, stamp_us : int
            The receiver's and the sender's clock, microseconds.

        Returns
        -------
        float
            Seconds longer than the fastest recent frame; never negative.
        """
        difference = own_us - stamp_us
        if self.current is None:
            self.current = difference
            self.rotate_at = own_us + OFFSET_BUCKET_US
        elif own_us >= self.rotate_at:
            self.previous = self.current
            self.current = difference
            self.rotate_at = own_us + OFFSET_BUCKET_US
        elif difference < self.current:
            self.current = difference
        # As `smallest`, which costs two calls more for each received call.
        smallest, previous = self.current, self.previous
        if previous is not None and previous < smallest:
            smallest = previous
        return (difference - smallest) / 1_000_000
