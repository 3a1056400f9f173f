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
    busy_interval : float
        Seconds without received data before a heartbeat is due on a link
        whose peer has something to answer.
    is_delayed : bool
        Whether this process paused before the current check.
    """

    def __init__(self, timing, moment):
        self.period = timing.link_heartbeat_ms / 1000
        self.timeout = timing.link_silence_ms / 1000
        self.unresponsive_after = timing.link_doubt_ms / 1000
        self.busy_interval = min(self.unresponsive_after, self.timeout) / 2
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
        if moment != self.last_check:
            delay = moment - self.last_check - self.period
            self.is_delayed = delay >= self.period
            self.last_check = moment
        return moment - last_received >= self.timeout and not self.is_delayed
