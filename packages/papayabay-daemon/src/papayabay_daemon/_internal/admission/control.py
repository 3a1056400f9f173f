"""Assigns the target's slots to calls, and queues or refuses the others."""

import asyncio

from papayabay_core.calls import LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import whole_ms
from papayabay_daemon._internal.admission.codel import CoDel
from papayabay_daemon._internal.admission.counters import AdmissionCounters
from papayabay_daemon._internal.admission.dagor import Dagor
from papayabay_daemon._internal.admission.downstream import DownstreamLevels
from papayabay_daemon._internal.admission.expiries import Expiries
from papayabay_daemon._internal.admission.gradient import Gradient
from papayabay_daemon._internal.admission.host_speed import HostSpeed
from papayabay_daemon._internal.admission.open import Open
from papayabay_daemon._internal.admission.overload import OverloadLog
from papayabay_daemon._internal.admission.ranked import Ranked
from papayabay_daemon._internal.admission.ranked_by_slack import RankedBySlack
from papayabay_daemon._internal.admission.rate_limit import RateLimit
from papayabay_daemon._internal.admission.repeat_level import RepeatLevel
from papayabay_daemon._internal.admission.retry_after import RetryAfter
from papayabay_daemon._internal.admission.service_times import ServiceTimes
from papayabay_daemon._internal.admission.slot_limit import (
    OVERLOAD_KINDS,
    SlotLimit,
)
from papayabay_daemon._internal.admission.slot_use import SlotUse
from papayabay_daemon._internal.admission.static import Static
from papayabay_daemon._internal.admission.ticket import SlotTicket
from papayabay_daemon._internal.admission.waiting import WaitingCall
from papayabay_daemon._internal.admission.work_counters import WorkCounters

QUEUE_TIME_WEIGHT = 0.1
"""Weight of the latest call in the mean queueing time."""
SCHEMES = {
    "ranked": Ranked,
    "dagor": Dagor,
    "codel": CoDel,
    "gradient": Gradient,
    "static": Static,
    "open": Open,
}

ORDERED_SCHEMES = {("ranked", "due"): RankedBySlack}
"""Schemes that take the place of others with a `queue_order`."""


def make_admission(scheme, inputs):
    """Return the admission control of one target.

    Parameters
    ----------
    scheme : str
        Name of the scheme, as in the policy's `decisions.admission`.
    inputs : AdmissionInputs

    Raises
    ------
    ValueError
        If the scheme is unknown.
    """
    return AdmissionControl(scheme, inputs)


