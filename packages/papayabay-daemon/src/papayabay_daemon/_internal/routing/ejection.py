"""Upstreams that fail again and again, left out for a while."""

from papayabay_core.errors import ErrorKind

FAILURE_POINTS = {
    ErrorKind.LINK_UNAVAILABLE: 2,
    ErrorKind.LINK_LOST: 2,
    ErrorKind.TARGET_UNREACHABLE: 2,
    ErrorKind.TARGET_LOST: 2,
    ErrorKind.TARGET_REJECTED: 2,
    # Half as much: a call may also expire through services further down.
    ErrorKind.EXPIRED: 1,
}
EJECTION_POINTS = 5
"""Points at which an upstream is left out: three failures in a row, or five
calls in a row that expired. Two may be chance on a link that was just lost."""
POINTS_AFTER_EJECTION = EJECTION_POINTS - 2
"""One more failure then ejects it again."""
FIRST_EJECTION_SECONDS = 1.0
"""What a restart of a process takes; longer would waste one that is back."""
LONGEST_EJECTION_SECONDS = 30.0
"""An upstream that fails for good costs three calls in this time."""
PENALTY_SECONDS = 2.0
"""How long a failure speaks against an upstream: as long as it takes until a
peer that went silent is given up."""


class Ejection:
    """Consecutive failures of one upstream and what follows from them."""

    __slots__ = ("duration", "failed_at", "out", "points", "until")

    def __init__(self):
        self.points = 0
        self.failed_at = 0.0
        self.until = 0.0
        self.duration = 0.0
        self.out = False

    def active(self, at):
        """Return whether the upstream is left out now."""
        return at < self.until

    def penalty(self, at):
        """Return by how much recent failures make it a worse choice.

        It ends with time: as long as it is there, the upstream loses each
        draw, and so would get no call by which it could show that it works.
        """
        freshness = 1.0 - (at - self.failed_at) / PENALTY_SECONDS
        return self.points * freshness if freshness > 0.0 else 0.0

    def succeed(self, at):
        """Note an answer; long after an ejection, forget its length."""
        self.points = 0
        if self.duration and at >= self.until + self.duration:
            self.duration = 0.0

    def give_chance(self):
        """End an ejection; a single failure brings the next, longer one."""
        if self.duration:
            self.until = 0.0
            self.points = POINTS_AFTER_EJECTION

    def fail(self, points, at):
        """Note a failure; return whether ejecting is due."""
        self.failed_at = at
        # One broken link fails all of its calls at once; without the cap,
        # that burst would outweigh any later good sign.
        self.points = min(EJECTION_POINTS, self.points + points)
        return self.points >= EJECTION_POINTS

    def eject(self, at):
        """Leave the upstream out, twice as long as the last time.

        Afterwards a single failure ejects it again.
        """
        doubled = 2.0 * self.duration or FIRST_EJECTION_SECONDS
        self.duration = min(LONGEST_EJECTION_SECONDS, doubled)
        self.until = at + self.duration
        self.out = True
        self.points = POINTS_AFTER_EJECTION


def may_eject(upstreams, at, max_share):
    """Return whether one more upstream may be left out.

    When most upstreams fail, the cause is seldom the upstreams themselves.
    Without the cap, a shared fault would leave the service with none at
    all; one would see NO_UPSTREAM while targets are there.

    Parameters
    ----------
    upstreams : iterable of Upstream
        All that this daemon chooses among.
    at : float
    max_share : float
    """
    states = [upstream.ejection.active(at) for upstream in upstreams]
    most = min(int(max_share * len(states)), len(states) - 1)
    return sum(states) < most
