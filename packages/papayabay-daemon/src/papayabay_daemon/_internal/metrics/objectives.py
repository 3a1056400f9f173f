"""Counts good and bad requests per call path, for the burn report.

Each path has two ring buffers, which bound the memory: one of minutes for six
hours, one of hours for three days. The windows of the burn report are summed
from them.
"""

from array import array
from dataclasses import dataclass, field

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.errors import NOT_RUN, ErrorKind
from papayabay_core.utils.clock import now

MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3_600.0
MINUTES_KEPT = 360
HOURS_KEPT = 72
MAX_PATHS = 256
"""Most paths that are counted, which bounds the memory."""

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
"""Refusals by a limit or by policy, if the request was not run."""
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
"""Errors that the caller has caused; they are not counted."""


class CountRing:
    """Ring buffer of counts by outcome, one slot per period.

    Parameters
    ----------
    period : float
        Length of a period in seconds.
    size : int
        Number of periods that are kept.

    Attributes
    ----------
    newest_period : int
        Number of the newest period.
    newest_start : int
        Index of its first count in `slots`.
    newest_end : float
        When it ends.
    """

    def __init__(self, period, size):
        self.period = period
        self.size = size
        self.slots = array("L", [0]) * (size * len(OUTCOMES))
        self.set_newest(int(now() / period))

    def advance(self, moment):
        """Clear the slots of the periods that began since the last call.

        A clock that steps back clears nothing.
        """
        current = int(moment / self.period)
        passed = min(current - self.newest_period, self.size)
        for step in range(passed):
            start = ((current - step) % self.size) * len(OUTCOMES)
            for outcome in range(len(OUTCOMES)):
                self.slots[start + outcome] = 0
        self.set_newest(max(self.newest_period, current))

    def set_newest(self, period):
        """Set the newest period, in which requests are counted."""
        self.newest_period = period
        self.newest_start = (period % self.size) * len(OUTCOMES)
        self.newest_end = (period + 1) * self.period

    def total(self, seconds, moment):
        """Return counts by outcome name over the last `seconds`."""
        self.advance(moment)
        periods = min(self.size, max(1, round(seconds / self.period)))
        starts = [
            ((self.newest_period - step) % self.size) * len(OUTCOMES)
            for step in range(periods)
        ]
        return {
            name: sum(self.slots[start + outcome] for start in starts)
            for outcome, name in enumerate(OUTCOMES)
        }


@dataclass(slots=True)
class PathRings:
    """The two ring buffers of one call path."""

    minutes: CountRing = field(
        default_factory=lambda: CountRing(MINUTE_SECONDS, MINUTES_KEPT)
    )
    hours: CountRing = field(
        default_factory=lambda: CountRing(HOUR_SECONDS, HOURS_KEPT)
    )

    def record(self, outcome, moment):
        """Count one request in the current minute and hour."""
        for ring in (self.minutes, self.hours):
            if moment >= ring.newest_end:
                ring.advance(moment)
            ring.slots[ring.newest_start + outcome] += 1


class ObjectiveCounters:
    """Counts the requests that entered at this daemon against objectives.

    Attributes
    ----------
    paths : dict of str to PathRings
        Paths with an objective.
    left_out : int
        Requests that were not counted because `MAX_PATHS` was reached.
    """

    def __init__(self):
        self.paths = {}
        self.left_out = 0

    def record(self, rule, answer, elapsed):
        """Count a finished request, unless the caller is at fault.

        Parameters
        ----------
        rule : CallRule
        answer : Answer
        elapsed : float
            Seconds.
        """
        objective, kind = rule.objective, answer.kind
        if objective is None or (kind is not None and kind in CALLER_FAULTS):
            return
        rings = self.paths.get(rule.path_key) or self.add_rings(rule.path_key)
        if rings is None:
            self.left_out += 1
            return
        outcome = classify_outcome(objective, answer, elapsed)
        moment = now()
        rings.record(outcome, moment)

    def add_rings(self, path_key):
        """Return a new path's rings, or None beyond the limit of paths."""
        if len(self.paths) >= MAX_PATHS:
            return None
        rings = self.paths[path_key] = PathRings()
        return rings

    def totals(self, windows):
        """Return counts by path, window and outcome.

        Parameters
        ----------
        windows : dict of str to float
            Length in seconds by the window's name.
        """
        moment = now()
        return {
            path_key: {
                name: window_counts(rings, seconds, moment)
                for name, seconds in windows.items()
            }
            for path_key, rings in self.paths.items()
        }


def window_counts(rings, seconds, moment):
    """Return a window's counts from the finest ring that covers it."""
    if seconds <= MINUTE_SECONDS * MINUTES_KEPT:
        return rings.minutes.total(seconds, moment)
    return rings.hours.total(seconds, moment)


def classify_outcome(objective, answer, elapsed):
    """Return how one request counts against its objective.

    Refusals by policy are counted apart from failures: they burn the error
    budget too, but call for more capacity instead of a repair.
    """
    if answer.kind is not None:
        is_refusal = answer.kind in POLICY_REFUSALS and answer.effect is NOT_RUN
        return REFUSED if is_refusal else FAILED
    if answer.status >= SERVER_ERROR:
        return FAILED
    if objective.latency_ms is not None and elapsed * 1000 > objective.latency_ms:
        return SLOW
    return GOOD