class AdmissionControl:
    """Admission control of the target beside this daemon.

    It owns the slots in use and the queued calls, and delegates the decisions
    to a scheme, so that scheme, policy and announcement can change while
    calls run.

    Parameters
    ----------
    scheme : str
    inputs : AdmissionInputs
    """

    def __init__(self, scheme, inputs):
        self.inputs = inputs
        self.clock = inputs.clock
        self.counters = AdmissionCounters()
        self.work_counters = WorkCounters()
        self.times = ServiceTimes()
        self.host_speed = HostSpeed(inputs.corrects_slowdown)
        self.slot_limit = SlotLimit(inputs)
        self.rate_limit = RateLimit(inputs)
        self.retry_after = RetryAfter(inputs)
        self.downstream = DownstreamLevels()
        self.work_source = no_work
        self.repeat_level = RepeatLevel()
        self.repeat_level.reconfigure(inputs.settings.repeat_limit)
        self.slot_use = SlotUse()
        self.overload = OverloadLog(self.read_clock)
        self.scheme_name = scheme
        self.queue_order = inputs.decisions.queue_order
        self.scheme = make_scheme(scheme, self, self.queue_order)
        self.in_flight = 0
        self.mean_queue_s = 0.0
        self.arrivals = 0
        self.leaving = False
        self.expiries = Expiries(self.recheck_due)
        self.idle = asyncio.Event()
        self.idle.set()

    async def admit(self, call):
        """Wait for a slot; see `interfaces.Admission`."""
        now = self.clock()
        self.check_arrival(call, now)
        scheme = self.scheme
        if not scheme.queue.size and self.has_room(now):
            return self.grant(call, 0.0, now)
        waiting = self.enqueue(call, now)
        try:
            outcome = await waiting.future
        except asyncio.CancelledError:
            self.release_cancelled(waiting)
            raise
        if isinstance(outcome, CallError):
            raise outcome
        return outcome

    def load(self, path_key):
        """Return the load state that answers of a call path carry."""
        now = self.clock()
        level = self.scheme.level(now)
        service_ms = self.times.mean(path_key) * 1_000
        path_levels = self.downstream.closed(now)
        if self.repeat_level.enabled:
            path_levels = self.repeat_level.closed(path_levels, now)
        return LoadState(
            in_flight=self.in_flight,
            queued=self.scheme.queue.size,
            limit=self.scheme.limit(now),
            queue_ms=self.mean_queue_s * 1_000,
            service_ms=service_ms,
            admit_level=level,
            path_levels=path_levels,
            work_ms=self.work_source(path_key, service_ms, level, now),
            slowdown=self.host_speed.current(now),
        )

    def record_report(self, report, sent_at):
        """Apply what an answer of the target states.

        Parameters
        ----------
        report : TargetReport
        sent_at : float
            When the answered call was sent.
        """
        now = self.clock()
        self.host_speed.record(report.slowdown, now)
        if report.rate_is_known:
            self.rate_limit.record_report(report.rate_per_s, sent_at, now)
        if self.scheme.queue.size:
            self.dispatch(now)

    def has_room(self, now):
        """Return whether the target may get another call now."""
        is_open = self.rate_limit.is_open(self.in_flight, now)
        return is_open and self.in_flight < self.scheme.limit(now)

    def usable_slots(self, now):
        """Return how many calls may run at once, by slots and rate limit."""
        slots = self.slot_limit.current(now)
        return self.rate_limit.usable_slots(slots, self.times.overall.mean)

    def call_interval(self, limit):
        """Return the mean seconds between two calls that get a slot.

        Parameters
        ----------
        limit : int
            Calls that may run at once.
        """
        by_slots = self.times.overall.mean * self.host_speed.slowdown / limit
        return max(by_slots, self.rate_limit.call_interval())

    def read_clock(self):
        """Return the current time, in seconds, on the calls' clock."""
        return self.clock()

    def set_downstream_source(self, source):
        """Set the callable that returns what downstream services admit.

        See `DownstreamLevels.source`.
        """
        self.downstream.source = source

    def set_work_source(self, source):
        """Set the callable that returns the work of a path.

        See `calls.work.WorkModel.work_ms`.
        """
        self.work_source = source

    def reconfigure(self, inputs, scheme=None):
        """Apply a changed policy, announcement or scheme.

        Running calls keep their slots. Waiting calls stay queued; if the
        scheme changes, they enter its queue in the order of their arrival.

        Parameters
        ----------
        inputs : AdmissionInputs
        scheme : str or None
            None uses `inputs.decisions.admission`.
        """
        name = scheme or inputs.decisions.admission
        order = inputs.decisions.queue_order
        replaced = name != self.scheme_name or order != self.queue_order
        new_scheme = make_scheme(name, self, order) if replaced else self.scheme
        self.inputs = inputs
        self.clock = inputs.clock
        self.slot_limit.reconfigure(inputs)
        self.rate_limit.reconfigure(inputs)
        self.retry_after.reconfigure(inputs)
        self.repeat_level.reconfigure(inputs.settings.repeat_limit)
        now = self.clock()
        self.host_speed.reconfigure(inputs.corrects_slowdown, now)
        if replaced:
            waiting_calls = sorted(self.empty_queue(), key=lambda entry: entry.number)
            self.scheme, self.scheme_name = new_scheme, name
            self.queue_order = order
            for waiting in waiting_calls:
                new_scheme.enqueue(waiting, now)
        self.dispatch(now)
        self.arm_timer(now)

    def stop_admitting(self):
        """Refuse all queued and new calls; running calls continue."""
        self.leaving = True
        for waiting in self.empty_queue():
            self.resolve(waiting, self.refusal_error(waiting.call, ErrorKind.LEAVING))

    def resume_admitting(self):
        """Admit calls again, for example for a replacement target."""
        self.leaving = False

    async def wait_until_idle(self):
        """Wait until no call is running."""
        await self.idle.wait()

    def close(self):
        """Stop the timers.

        The queue is empty by then: `stop_admitting` has refused its calls.
        """
        self.overload.close()
        self.expiries.close()

    def snapshot(self):
        """Return the state for the status endpoint, as plain values."""
        now = self.clock()
        return {
            "scheme": self.scheme_name,
            "in_flight": self.in_flight,
            "queued": self.scheme.queue.size,
            "limit": self.scheme.limit(now),
            "slots": self.slot_limit.slots,
            "rate_per_s": self.rate_limit.rate,
            "queue_ms": self.mean_queue_s * 1_000,
            "service_ms": self.times.overall.mean * 1_000,
            "admit_level": self.scheme.level(now),
            "repeat_level": self.repeat_level.level,
            "slowdown": self.host_speed.current(now),
            "slow_spells": self.host_speed.slow_spells,
            "leaving": self.leaving,
            **self.counters.plain(),
        }

    def finished(self, ticket, answer):
        """Release the slot of an ended call and hand it to the next one."""
        now = self.clock()
        work_time = self.host_speed.work_time(now)
        elapsed = work_time - ticket.started
        self.in_flight -= 1
        self.slot_use.set_in_flight(self.in_flight, now)
        self.counters.finished += 1
        self.work_counters.record(ticket.call, elapsed, answer)
        self.times.record(ticket.call.path_key, elapsed, answer)
        if answer is not None and answer.kind in OVERLOAD_KINDS:
            self.slot_limit.decrease(self.in_flight + 1, now)
        elif answer is not None and answer.kind is None:
            weight = self.times.relative(ticket.call.path_key)
            mean_s = self.times.overall.mean
            queued = bool(self.scheme.queue.size)
            self.slot_limit.finished(weight, queued, mean_s, now, work_time)
        self.scheme.finished(elapsed, answer, now)
        if self.scheme.queue.size:
            self.dispatch(now)
        if not self.in_flight:
            self.idle.set()

    def refuse_overloaded(self, waiting, now):
        """Refuse a queued or newly arrived call because of overload."""
        if waiting.queued:
            self.scheme.queue.discard(waiting)
        self.overload.refused(waiting.call.importance, now)
        self.resolve(waiting, self.overload_error(waiting.call, now))

    def recheck_due(self):
        """Recheck or expire the calls that are due, then fill free slots."""
        now = self.clock()
        for waiting in self.expiries.pop_due(now):
            if now < waiting.call.expires_at:
                self.scheme.recheck(waiting, now)
                if waiting.queued:
                    self.expiries.add(waiting, self.scheme.queue.size)
            elif self.scheme.enforces_deadlines:
                self.scheme.queue.discard(waiting)
                self.resolve(waiting, self.expiry_error(waiting.call))
        self.dispatch(now)
        self.arm_timer(now)

    def check_arrival(self, call, now):
        if self.leaving:
            raise self.refusal_error(call, ErrorKind.LEAVING)
        scheme = self.scheme
        if scheme.enforces_deadlines:
            error = self.deadline_error(call, now)
            if error is not None:
                raise error
        hold_s = self.inputs.settings.overload_hold_ms / 1_000
        if self.heeds_downstream(call) and self.downstream.refuses(call, hold_s, now):
            self.counters.downstream_refused += 1
            raise self.overload_error(call, now)
        if scheme.refuses(call, now):
            self.overload.refused(call.importance, now)
            raise self.overload_error(call, now)

    def heeds_downstream(self, call):
        """Return whether a call is refused if a downstream service would.

        With `queue_order = "due"` a call of a request that has begun is not:
        the request was admitted at its entry, and refusing it halfway wastes
        the work that was done for it.
        """
        decisions = self.inputs.decisions
        if decisions.queue_order == "due" and call.depth:
            return False
        return decisions.upstream_refusal

    def enqueue(self, call, now):
        self.arrivals += 1
        future = asyncio.get_running_loop().create_future()
        recheck_at = self.scheme.recheck_time(call, now)
        waiting = WaitingCall(call, future, now, recheck_at, self.arrivals)
        self.scheme.enqueue(waiting, now)
        if waiting.queued:
            self.expiries.add(waiting, self.scheme.queue.size)
        self.dispatch(now)
        self.arm_timer(now)
        return waiting

    def dispatch(self, now):
        scheme = self.scheme
        while scheme.queue.size and self.has_room(now):
            waiting = scheme.next_call(now)
            if waiting is None:
                return
            # The caller left in this iteration of the event loop. A slot
            # granted now would be released at once, and each such release
            # would call `dispatch` again, one recursion deeper.
            if waiting.future.done():
                continue
            error = None
            if scheme.enforces_deadlines:
                error = self.deadline_error(waiting.call, now)
            waited_s = now - waiting.arrived_at
            self.resolve(waiting, error or self.grant(waiting.call, waited_s, now))

    def grant(self, call, waited_s, now):
        self.in_flight += 1
        self.rate_limit.use(now)
        self.slot_use.set_in_flight(self.in_flight, now)
        self.idle.clear()
        self.counters.admitted[call.importance] += 1
        self.mean_queue_s += QUEUE_TIME_WEIGHT * (waited_s - self.mean_queue_s)
        self.scheme.granted(waited_s, now)
        return SlotTicket(self, call, self.host_speed.work_time(now))

    def release_cancelled(self, waiting):
        """Dequeue a cancelled call, or release the slot it was granted.

        The slot may be granted in the same iteration of the event loop in
        which the caller leaves. Without the release here, it would never be
        free again, and the limit would be one lower until a restart.
        """
        self.counters.cancelled += 1
        if waiting.queued:
            self.scheme.queue.discard(waiting)
            return
        future = waiting.future
        if future.done() and not future.cancelled():
            outcome = future.result()
            if isinstance(outcome, SlotTicket):
                outcome.finish(None)

    def resolve(self, waiting, outcome):
        waiting.queued = False
        if not waiting.future.done():
            waiting.future.set_result(outcome)

    def empty_queue(self):
        queue = self.scheme.queue
        return list(iter(queue.pop, None))

    def deadline_error(self, call, now):
        remaining = call.expires_at - now
        if remaining <= 0:
            return self.expiry_error(call)
        if self.times.cannot_finish(call.path_key, remaining - call.rest_s, now):
            return self.refusal_error(call, ErrorKind.LIFETIME_TOO_SHORT)
        return None

    def expiry_error(self, call):
        self.counters.expired += 1
        return self.refusal_error(call, ErrorKind.EXPIRED_UNSENT)

    def overload_error(self, call, now):
        retry_after_ms = self.retry_after.record_refusal(now)
        if retry_after_ms:
            delay_s = self.rate_limit.retry_delay(self.scheme.queue.size, now)
            retry_after_ms = max(retry_after_ms, whole_ms(delay_s))
        return self.refusal_error(call, ErrorKind.OVERLOADED, retry_after_ms)

    def refusal_error(self, call, kind, retry_after_ms=0):
        self.counters.refused[call.importance, kind] += 1
        return CallError(kind, retry_after_ms=retry_after_ms)

    def arm_timer(self, now):
        if self.scheme.queue.size:
            self.expiries.arm(now)


def no_work(path_key, service_ms, level, now):
    """Return no work: nothing is scarce."""
    return {}


def make_scheme(name, control, queue_order):
    """Return a new scheme; raise `ValueError` if its name is unknown."""
    scheme = ORDERED_SCHEMES.get((name, queue_order)) or SCHEMES.get(name)
    if scheme is None:
        raise ValueError(f"unknown admission scheme: {name}")
    return scheme(control)
