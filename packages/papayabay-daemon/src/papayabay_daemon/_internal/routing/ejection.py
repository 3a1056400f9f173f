"""Outlier ejection: upstreams that keep failing get no calls for a while."""

from papayabay_core.errors import ErrorKind

FAILURE_POINTS = {
    ErrorKind.LINK_UNAVAILABLE: 2,
    ErrorKind.LINK_LOST: 2,
    ErrorKind.TARGET_UNREACHABLE: 2,
    ErrorKind.TARGET_LOST: 2,
    ErrorKind.TARGET_REJECTED: 2,
    # Half as many: a call may also expire because of a service further down.
    ErrorKind.EXPIRED: 1,
}
EJECTION_POINTS = 5
"""Points at which an upstream is ejected: three failures in a row, or five
calls in a row that expired. Two failures are not enough, as both may be due to
a link that was just lost."""
POINTS_AFTER_EJECTION = EJECTION_POINTS - 2
"""Points from which a single failure ejects the upstream again."""
FIRST_EJECTION_SECONDS = 1.0
"""The time that a process takes to restart; a longer ejection would leave the
restarted upstream idle."""
MAX_EJECTION_SECONDS = 30.0
"""An upstream that is down for good costs three failed calls in this time."""
PENALTY_SECONDS = 2.0
"""Time over which the penalty of a failure decays. It equals the time after
which a link to a silent peer is closed."""


class Ejection:
    """Consecutive failures of one upstream, and its ejection.

    Attributes
    ----------
    points : int
        Sum of `FAILURE_POINTS` since the last answer.
    failed_at : float
        Time of the latest failure.
    until : float
        Time at which the latest ejection ends.
    duration : float
        Length of the latest ejection, seconds; 0 before the first, and again
        after an answer that comes long after the ejection.
    awaiting_answer : bool
        Whether no answer has come since the latest ejection.
    """

    __slots__ = ("awaiting_answer", "duration", "failed_at", "points", "until")

    def __init__(self):
        self.points = 0
        self.failed_at = 0.0
        self.until = 0.0
        self.duration = 0.0
        self.awaiting_answer = False

    def active(self, at):
        """Return whether the upstream is ejected now."""
        return at < self.until

    def penalty(self, at):
        """Return the amount by which recent failures raise the score.

        It decays with time. An upstream with a penalty loses each comparison,
        so it would otherwise get no call that could show that it works again.
        """
        freshness = 1.0 - (at - self.failed_at) / PENALTY_SECONDS
        return self.points * freshness if freshness > 0.0 else 0.0

    def succeed(self, at):
        """Record an answer; reset the duration long after an ejection."""
        self.points = 0
        if self.duration and at >= self.until + self.duration:
            self.duration = 0.0

    def end_early(self):
        """End an ejection; a single failure starts the next, longer one."""
        if self.duration:
            self.until = 0.0
            self.points = POINTS_AFTER_EJECTION

    def fail(self, points, at):
        """Record a failure; return whether the upstream is to be ejected."""
        self.failed_at = at
        # A broken link fails all of its calls at once. Without the cap, that
        # burst would leave a penalty that outweighs all other factors.
        self.points = min(EJECTION_POINTS, self.points + points)
        return self.points >= EJECTION_POINTS

    def eject(self, at):
        """Eject the upstream for twice as long as the last time.

        Afterwards a single failure ejects it again.
        """
        doubled = 2.0 * self.duration or FIRST_EJECTION_SECONDS
        self.duration = min(MAX_EJECTION_SECONDS, doubled)
        self.until = at + self.duration
        self.awaiting_answer = True
        self.points = POINTS_AFTER_EJECTION


def may_eject(upstreams, at, max_share):
    """Return whether one more upstream may be ejected.

    When most upstreams fail, the cause is rarely the upstreams themselves.
    Without the limit, a shared fault would eject all of them, and calls would
    fail with NO_UPSTREAM although the targets are up.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All upstreams that this daemon chooses among.
    at : float
    max_share : float
        Largest share of them that may be ejected at once.
    """
    states = [upstream.ejection.active(at) for upstream in upstreams]
    most = min(int(max_share * len(states)), len(states) - 1)
    return sum(states) < most
