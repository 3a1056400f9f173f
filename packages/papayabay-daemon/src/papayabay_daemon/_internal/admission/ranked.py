"""Ranked admission: by class and by a rank shared by all hops of a request."""

from papayabay_core.importance import Importance
from papayabay_daemon._internal.admission.admit_level import AdmitLevel
from papayabay_daemon._internal.admission.queues import RankedQueue, sort_key

MIN_QUEUE = 2
"""Calls that may be queued in any case."""
WAIT_SHARE = 1 / 3
"""Share of its slack that a call may wait in one queue. The rest is left for
the queues of its own calls, and for another attempt if it is refused here."""
MIN_TARGET_CALLS = 2
"""Queued calls that the target queueing time always leaves room for."""
MAX_QUEUE = 10_000
MIN_INTERVAL_S = 1e-7
MIN_RECHECK_S = 0.01


class Ranked:
    """Serves the best call first and refuses the worst of a full queue.

    The order follows WeChat's DAGOR (Zhou et al., SoCC '18), with the work
    already spent on a call as tie-breaker. Unlike DAGOR, this daemon does not
    refuse calls by the threshold: a free slot goes to any waiting call. The
    threshold only lets callers' daemons refuse early what would be refused
    here anyway.
    """

    def __init__(self, control):
        self.control = control
        self.queue = RankedQueue()
        self.threshold = AdmitLevel(self.pressure)
        self.empty_at = 0.0
        self.refused_at = float("-inf")
        self.newest_served = {}
        # The announced slots, as reduced by the target's limits. Read several
        # times for each call, so without a method of its own.
        self.limit = control.capacity.usable_slots

    @property
    def enforces_deadlines(self):
        """Whether the policy enables deadlines."""
        return self.control.inputs.decisions.deadlines

    def refuses(self, call, now):
        """Record an arrival; no call is refused before it is queued."""
        self.threshold.record_arrival(call.level, now)
        return False

    def enqueue(self, waiting, now):
        """Queue a call; if the queue is full, refuse the worst call."""
        call = waiting.call
        if self.enforces_deadlines and not self.can_finish_in_time(call, now):
            self.refuse(waiting, now)
            return
        self.push(waiting, now)
        self.displace(waiting, now)

    def push(self, waiting, now):
        """Queue a call, and record when the queue was last empty."""
        if not self.queue.size:
            self.empty_at = now
        self.queue.push(waiting)

    def displace(self, waiting, now):
        """Refuse the worst calls while the queue is too long."""
        while self.queue.size > MIN_QUEUE:
            worst = self.queue.peek_worst()
            if self.queue.size <= self.capacity(worst.call, now):
                return
            self.control.counters.displaced += worst is not waiting
            self.refuse_without_room(worst, now)

    def recheck_time(self, call, now):
        """Return when to check whether a call was overtaken."""
        wait_s = max(MIN_RECHECK_S, self.longest_wait(call, now))
        return min(call.expires_at, now + wait_s)

    def recheck(self, waiting, now):
        """Refuse a call that was overtaken; otherwise extend its wait.

        Later calls of higher priority are served first, so the position in
        the queue does not bound the wait. Under a steady stream of such calls
        it would wait until its deadline, too late for its caller to retry. A
        call that was not overtaken will be served, and stays queued.
        """
        if self.was_overtaken(waiting):
            self.refuse_without_room(waiting, now)
        else:
            waiting.recheck_at = self.recheck_time(waiting.call, now)

    def was_overtaken(self, waiting):
        """Whether a later call of higher priority was served first."""
        own = sort_key(waiting.call)
        return any(
            number > waiting.number
            for order, number in self.newest_served.items()
            if order < own
        )

    def next_call(self, now):
        """Remove and return the best call, or None."""
        waiting = self.queue.pop()
        if waiting is not None:
            order = sort_key(waiting.call)
            newest_served = self.newest_served.get(order, 0)
            self.newest_served[order] = max(newest_served, waiting.number)
        return waiting

    def granted(self, waited_s, now):
        """Count a call that got a slot."""
        self.threshold.record_served(now)

    def finished(self, elapsed, answer, now):
        """Do nothing; `AdmissionControl` tracks service times and limit."""

    def level(self, now):
        """Return the threshold by which callers' daemons refuse early."""
        return self.threshold.current(now)

    def refuse_without_room(self, waiting, now):
        """Refuse a call that the queue has no room for."""
        self.refused_at = now
        self.refuse(waiting, now)

    def refuse(self, waiting, now):
        """Refuse a call for overload, and count it for the threshold."""
        self.control.refuse_overloaded(waiting, now)
        self.threshold.record_refusal(waiting.call.importance)

    def can_finish_in_time(self, call, now):
        """Whether a call can finish in time behind the calls queued ahead."""
        times = self.control.times
        calls_ahead = self.queue.count_up_to(call.level)
        until_open_s = self.control.rate_limit.seconds_until_open(now)
        if not calls_ahead and not until_open_s:
            return True
        wait_s = calls_ahead * self.control.capacity.call_interval(self.limit(now))
        return (
            now + until_open_s + wait_s + times.mean(call.path_key) <= call.expires_at
        )

    def capacity(self, worst, now):
        """Return the longest queue allowed while this is its worst call.

        A long queue absorbs a burst. A full one absorbs nothing more and only
        adds its whole length to the wait of each call. So the worst call has
        to be served within the longest wait that it can afford now.
        """
        interval_s = max(
            self.control.capacity.call_interval(self.limit(now)), MIN_INTERVAL_S
        )
        fitting_calls = int(self.longest_wait(worst, now) / interval_s)
        return min(max(fitting_calls, MIN_QUEUE), MAX_QUEUE)

    def longest_wait(self, call, now):
        """Return how long a call may wait from now on, in seconds.

        It is a share of the call's slack. Calls that are not critical, and on
        which no work was spent yet, wait no longer than a burst may last. In a
        standing queue they wait for the target time only: a longer wait would
        end in a refusal with less time left for another attempt. Critical
        calls are served before those that a queue stands of. Without deadlines
        there is no slack, and all calls wait for a burst at most.
        """
        settings = self.control.inputs.settings
        wait_s = max(0.0, WAIT_SHARE * self.slack(call, now))
        is_spared = call.depth or call.importance is Importance.CRITICAL
        if is_spared and self.enforces_deadlines:
            return wait_s
        standing = self.has_standing_queue(now)
        burst_ms = settings.queue_target_ms if standing else settings.queue_max_ms
        return min(wait_s, burst_ms / 1_000)

    def slack(self, call, now):
        """Return how long a call can wait and still be in time, in seconds."""
        return call.expires_at - call.rest_s - self.low_time(call) - now

    def low_time(self, call):
        """Return the low quantile of a call's service time, in seconds.

        The mean of a path with calls of its own rises with their queueing
        delays, and calls that can be in time would be refused.
        """
        times = self.control.times.paths.get(call.path_key)
        return times.low if times else 0.0

    def has_standing_queue(self, now):
        """Whether the queue outlasted a burst, and calls lacked room in it.

        It then delays all calls without more of them being served. See Maurer,
        "Fail at Scale", ACM Queue 2015.
        """
        burst_s = self.control.inputs.settings.queue_max_ms / 1_000
        lacked_room = self.refused_at >= self.empty_at
        return self.queue.size > 0 and lacked_room and now - self.empty_at > burst_s

    def target(self, call_s):
        """Return the target of the queueing time, in seconds.

        It is at least the queueing time of `MIN_TARGET_CALLS` calls: with few
        slots and long service times, a shorter queue runs empty between two
        arrivals, and slots are idle during an overload.

        Parameters
        ----------
        call_s : float
            Mean time between the ends of two calls.
        """
        target = self.control.inputs.settings.queue_target_ms / 1_000
        return max(target, MIN_TARGET_CALLS * call_s)

    def pressure(self, now):
        """Return the queueing time above its target, and the slots' use."""
        limit = self.limit(now)
        call_s = self.control.capacity.call_interval(limit)
        excess_s = self.queue.size * call_s - self.target(call_s)
        return excess_s, self.control.slot_use.share(limit, now)
