"""Ranked admission that bounds waits by the slack of the whole request."""

import logbook

from papayabay_core.importance import Importance
from papayabay_daemon._internal.admission.admit_level import (
    LAST_CRITICAL,
    AdmitLevel,
    ThresholdGains,
)
from papayabay_daemon._internal.admission.overload import QUIET_SECONDS
from papayabay_daemon._internal.admission.queues import BUCKET_SHIFT
from papayabay_daemon._internal.admission.ranked import (
    MIN_QUEUE,
    MIN_RECHECK_S,
    Ranked,
)
from papayabay_daemon._internal.admission.request_queue import RequestQueue

GAINS = ThresholdGains(share=0.2, growth=1.4, surplus=1.0)
"""Calls of newly admitted requests arrive here for up to a second after their
entries were told of a higher threshold. A faster rise admits more requests
than can be served before the first of their calls is counted. There is no
surplus, as the calls above the capacity belong to requests that have begun."""
LAST_CRITICAL_LEVEL = LAST_CRITICAL << BUCKET_SHIFT
"""Lowest threshold that admits all critical calls."""
DEEP_RECHECK_FACTOR = 2.0
"""Time after which a call with a depth is checked for being overtaken, as a
multiple of `queue_max_ms`. It stays queued, but counts for the threshold."""
log = logbook.Logger("papayabay.admission")


