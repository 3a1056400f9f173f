"""Decides when a peer is unresponsive and when its link has timed out."""


class LivenessDetector:
    """Checks, once per heartbeat period, how long peers have not answered.

    Parameters
    ----------
    timing : TimingSettings
    moment : float
        Now, on `clock.now()`.

    Attributes
    ----------
    period, timeout, unresponsive_after : float
        Seconds between checks, and seconds without an answer after which a
        link has timed out or its peer is unresponsive.
    delay : float
        Seconds that the current check is late.
    """

    def __init__(self, timing, moment):
        self.period = timing.link_heartbeat_ms / 1000
        self.timeout = timing.link_silence_ms / 1000
        self.unresponsive_after = timing.link_doubt_ms / 1000
        self.last_check = moment
        self.delay = 0.0

    def has_timed_out(self, moment, last_received):
        """Return whether the link is to be closed at this check.

        After a pause of this process every peer seems to have been silent,
        while their frames wait unread in this process's sockets. So no link
        times out at a check that is late by a period or more: the frames are
        read before the next check. Otherwise a pause would close all healthy
        links.

        Parameters
        ----------
        moment, last_received : float
            Now, the same for all links that are checked together, and when
            something was last received from the peer.
        """
        if moment != self.last_check:
            self.delay = moment - self.last_check - self.period
            self.last_check = moment
        return self.exceeds(self.timeout, moment, last_received)

    @property
    def is_delayed(self):
        """Whether this process paused before the current check."""
        return self.delay >= self.period

    def is_unresponsive(self, moment, last_received):
        """Return whether new calls should go to other peers for now.

        To be called after `has_timed_out`, for the same check. A link times
        out late, since closing it leaves the outcome of its calls unknown. A
        peer counts as unresponsive earlier, since new calls lose nothing by
        going elsewhere.
        """
        return self.exceeds(self.unresponsive_after, moment, last_received)

    def exceeds(self, seconds, moment, last_received):
        """Return whether so long passed without a pause of this process."""
        return moment - last_received >= seconds and not self.is_delayed
