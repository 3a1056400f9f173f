"""Assigns the target's slots to calls, and queues or refuses the others."""

import asyncio

from papayabay_core.calls import LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.admission.capacity import Capacity
from papayabay_daemon._internal.admission.counters import AdmissionCounters
from papayabay_daemon._internal.admission.expiries import Expiries
from papayabay_daemon._internal.admission.grant_checks import GrantChecks
from papayabay_daemon._internal.admission.refusals import Refusals
from papayabay_daemon._internal.admission.repeat_level import RepeatLevel
from papayabay_daemon._internal.admission.schemes import make_scheme
from papayabay_daemon._internal.admission.slot_use import SlotUse
from papayabay_daemon._internal.admission.status import plain_status
from papayabay_daemon._internal.admission.ticket import SlotTicket
from papayabay_daemon._internal.admission.waiting import WaitingCall
from papayabay_daemon._internal.admission.work_counters import WorkCounters, no_work

QUEUE_TIME_WEIGHT = 0.1
"""Weight of the latest call in the mean queueing time."""


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
        self.checks = GrantChecks(self.counters)
        self.work_counters = WorkCounters()
        self.capacity = Capacity(inputs)
        self.times = self.capacity.times
        self.host_speed = self.capacity.host_speed
        self.slot_limit = self.capacity.slot_limit
        self.rate_limit = self.capacity.rate_limit
        self.refusals = Refusals(self, inputs)
        self.downstream = self.refusals.downstream
        self.work_source = no_work
        self.repeat_level = RepeatLevel()
        self.repeat_level.reconfigure(inputs.settings.repeat_limit)
        self.slot_use = SlotUse()
        self.in_flight = 0
        self.mean_queue_s = 0.0
        self.arrivals = 0
        self.leaving = False
        self.expiries = Expiries(self.recheck_due)
        self.idle = None
        self.loop = None
        self.scheme_name = scheme
        self.queue_order = inputs.decisions.queue_order
        self.scheme = make_scheme(scheme, self, self.queue_order)
        self.enforces_deadlines = self.scheme.enforces_deadlines

    async def admit(self, call):
        """Wait for a slot; see `interfaces.Admission`."""
        now = self.clock()
        self.refusals.check_arrival(call, now)
        if not self.scheme.queue.size and self.has_room(now):
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
        scheme, host_speed = self.scheme, self.host_speed
        level = scheme.level(now)
        times = self.times.paths.get(path_key) or self.times.overall
        service_ms = times.mean * 1_000
        path_levels = self.downstream.closed(now)
        if self.repeat_level.enabled:
            path_levels = self.repeat_level.closed(path_levels, now)
        return LoadState(
            self.in_flight,
            scheme.queue.size,
            scheme.limit(now),
            self.mean_queue_s * 1_000,
            service_ms,
            level,
            path_levels,
            self.work_source(path_key, service_ms, level, now),
            host_speed.slowdown
            if now < host_speed.expires_at
            else host_speed.current(now),
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
            limit, rate = self.rate_limit, report.rate_per_s
            if rate is not None or not limit.is_unlimited:
                limit.record_report(rate, sent_at, now)
        if self.scheme.queue.size:
            self.dispatch(now)

    def has_room(self, now):
        """Return whether the target may get another call now."""
        if self.in_flight >= self.scheme.limit(now):
            return False
        limit = self.rate_limit
        return limit.is_unlimited or limit.is_open(self.in_flight, now)

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
        self.capacity.reconfigure(inputs)
        self.refusals.reconfigure(inputs)
        self.repeat_level.reconfigure(inputs.settings.repeat_limit)
        # Read for each call, and changed by a policy or another scheme only.
        self.enforces_deadlines = new_scheme.enforces_deadlines
        now = self.clock()
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
            self.resolve(waiting, self.refusals.error(waiting.call, ErrorKind.LEAVING))

    def resume_admitting(self):
        """Admit calls again, for example for a replacement target."""
        self.leaving = False

    async def wait_until_idle(self):
        """Wait until no call is running."""
        while self.in_flight:
            self.idle = self.idle or asyncio.Event()
            await self.idle.wait()

    def close(self):
        """Stop the timers.

        The queue is empty by then: `stop_admitting` has refused its calls.
        """
        self.refusals.overload.close()
        self.expiries.close()

    def snapshot(self):
        """Return the state for the status endpoint, as plain values."""
        return plain_status(self, self.clock())

    def finished(self, ticket, answer):
        """Release the slot of an ended call and hand it to the next one."""
        now = self.clock()
        work_time = self.host_speed.work_time(now)
        elapsed = work_time - ticket.started
        in_flight = self.in_flight = self.in_flight - 1
        self.slot_use.set_in_flight(in_flight, now)
        self.counters.finished += 1
        self.work_counters.record(ticket.call, elapsed, answer)
        queued = self.scheme.queue.size > 0
        self.capacity.record_end(
            ticket.call, answer, elapsed, in_flight, queued, now, work_time
        )
        self.scheme.finished(elapsed, answer, now)
        if queued:
            self.dispatch(now)
        if self.idle is not None and not self.in_flight:
            self.idle.set()
            self.idle = None

    def refuse_overloaded(self, waiting, now):
        """Refuse a queued or newly arrived call because of overload."""
        if waiting.queued:
            self.scheme.queue.discard(waiting)
        self.checks.check_refusal(self.has_room(now))
        self.refusals.overload.refused(waiting.call.importance, now)
        self.resolve(waiting, self.refusals.overload_error(waiting.call, now))

    def recheck_due(self):
        """Recheck or expire the calls that are due, then fill free slots."""
        now = self.clock()
        # The limit may have risen since the last event.
        self.dispatch(now)
        for waiting in self.expiries.pop_due(now):
            if now < waiting.call.expires_at:
                self.scheme.recheck(waiting, now)
                if waiting.queued:
                    self.expiries.add(waiting, self.scheme.queue.size)
            elif self.enforces_deadlines:
                self.scheme.queue.discard(waiting)
                self.resolve(waiting, self.refusals.expiry_error(waiting.call))
        self.dispatch(now)
        self.arm_timer(now)

    def enqueue(self, call, now):
        self.arrivals += 1
        self.dispatch(now)
        # Each look-up of the running loop is a system call in Python 3.11.
        if self.loop is None:
            self.loop = asyncio.get_running_loop()
        future = self.loop.create_future()
        recheck_at = self.scheme.recheck_time(call, now)
        waiting = WaitingCall(call, future, now, recheck_at, self.arrivals)
        self.checks.record_waiting(call)
        self.scheme.enqueue(waiting, now)
        if waiting.queued:
            self.expiries.add(waiting, self.scheme.queue.size)
        self.dispatch(now)
        if self.scheme.queue.size:
            self.expiries.arm(now)
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
                self.checks.record_left(waiting.call)
                continue
            error = None
            if self.enforces_deadlines:
                error = self.refusals.deadline_error(waiting.call, now)
            if error is None:
                self.checks.check_grant(waiting.call)
            waited_s = now - waiting.arrived_at
            self.resolve(waiting, error or self.grant(waiting.call, waited_s, now))

    def grant(self, call, waited_s, now):
        self.in_flight += 1
        if self.rate_limit.bucket is not None:
            self.rate_limit.use(now)
        self.slot_use.set_in_flight(self.in_flight, now)
        self.counters.admitted[call.importance] += 1
        self.refusals.retry_delays.record_admitted(call.importance)
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
            self.checks.record_left(waiting.call)
            return
        future = waiting.future
        if future.done() and not future.cancelled():
            outcome = future.result()
            if isinstance(outcome, SlotTicket):
                outcome.finish(None)

    def resolve(self, waiting, outcome):
        waiting.queued = False
        self.checks.record_left(waiting.call)
        if not waiting.future.done():
            waiting.future.set_result(outcome)

    def empty_queue(self):
        queue = self.scheme.queue
        return list(iter(queue.pop, None))

    def arm_timer(self, now):
        if self.scheme.queue.size:
            self.expiries.arm(now)
