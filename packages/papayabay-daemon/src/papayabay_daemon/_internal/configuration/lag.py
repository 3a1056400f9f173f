"""Tracks newer versions that are known of but not yet held."""

import logbook

LATE_SECONDS = 1.0
"""Time without a known newer version after which it is logged as late."""
log = logbook.Logger("papayabay.configuration")


class VersionLag:
    """How long this daemon has known of a newer version than it holds.

    Parameters
    ----------
    version : VersionInForce
    clock : callable

    Attributes
    ----------
    offered : int
        Highest version that a peer offered.
    since : float or None
        When a newer version than the own one was first offered; None while
        the own one is the newest that is known.
    """

    def __init__(self, version, clock):
        self.version = version
        self.clock = clock
        self.offered = 0
        self.since = None
        self.is_logged = False

    def seconds(self):
        """Return how long a newer version has been known, or 0."""
        return 0.0 if self.since is None else self.clock() - self.since

    def record_offer(self, version):
        """Record that a peer offers a version above the own one."""
        self.offered = max(self.offered, version)
        if self.since is None:
            self.since = self.clock()

    def record_failure(self, name, reason, retry_seconds):
        """Record a failed attempt to fetch a newer version from a peer.

        Parameters
        ----------
        name : str
            The peer.
        reason : str
        retry_seconds : float
            Delay of the next attempt.
        """
        if self.is_logged or self.seconds() < LATE_SECONDS:
            return
        self.is_logged = True
        log.warning(
            "version {} has been offered for {:.1f} s and is not here; the last "
            "attempt, at {}, failed: {}; the next one follows in {:.2f} s",
            self.offered,
            self.seconds(),
            name,
            reason,
            retry_seconds,
        )

    def record_version(self):
        """Record that the own version has changed."""
        if self.since is None or self.version.latest.version < self.offered:
            return
        if self.is_logged:
            log.notice(
                "version {} is here, {:.1f} s after a newer one was first offered",
                self.version.latest.version,
                self.seconds(),
            )
        self.since = None
        self.is_logged = False
