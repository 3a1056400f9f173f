"""Estimates of the target's service time per call path."""

from dataclasses import dataclass

from papayabay_core.errors import ErrorKind

INITIAL_MEAN_S = 0.01
MEAN_WEIGHT = 0.1
LOW_QUANTILE = 0.2
QUANTILE_STEP = 0.1
"""Step of the quantile estimate, as a share of the mean."""
MIN_MEAN_S = 1e-6
MAX_PATHS = 1_024
"""Paths with estimates; the oldest one is evicted for a new one."""
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
        Exponentially weighted mean, and the `LOW_QUANTILE` quantile.
    probed_at : float
        When a call was last admitted as a probe, although it was not expected
        to finish in time.
    """

    mean: float
    low: float
    probed_at: float = 0.0

    def takes_probe(self, now):
        """Return whether a call may be a probe now; if so, it must be one.

        One call per `PROBE_PERIOD_S` is admitted although it can't finish in
        time. Without probes a path with too high an estimate would refuse
        every call, and the estimate would never be corrected.
        """
        if now - self.probed_at < PROBE_PERIOD_S:
            return False
        self.probed_at = now
        return True


class ServiceTimes:
    """Estimates of the time from forwarding a call to its answer."""

    def __init__(self):
        self.overall = PathTimes(INITIAL_MEAN_S, 0.0)
        self.paths = {}

    def record(self, path_key, elapsed, answer):
        """Update the estimates from one ended call.

        Parameters
        ----------
        path_key : str
        elapsed : float
            Seconds since the call was forwarded.
        answer : Answer or None
        """
        kind = answer.kind if answer is not None else ErrorKind.CALLER_LEFT
        if kind in NOT_SERVED:
            return
        times = self.paths.get(path_key)
        # A call that was cut off took at least this long. If such calls were
        # ignored and the target were so slow that every call expires, the
        # estimate would stay low, and slots would be spent on calls that
        # can't finish.
        if kind is not None and elapsed <= (times or self.overall).mean:
            return
        if times is None:
            times = self.add(path_key, elapsed)
        update_estimates(times, elapsed)
        update_estimates(self.overall, elapsed)

    def mean(self, path_key):
        """Return the expected service time of a path, in seconds."""
        times = self.paths.get(path_key)
        return times.mean if times else self.overall.mean

    def relative(self, path_key):
        """Return the expected time of a path relative to that of all calls."""
        return self.mean(path_key) / max(self.overall.mean, MIN_MEAN_S)

    def add(self, path_key, elapsed):
        if not self.paths:
            self.overall.mean = self.overall.low = elapsed
        if len(self.paths) >= MAX_PATHS:
            del self.paths[next(iter(self.paths))]
        times = self.paths[path_key] = PathTimes(elapsed, elapsed / 2)
        return times


def update_estimates(times, elapsed):
    """Move the estimates towards one observed service time."""
    times.mean += MEAN_WEIGHT * (elapsed - times.mean)
    step = QUANTILE_STEP * times.mean
    low = times.low + step * (LOW_QUANTILE - (elapsed < times.low))
    if low > times.mean:
        low = times.mean
    times.low = low if low > 0.0 else 0.0
