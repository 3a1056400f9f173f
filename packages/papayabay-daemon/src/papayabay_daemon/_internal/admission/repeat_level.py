"""Admission level up to which the retry budget carries calls to completion.

When targets refuse a share p of calls at random, a call needs p / (1 - p)
retries on average, and a call tree as many for each of its calls. A budget
that covers only a part of them would be spread over all trees, and nearly all
trees would fail at one of their calls.
"""

import logbook

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_daemon._internal.admission.queues import (
    BUCKET_BITS,
    BUCKET_SHIFT,
    BUCKETS,
)
from papayabay_daemon._internal.admission.rejections import (
    MAX_PERIODS,
    Rejections,
)

PERIOD_S = 0.1
"""Time between two updates of the level."""
MIN_REJECTED_SHARE = 0.05
"""Share of refused calls below which there is no level: every policy's budget
carries these."""
MAX_REJECTED_SHARE = 0.95
ARRIVAL_DECAY = 0.93
"""Share of the arrivals that is carried over into the next period. The rates
are averaged over 1.4 s: a narrow range of levels has few arrivals."""
PATH_DECAY = 0.95
"""The same for the calls of a path. They only show whether most of them have a
depth, for which a longer memory does."""
MIN_PATH_CALLS = 0.05
"""Calls, with their decay, below which a path is evicted: 6 s after the only
call of a path, 25 s after the last one of a busy path. Otherwise paths that
are no longer called would keep new ones out of the table for good."""
LOWER_WEIGHT = 0.5
"""Part of the way to a lower level that one update makes."""
RAISE_SHARE = 0.05
"""Most that one update raises the level within a class, in proportion. The
retries of trees that are admitted in addition come some periods later."""
MIN_RAISE = 0.1
"""Least such limit, in buckets."""
DEEP_SHARE = 0.5
"""Least share of a path's calls with a depth for a level to be published."""
QUIET_S = 2.0
"""Time without a level after which its end is logged: with few calls, chance
opens it for a moment."""
log = logbook.Logger("papayabay.admission")


def no_budget(importance):
    """Return None: there is no budget."""
    return None


