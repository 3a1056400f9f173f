"""Good and bad requests per call path, kept for the burn report.

Two rings a path bound the memory: minutes for six hours, hours for three
days, which the short and the long windows of the burn report add up.
"""

from array import array
from dataclasses import dataclass, field

from papayabay_core.errors import Effect, ErrorKind
from papayabay_core.utils.clock import now

MINUTE = 60.0
HOUR = 3_600.0
MINUTES_KEPT = 360
HOURS_KEPT = 72
MOST_PATHS = 256

GOOD, FAILED, REFUSED, SLOW = range(4)
OUTCOMES = ("good", "failed", "refused", "slow")

POLICY_REFUSALS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.REFUSED_BELOW,
        ErrorKind.LIFETIME_TOO_SHORT,
        ErrorKind.RETRIES_SPENT,
        ErrorKind.RATE_LIMITED,
    }
)
CALLER_FAULTS = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.KEY_MISSING,
        ErrorKind.KEY_CONFLICT,
        ErrorKind.UNAUTHENTICATED,
    }
)


class Ring:
    """Counts of each outcome in the last so many periods.

    Parameters
    ----------
    period : float
        Seconds of one slot.
    kept : int
        Slots.
    """

    def __init__(self, period, kept):
        self.period = period
        self.kept = kept
        self.slots = array("L", [0]) * (kept * len(OUTCOMES))
        self.newest = int(now() / period)

    def advance(self, moment):
        """Empty the slots that have come round since the last call."""
        current = int(moment / self.period)
        passed = min(current - self.newest, self.kept)
        for step in range(passed):
            start = ((current - step) % self.kept) * len(OUTCOMES)
            for outcome in range(len(OUTCOMES)):
                self.slots[start + outcome] = 0
        self.newest = max(self.newest, current)

    def record(self, outcome, moment):
        """Count one request."""
        self.advance(moment)
        self.slots[(self.newest % self.kept) * len(OUTCOMES) + outcome] += 1

    def total(self, seconds, moment):
        """Return counts by outcome name over the last seconds."""
        self.advance(moment)
        wanted = min(self.kept, max(1, round(seconds / self.period)))
        starts = [
            ((self.newest - step) % self.kept) * len(OUTCOMES) for step in range(wanted)
        ]
        return {
            name: sum(self.slots[start + outcome] for start in starts)
            for outcome, name in enumerate(OUTCOMES)
        }


@dataclass(slots=True)
class PathRings:
    """The two rings of one call path."""

    minutes: Ring = field(default_factory=lambda: Ring(MINUTE, MINUTES_KEPT))
    hours: Ring = field(default_factory=lambda: Ring(HOUR, HOURS_KEPT))


class ObjectiveCounters:
    """Counts requests that entered here, for paths with an objective."""

    def __init__(self):
        self.paths = {}
        self.left_out = 0

    def record(self, rule, answer, elapsed):
        """Count a request's end.

        Parameters
        ----------
        rule : CallRule
        answer : Answer
        elapsed : float
            Seconds.
        """
        if rule.objective is None or answer.kind in CALLER_FAULTS:
            return
        rings = self.rings_of(rule.path_key)
        if rings is None:
            self.left_out += 1
            return
        outcome = outcome_of(rule.objective, answer, elapsed)
        moment = now()
        rings.minutes.record(outcome, moment)
        rings.hours.record(outcome, moment)

    def rings_of(self, path_key):
        """Return a path's rings, or None once too many paths are kept."""
        rings = self.paths.get(path_key)
        if rings is None and len(self.paths) < MOST_PATHS:
            rings = self.paths[path_key] = PathRings()
        return rings

    def totals(self, windows):
        """Return counts by path and window.

        Parameters
        ----------
        windows : dict of str to float
            Seconds by the window's name.
        """
        moment = now()
        return {
            path_key: {
                name: total_of(rings, seconds, moment)
                for name, seconds in windows.items()
            }
            for path_key, rings in self.paths.items()
        }


def total_of(rings, seconds, moment):
    """Return counts over a window from the finest ring that holds it."""
    if seconds <= MINUTE * MINUTES_KEPT:
        return rings.minutes.total(seconds, moment)
    return rings.hours.total(seconds, moment)


def outcome_of(objective, answer, elapsed):
    """Return how one request counts against its objective.

    A refusal that policy chose is told apart from a failure: it burns the
    budget too, but asks for capacity, not for a repair.
    """
    if answer.kind in POLICY_REFUSALS and answer.effect is Effect.NOT_RUN:
        return REFUSED
    if answer.kind is not None or answer.status >= 500:
        return FAILED
    if objective.latency_ms is not None and elapsed * 1000 > objective.latency_ms:
        return SLOW
    return GOOD
