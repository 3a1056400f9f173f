"""How long the target takes, learned per call path."""

from dataclasses import dataclass

from papayabay_core.errors import ErrorKind

FIRST_GUESS_S = 0.01
MEAN_WEIGHT = 0.1
LOW_QUANTILE = 0.2
QUANTILE_STEP = 0.1
SHORTEST_S = 1e-6
MAX_PATHS = 1_024
PROBE_PERIOD_S = 1.0
NOT_SERVED = frozenset(
    {
        ErrorKind.TARGET_SHED,
        ErrorKind.TARGET_REJECTED,
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.LEAVING,
        ErrorKind.REFUSED_BELOW,
    }
)


@dataclass(slots=True)
class PathTimes:
    """Running estimates of one path, in seconds.

    Attributes
    ----------
    mean, low : float
        Weighted mean, and the quantile that few calls are faster than.
    probed_at : float
        When a call was last let through although it looked too late.
    """

    mean: float
    low: float
    probed_at: float = 0.0


class ServiceTimes:
    """Estimates of the time from handing over to answer."""

    def __init__(self):
        self.overall = PathTimes(FIRST_GUESS_S, 0.0)
        self.paths = {}

    def record(self, path_key, elapsed, answer):
        """Learn from one ended call.

        Parameters
        ----------
        path_key : str
        elapsed : float
            Seconds since it was handed over.
        answer : Answer or None
        """
        kind = answer.kind if answer is not None else ErrorKind.CALLER_LEFT
        if kind in NOT_SERVED:
            return
        times = self.paths.get(path_key)
        # A call that was broken off took at least this long. Dropping it
        # would hide a target so slow that every call expires: the estimate
        # would stay low and each slot be spent on calls that can't finish.
        if kind is not None and elapsed <= (times or self.overall).mean:
            return
        if times is None:
            times = self.add(path_key, elapsed)
        learn(times, elapsed)
        learn(self.overall, elapsed)

    def mean(self, path_key):
        """Return the expected seconds of a path."""
        times = self.paths.get(path_key)
        return times.mean if times else self.overall.mean

    def relative(self, path_key):
        """Return the expected time of a path over that of all calls."""
        return self.mean(path_key) / max(self.overall.mean, SHORTEST_S)

    def cannot_finish(self, path_key, remaining, now):
        """Whether a call with this much life left can't finish any more.

        One call a second passes all the same: without it a path whose
        estimate was once too high would refuse all and never learn better.
        """
        times = self.paths.get(path_key)
        if times is None or remaining >= times.low:
            return False
        if now - times.probed_at < PROBE_PERIOD_S:
            return True
        times.probed_at = now
        return False

    def add(self, path_key, elapsed):
        if not self.paths:
            self.overall.mean = self.overall.low = elapsed
        if len(self.paths) >= MAX_PATHS:
            del self.paths[next(iter(self.paths))]
        times = self.paths[path_key] = PathTimes(elapsed, elapsed / 2)
        return times


def learn(times, elapsed):
    """Move the estimates towards one observed time."""
    times.mean += MEAN_WEIGHT * (elapsed - times.mean)
    step = QUANTILE_STEP * times.mean
    times.low += step * (LOW_QUANTILE - (elapsed < times.low))
    times.low = min(max(times.low, 0.0), times.mean)