class RankedBySlack(Ranked):
    """Serves requests by rank at all depths while they can still be in time.

    `Ranked` bounds the wait in each queue separately, so that a chain of
    eight calls can spend its whole lifetime in eight queues. Here a call with
    a depth may wait for as long as the rest of its chain can still meet the
    deadline. A call without a depth has the slack of its whole chain before
    it, so its wait is bounded as in `Ranked`, and by its due time.
    """

    def __init__(self, control):
        super().__init__(control)
        self.queue = RequestQueue()
        self.threshold = AdmitLevel(self.pressure, GAINS)
        self.critical_refused_at = None

    def enqueue(self, waiting, now):
        """Queue a call; if the queue is full, refuse the worst call."""
        waiting.start_by = self.start_by(waiting.call)
        if waiting.start_by <= now:
            # The objective can't be met any more; the deadline still counts.
            waiting.call.due_at = None
            waiting.start_by = self.start_by(waiting.call)
        if not self.is_feasible(waiting, now):
            self.refuse(waiting, now)
            return
        self.push(waiting, now)
        self.displace(waiting, now)

    def displace(self, waiting, now):
        """Refuse the worst calls while the queue is too long.

        The worst call of all may have a depth and a long slack. So the worst
        call without a depth is also compared with the calls ahead of it.
        """
        super().displace(waiting, now)
        while self.queue.size > MIN_QUEUE:
            worst = self.queue.peek_worst_new()
            if worst is None:
                return
            if self.queue.count_ahead(worst) < self.capacity(worst.call, now):
                return
            self.control.counters.displaced += worst is not waiting
            self.refuse_without_room(worst, now)

    def pressure(self, now):
        """Return the queueing time above its target, and the slot utilization.

        Calls of requests that have begun wait instead of being refused, so a
        queueing time above the longest one of other calls counts as a refusal
        that lowers the threshold. A queueing time below the target is no room
        for more: the few calls that wait, and are lost in the end, are the
        worst of their class.
        """
        excess_s, utilization = super().pressure(now)
        settings = self.control.inputs.settings
        max_excess_s = (settings.queue_max_ms - settings.queue_target_ms) / 1_000
        if excess_s > max_excess_s:
            self.threshold.record_refusal(Importance.SHEDDABLE)
        return max(0.0, excess_s), utilization

    def start_by(self, call):
        """Return when a call needs a slot to be answered when it is due."""
        due_at = call.expires_at if call.due_at is None else call.due_at
        return due_at - self.low_time(call)

    def slack(self, call, now):
        """Return how long a call can wait and still be in time, in seconds.

        A call without a depth has to be answered when it is due.
        """
        slack_s = super().slack(call, now)
        if call.depth:
            return slack_s
        return min(slack_s, self.start_by(call) - now)

    def longest_wait(self, call, now):
        """Return how long a call may wait from now on, in seconds.

        The slack of a call with a depth is shared by the calls still to come
        of its request, so that it may wait for all of it.
        """
        if call.depth:
            return max(0.0, self.slack(call, now))
        return super().longest_wait(call, now)

    def is_feasible(self, waiting, now):
        """Whether a call can be in time behind the calls queued ahead."""
        if not self.control.enforces_deadlines:
            return True
        calls_ahead = self.queue.count_ahead(waiting)
        until_open_s = self.control.rate_limit.seconds_until_open(now)
        if not calls_ahead and not until_open_s:
            return True
        wait_s = calls_ahead * self.control.capacity.call_interval(self.limit(now))
        return until_open_s + wait_s <= self.slack(waiting.call, now)

    def recheck_time(self, call, now):
        """Return when a call may have waited too long."""
        wait_s = self.longest_wait(call, now)
        if wait_s <= 0.0:
            return call.expires_at
        if call.depth:
            burst_s = self.control.inputs.settings.queue_max_ms / 1_000
            wait_s = min(wait_s, DEEP_RECHECK_FACTOR * burst_s)
        return min(call.expires_at, now + max(MIN_RECHECK_S, wait_s))

    def recheck(self, waiting, now):
        """Refuse a call that was overtaken or that can't be in time.

        A call with a depth may be overtaken for as long as it can be in time,
        but it counts as refused for the threshold. Otherwise the queue would
        fill with calls of the worst ranks, which keep slots of the upstream
        services occupied and are refused only when their time is over.
        """
        call = waiting.call
        overtaken = self.was_overtaken(waiting)
        if not self.is_feasible(waiting, now) or (overtaken and not call.depth):
            self.refuse_without_room(waiting, now)
            return
        if overtaken and call.importance is not Importance.CRITICAL:
            self.threshold.record_refusal(call.importance)
        waiting.recheck_at = self.recheck_time(call, now)

    def was_overtaken(self, waiting):
        """Whether a later call of higher priority was served first."""
        own = overtaking_key(waiting.call)
        return any(
            number > waiting.number
            for order, number in self.newest_served.items()
            if order < own or (order == own and waiting.call.depth)
        )

    def next_call(self, now):
        """Remove and return the best call, or None."""
        waiting = self.queue.pop()
        if waiting is None:
            return None
        key = overtaking_key(waiting.call)
        self.newest_served[key] = max(self.newest_served.get(key, 0), waiting.number)
        if waiting.start_by < now and not waiting.future.done():
            self.record_late(waiting)
        return waiting

    def record_late(self, waiting):
        """Count a call that gets its slot too late to be answered when due.

        It is due by the latency objective that the operator set for its path.
        A critical call that became late in this queue counts as refused for
        the threshold. Otherwise critical requests would be held back only
        once the queue has refused one, when many already time out.
        """
        importance = waiting.call.importance
        self.control.counters.served_late[importance] += 1
        if importance is Importance.CRITICAL and waiting.start_by >= waiting.arrived_at:
            self.threshold.record_refusal(importance)

    def level(self, now):
        """Return the threshold by which callers' daemons refuse early."""
        level = self.threshold.current(now)
        if level < LAST_CRITICAL_LEVEL:
            if self.critical_refused_at is None:
                log.notice("the admission threshold now refuses some critical calls")
            self.critical_refused_at = now
        elif (
            self.critical_refused_at is not None
            and now - self.critical_refused_at >= QUIET_SECONDS
        ):
            self.critical_refused_at = None
            log.notice("the admission threshold admits all critical calls again")
        return level


def overtaking_key(call):
    """Return the order by which calls without a depth are overtaken."""
    return call.importance, call.path_class, not call.depth
