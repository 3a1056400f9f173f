"""When a link counts as silent."""


class SilenceWatch:
    """Judges, once per heartbeat period, whether a peer went silent.

    Parameters
    ----------
    timing : TimingSettings
    moment : float
        Now, on `clock.now()`.
    """

    def __init__(self, timing, moment):
        self.period = timing.link_heartbeat_ms / 1000
        self.bound = timing.link_silence_ms / 1000
        self.doubt = timing.link_doubt_ms / 1000
        self.last_beat = moment
        self.late = 0.0

    def is_silent(self, moment, last_heard):
        """Return whether the link is to be given up at this beat.

        After a pause of this process every peer seems to have been silent,
        while their frames wait unread in our own sockets. A beat that comes
        late by a period or more therefore only leads to one more period, in
        which they are read; otherwise a pause would cut all healthy links.

        Parameters
        ----------
        moment, last_heard : float
            Now, the same for all links that are looked at together, and when
            something last came from the peer.
        """
        if moment != self.last_beat:
            self.late = moment - self.last_beat - self.period
            self.last_beat = moment
        return self.quiet_for(self.bound, moment, last_heard)

    @property
    def is_late(self):
        """Whether this process paused before the present beat."""
        return self.late >= self.period

    def is_doubtful(self, moment, last_heard):
        """Return whether new calls had better go elsewhere for now.

        To be asked after `is_silent`, for the same beat. A link is given up
        late, since that leaves the end of its calls unknown; a call that
        need not go there loses nothing by an early doubt.
        """
        return self.quiet_for(self.doubt, moment, last_heard)

    def quiet_for(self, seconds, moment, last_heard):
        """Whether so long passed, and not because this process paused."""
        return moment - last_heard >= seconds and not self.is_late
