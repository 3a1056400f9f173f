"""The admission threshold that callers' daemons use to refuse calls early."""

from dataclasses import dataclass

from papayabay_core.importance import ADMIT_ALL, Importance, level_of
from papayabay_daemon._internal.admission.queues import (
    BUCKET_SHIFT,
    BUCKETS,
    bucket_of,
)

WINDOW_S = 0.1
DECAY = 0.8
"""Share of the counts that is carried over into the next window."""
EXCESS_WAIT_S = 0.25
"""Queueing time above the target that lowers the wanted load by the whole
capacity; a shorter one lowers it in proportion."""
MIN_FACTOR = 0.5
"""Least wanted load, as a multiple of the capacity."""
MAX_RAISE_BUCKETS = 40
MAX_GROWTH_WINDOWS = 12
MIN_UTILIZATION = 0.1
MIN_MEAN_UTILIZATION = 0.5
MIN_DENSITY = 0.05
"""Least arrivals per bucket to assume below the threshold."""
DENSITY_BUCKETS = 8
LAST_BUCKET = BUCKETS - 1
LAST_CRITICAL = bucket_of(level_of(Importance.NORMAL, 0)) - 1


@dataclass(frozen=True, slots=True)
class ThresholdGains:
    """How the threshold follows the load.

    Attributes
    ----------
    share : float
        Share of the idle slot time that the first window without overload
        fills.
    growth : float
        Factor by which `share` grows with each further such window.
    surplus : float
        Wanted load at the target queueing time, as a multiple of the capacity.
    """

    share: float = 0.35
    growth: float = 2.0
    surplus: float = 1.1


class AdmitLevel:
    """Adapts the threshold to the load that the target can serve.

    Each window compares the arrivals, by level, with the calls served. The
    threshold is lowered from its open state only when calls were refused;
    below saturation it stays open, however many calls are queued. Once it is
    lowered, a queueing time above the target lowers it further, to the level
    whose arrivals fill the capacity. A small surplus is added so that the
    queue does not run empty because of the threshold.

    A window with neither refusals nor excess queueing raises the threshold by
    the levels that would fill a part of the idle slot time. Callers learn of
    a change only some windows later, and the retries of everything that was
    refused arrive above the threshold. Raising it faster would admit far more
    calls than can be served, and waste the work that upstream services spent
    on them.

    Parameters
    ----------
    pressure : callable
        Takes `now`; returns the queueing time minus its target, in seconds,
        and the share of slot time that was used since the previous call.
    gains : ThresholdGains

    Attributes
    ----------
    level : int
        The threshold as an admission level, as of the last window.
    """

    def __init__(self, pressure, gains=ThresholdGains()):
        self.pressure = pressure
        self.gains = gains
        self.bucket = LAST_BUCKET
        self.level = ADMIT_ALL
        self.window_end = 0.0
        self.arrivals = [0.0] * BUCKETS
        self.served_calls = 0.0
        self.mean_utilization = 1.0
        self.refusals = 0
        self.critical_refusals = 0
        self.calm_windows = 0

    def record_arrival(self, level, now):
        """Count an arrival at an admission level."""
        if now >= self.window_end:
            self.end_window(now)
        # `bucket_of` without its call, which each arrival would make.
        self.arrivals[level >> BUCKET_SHIFT] += 1.0

    def record_served(self, now):
        """Count a call that got a slot."""
        if now >= self.window_end:
            self.end_window(now)
        self.served_calls += 1.0

    def record_refusal(self, importance):
        """Count a call refused for overload."""
        self.refusals += 1
        self.critical_refusals += importance is Importance.CRITICAL

    def current(self, now):
        """Return the threshold as an admission level."""
        if now >= self.window_end:
            self.end_window(now)
        return self.level

    def end_window(self, now):
        """Update the threshold from the counts of the window that ended."""
        late = (now - self.window_end) / WINDOW_S
        self.window_end = now + WINDOW_S
        excess, utilization = self.pressure(now)
        self.mean_utilization += (1.0 - DECAY) * (utilization - self.mean_utilization)
        lowered = self.bucket < LAST_BUCKET
        if self.refusals or (lowered and excess > 0):
            self.lower(excess)
        elif lowered:
            self.raise_threshold(utilization, 1.0 + late)
        is_open = self.bucket >= LAST_BUCKET
        self.level = ADMIT_ALL if is_open else ((self.bucket + 1) << BUCKET_SHIFT) - 1
        self.refusals = self.critical_refusals = 0
        self.served_calls *= DECAY
        self.arrivals = [count * DECAY for count in self.arrivals]

    def lower(self, excess):
        """Lower the threshold to the level whose arrivals fill the capacity.

        Critical calls stay admitted until the queue itself has refused one:
        an estimate alone must not refuse critical calls.
        """
        self.calm_windows = 0
        factor = self.gains.surplus - excess / EXCESS_WAIT_S
        # Calls served while slots were idle understate the capacity. Without
        # this correction a threshold that was set too low would stay there.
        capacity = self.served_calls / max(self.mean_utilization, MIN_MEAN_UTILIZATION)
        wanted = capacity * max(MIN_FACTOR, factor)
        total = 0.0
        for bucket, count in enumerate(self.arrivals):
            total += count
            if total >= wanted:
                self.lower_to(bucket)
                return

    def lower_to(self, bucket):
        """Lower the threshold to a bucket; half-way if nothing was refused.

        With few slots the queue length fluctuates, and an estimate from a few
        arrivals errs in both directions. Since this never raises the
        threshold, following each estimate fully would only lower it, and
        leave slots idle during an overload.
        """
        lowest = 0 if self.critical_refusals else LAST_CRITICAL
        bucket = max(bucket, lowest)
        if not self.refusals:
            bucket = (bucket + self.bucket + 1) // 2
        self.bucket = min(self.bucket, bucket)

    def raise_threshold(self, utilization, windows):
        """Raise the threshold to fill a part of the idle slot time.

        The part grows with each window without overload, so that the
        threshold is fully open soon after the overload has ended.

        Parameters
        ----------
        utilization : float
            Share of the slot time that was used.
        windows : float
            How many windows have passed.
        """
        idle = max(0.0, 1.0 - utilization)
        missing = self.served_calls * idle / max(utilization, MIN_UTILIZATION)
        calm_windows = min(self.calm_windows, MAX_GROWTH_WINDOWS)
        share = self.gains.share * self.gains.growth**calm_windows
        filling = share * missing / max(self.density(), MIN_DENSITY)
        self.calm_windows += 1
        step = windows * min(MAX_RAISE_BUCKETS * idle, max(1.0, filling))
        self.bucket = min(LAST_BUCKET, self.bucket + max(1, int(step)))

    def density(self):
        """Return the mean arrivals per bucket just below the threshold."""
        lowest = max(0, self.bucket + 1 - DENSITY_BUCKETS)
        return sum(self.arrivals[lowest : self.bucket + 1]) / DENSITY_BUCKETS
