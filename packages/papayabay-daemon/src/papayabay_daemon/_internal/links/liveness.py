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
    is_delayed : bool
        Whether this process paused before the current check.
    """

    def __init__(self, timing, moment):
        self.period = timing.link_heartbeat_ms / 1000
        self.timeout = timing.link_silence_ms / 1000
        self.unresponsive_after = timing.link_doubt_ms / 1000
        self.last_check = moment
        self.is_delayed = False

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
        self.begin_check(moment)
        return self.exceeds(self.timeout, moment, last_received)

    def begin_check(self, moment):
        """Note the time of a check; all links are checked at the same one."""
        if moment != self.last_check:
            delay = moment - self.last_check - self.period
            self.is_delayed = delay >= self.period
            self.last_check = moment

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