class RepeatLevel:
    """Adapts the level to the retry budget and the share of refused calls.

    Only paths whose calls have a depth get the level: the requests above it
    are refused at their entries. A request that consists of a single call is
    admitted above the level too, but not retried: it takes no part of the
    budget, and may succeed at once.

    Attributes
    ----------
    enabled : bool
        Whether policy enables the level.
    budget : callable
        Takes an importance class; returns the retries per second that the
        budget allows the class, or None without a budget.
    position : float or None
        The level in buckets of levels; None while all calls are admitted.
    counters : dict of str to int
    """

    def __init__(self):
        self.enabled = False
        self.budget = no_budget
        self.counters = {"repeat_levels": 0, "repeats_above_level": 0}
        self.reset()

    def reset(self):
        """Discard all measurements, as for another target."""
        self.position = None
        self.limited_at = None
        self.level = ADMIT_ALL
        self.period_end = 0.0
        self.rejections = Rejections()
        self.arrivals = [0.0] * BUCKETS
        self.measured_s = 0.0
        self.paths = {}
        self.path_levels = {}

    def reconfigure(self, enabled):
        """Apply the policy's `repeat_limit`."""
        if enabled != self.enabled:
            self.enabled = enabled
            self.reset()

    def record_arrival(self, call, now):
        """Count a first attempt that is forwarded to the target."""
        if now >= self.period_end:
            self.end_period(now)
        self.arrivals[call.level >> BUCKET_SHIFT] += 1.0
        counts = self.paths.get(call.path_key)
        if counts is None:
            if len(self.paths) >= MAX_PATH_LEVELS:
                return
            counts = self.paths[call.path_key] = [0.0, 0.0]
        counts[0] += 1.0
        counts[1] += call.depth > 0

    def record_end(self, rejected, now):
        """Count a call that the target has answered.

        Parameters
        ----------
        rejected : bool
            Whether the target refused it with slots free.
        now : float
        """
        if now >= self.period_end:
            self.end_period(now)
        self.rejections.record(rejected)

    def refuses(self, call, now):
        """Return whether a retry is above the level."""
        if now >= self.period_end:
            self.end_period(now)
        if call.level <= self.level:
            return False
        self.counters["repeats_above_level"] += 1
        return True

    def closed(self, downstream, now):
        """Return the levels by path, each the lower of two.

        Parameters
        ----------
        downstream : dict of str to int
            Levels that downstream services admit, by path.
        now : float
        """
        if now >= self.period_end:
            self.end_period(now)
        if not self.path_levels:
            return downstream
        levels = dict(downstream)
        for path_key, level in self.path_levels.items():
            levels[path_key] = min(level, levels.get(path_key, ADMIT_ALL))
        if len(levels) > MAX_PATH_LEVELS:
            lowest = sorted(levels.items(), key=lambda entry: entry[1])
            levels = dict(lowest[:MAX_PATH_LEVELS])
        return levels

    def end_period(self, now):
        """Update the level from the counts of the period that ended."""
        late_s = now - self.period_end
        self.period_end = now + PERIOD_S
        self.rejections.end_period()
        self.age_paths(PATH_DECAY ** (1.0 + late_s / PERIOD_S))
        if late_s > MAX_PERIODS * PERIOD_S:
            self.rejections = Rejections()
            self.arrivals = [0.0] * BUCKETS
            self.measured_s = 0.0
        else:
            self.measured_s += PERIOD_S + late_s
        self.set_position(self.next_position(self.rejections.share()), now)
        self.arrivals = [count * ARRIVAL_DECAY for count in self.arrivals]
        self.measured_s *= ARRIVAL_DECAY

    def age_paths(self, factor):
        """Multiply the calls of all paths by a factor; evict unused paths."""
        self.paths = {
            path_key: [calls * factor, deep * factor]
            for path_key, (calls, deep) in self.paths.items()
            if calls * factor >= MIN_PATH_CALLS
        }

    def next_position(self, rejected_share):
        """Return the new position; None to admit all calls."""
        if rejected_share < MIN_REJECTED_SHARE or not self.measured_s:
            return None
        rates = [self.budget(importance) for importance in Importance]
        if rates[0] is None:
            return None
        share = min(rejected_share, MAX_REJECTED_SHARE)
        position = self.carried(rates, share / (1.0 - share))
        if self.position is None or position is None:
            return position if self.position is None else self.raised(BUCKETS)
        if position < self.position:
            return self.position + LOWER_WEIGHT * (position - self.position)
        return self.raised(position)

    def raised(self, position):
        """Return a higher position, at most one step above the present one."""
        within_class = self.position % (1 << BUCKET_BITS)
        step = max(MIN_RAISE, RAISE_SHARE * within_class)
        raised = min(position, self.position + step)
        return raised if raised < BUCKETS else None

    def carried(self, rates, retries_per_call):
        """Return the position up to which the budget carries the arrivals.

        Parameters
        ----------
        rates : list of float
            Retries per second that the budget allows, by class.
        retries_per_call : float
            Retries that a call needs on average.

        Returns
        -------
        float or None
            None if the budget carries all arrivals.
        """
        needed = 0.0
        factor = retries_per_call / self.measured_s
        for bucket, arrivals in enumerate(self.arrivals):
            left = rates[bucket >> BUCKET_BITS] - needed
            need = arrivals * factor
            if need > 0.0 and need >= left:
                return bucket + max(0.0, left) / need
            needed += need
        return None

    def set_position(self, position, now):
        """Set the level, and log when it is lowered and opened again."""
        self.log_change(position, now)
        self.position = position
        if position is None:
            self.level = ADMIT_ALL
            self.path_levels = {}
            return
        self.level = int(position * (1 << BUCKET_SHIFT)) - 1
        self.path_levels = {
            path_key: self.level
            for path_key, (calls, deep) in self.paths.items()
            if deep >= DEEP_SHARE * calls
        }

    def log_change(self, position, now):
        """Log the first level of a disruption, and the disruption's end."""
        if position is None:
            if self.limited_at is not None and now - self.limited_at >= QUIET_S:
                self.limited_at = None
                log.notice("the retry budget carries all calls; admitting all levels")
            return
        is_first = self.limited_at is None
        self.limited_at = now
        if not is_first:
            return
        self.counters["repeat_levels"] += 1
        log.notice(
            "the target refuses {:.0%} of the calls at random, and the retry budget "
            "does not carry all; admitting call trees up to level {}",
            self.rejections.share(),
            int(position * (1 << BUCKET_SHIFT)) - 1,
        )
