"""What is known of targets' ends and of the requests at work in them."""

from dataclasses import dataclass, field

MINUTE_S = 60.0
HOUR_S = 3_600.0
TERMS_S = {
    2: MINUTE_S,
    3: 10 * MINUTE_S,
    4: HOUR_S,
    5: 6 * HOUR_S,
}
"""How long a request is held back, seconds, by the targets that ended under
it. Each time it is let through again it may end one more."""
LONGEST_TERM_S = 24 * HOUR_S


@dataclass(frozen=True, slots=True)
class EndRecord:
    """A target's end.

    Attributes
    ----------
    id : bytes
        Names the process that ended, for good.
    suspects : frozenset of bytes
        Fingerprints of the calls at work in it.
    retested : frozenset of bytes
        Those of them that it was handed after another end which they may have
        caused. Calls that merely were at work in several targets when these
        ended together are none of them.
    noted_at : float
        Seconds on the daemon's own clock; moments don't travel, ages do.
    """

    id: bytes
    suspects: frozenset[bytes]
    retested: frozenset[bytes]
    noted_at: float


@dataclass(slots=True)
class Verdict:
    """That a request is held back.

    Ends are only ever added, as are those that it was cleared of, so that
    daemons which merge what they know come to the same in any order.

    Attributes
    ----------
    ends : set of bytes
        Targets that ended under it.
    cleared : set of bytes
        Those of them that it is no longer blamed for, since it was answered or
        an operator said so.
    since : float
        When the latest end was noted, on the daemon's own clock.
    """

    ends: set[bytes] = field(default_factory=set)
    cleared: set[bytes] = field(default_factory=set)
    since: float = 0.0

    @property
    def open_ends(self):
        """How many ends it is blamed for."""
        return len(self.ends - self.cleared)

    @property
    def term_s(self):
        """For how long it is held back, seconds; 0 for one that was lifted."""
        if not self.open_ends:
            return 0.0
        return TERMS_S.get(max(self.open_ends, min(TERMS_S)), LONGEST_TERM_S)

    @property
    def ends_at(self):
        """When it lets the request through again."""
        return self.since + self.term_s

    def covers(self, other):
        """Whether nothing would be learnt from another one."""
        return other.ends <= self.ends and other.cleared <= self.cleared
