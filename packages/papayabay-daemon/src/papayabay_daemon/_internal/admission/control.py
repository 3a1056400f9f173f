"""Slots, waiting calls and their end; the scheme decides among them."""

import asyncio

from papayabay_core.calls import LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.admission.codel import CoDel
from papayabay_daemon._internal.admission.counters import AdmissionCounters
from papayabay_daemon._internal.admission.dagor import Dagor
from papayabay_daemon._internal.admission.downstream import DownstreamLevels
from papayabay_daemon._internal.admission.expiries import Expiries
from papayabay_daemon._internal.admission.gradient import Gradient
from papayabay_daemon._internal.admission.open import Open
from papayabay_daemon._internal.admission.overload import OverloadLog
from papayabay_daemon._internal.admission.ranked import Ranked
from papayabay_daemon._internal.admission.retry_after import RetryAfter
from papayabay_daemon._internal.admission.service_times import ServiceTimes
from papayabay_daemon._internal.admission.slot_limit import (
    PUSHED_BACK,
    SlotLimit,
)
from papayabay_daemon._internal.admission.slot_use import SlotUse
from papayabay_daemon._internal.admission.static import Static
from papayabay_daemon._internal.admission.ticket import SlotTicket
from papayabay_daemon._internal.admission.waiting import WaitingCall

QUEUE_WEIGHT = 0.1
SCHEMES = {
    "ranked": Ranked,
    "dagor": Dagor,
    "codel": CoDel,
    "gradient": Gradient,
    "static": Static,
    "open": Open,
}


def make_admission(scheme, inputs):
    """Return the admission of one target.

    Parameters
    ----------
    scheme : str
        A name of the policy's `decisions.admission`.
    inputs : AdmissionInputs

    Raises
    ------
    ValueError
        When the scheme is not known.
    """
    return AdmissionControl(scheme, inputs)


class AdmissionControl:
    """Admission of the target beside this daemon.

    Owns the slots in use and the waiting calls, so that scheme, policy and
    announcement can change while calls run.

    Parameters
    ----------
    scheme : str
    inputs : AdmissionInputs
    """

    def __init__(self, scheme, inputs):
        self.inputs = inputs
        self.clock = inputs.clock
        self.counters = AdmissionCounters()
        self.times = ServiceTimes()
        self.slot_limit = SlotLimit(inputs)
        self.retry_after = RetryAfter(inputs)
        self.downstream = DownstreamLevels()
        self.slot_use = SlotUse()
        self.overload = OverloadLog(self.read_clock)
        self.scheme_name = scheme
        self.scheme = make_scheme(scheme, self)
        self.in_flight = 0
        self.queue_s = 0.0
        self.arrivals = 0
        self.leaving = False
        self.expiries = Expiries(self.expire_due)
        self.idle = asyncio.Event()
        self.idle.set()

    async def admit(self, call):
        """Wait for a slot; see `interfaces.Admission`."""
        now = self.clock()
        self.check_arrival(call, now)
        scheme = self.scheme
        if not scheme.line.live and self.in_flight < scheme.limit(now):
            return self.grant(call, 0.0, now)
        waiting = self.enter(call, now)
        try:
            outcome = await waiting.future
        except asyncio.CancelledError:
            self.abandon(waiting)
            raise
        if isinstance(outcome, CallError):
            raise outcome
        return outcome

    def load(self, path_key):
        """Return the state that answers of this path carry."""
        now = self.clock()
        return LoadState(
            in_flight=self.in_flight,
            queued=self.scheme.line.live,
            limit=self.scheme.limit(now),
            queue_ms=self.queue_s * 1_000,
            service_ms=self.times.mean(path_key) * 1_000,
            admit_level=self.scheme.level(now),
            path_levels=self.downstream.closed(now),
        )

    def read_clock(self):
        """Return the seconds of the clock that calls go by."""
        return self.clock()

    def set_downstream_source(self, source):
        """Set what tells the level of the services below a path."""
        self.downstream.source = source

    def reconfigure(self, inputs, scheme=None):
        """Take over changed policy, announcement or scheme.

        Running calls keep their slots; waiting ones stay in line, or enter
        the new scheme's line in the order in which they arrived.

        Parameters
        ----------
        inputs : AdmissionInputs
        scheme : str or None
            None keeps to `inputs.decisions.admission`.
        """
        name = scheme or inputs.decisions.admission
        replaced = name != self.scheme_name
        fresh = make_scheme(name, self) if replaced else self.scheme
        self.inputs = inputs
        self.clock = inputs.clock
        self.slot_limit.reconfigure(inputs)
        self.retry_after.reconfigure(inputs)
        now = self.clock()
        if replaced:
            moved = sorted(self.emptied(), key=lambda entry: entry.number)
            self.scheme, self.scheme_name = fresh, name
            for waiting in moved:
                fresh.enter(waiting, now)
        self.dispatch(now)
        self.arm(now)

    def stop_admitting(self):
        """Refuse what waits and whatever comes; what runs goes on."""
        self.leaving = True
        for waiting in self.emptied():
            self.end(waiting, self.refusal(waiting.call, ErrorKind.LEAVING))

    def resume_admitting(self):
        """Admit again, as for a target that takes another one's place."""
        self.leaving = False

    async def wait_until_idle(self):
        """Wait until nothing runs."""
        await self.idle.wait()

    def close(self):
        """Stop the timers; nothing waits after `stop_admitting`."""
        self.overload.close()
        self.expiries.close()

    def snapshot(self):
        """Return the state for the status door, as plain values."""
        now = self.clock()
        return {
            "scheme": self.scheme_name,
            "in_flight": self.in_flight,
            "queued": self.scheme.line.live,
            "limit": self.scheme.limit(now),
            "slots": self.slot_limit.slots,
            "queue_ms": self.queue_s * 1_000,
            "service_ms": self.times.overall.mean * 1_000,
            "admit_level": self.scheme.level(now),
            "leaving": self.leaving,
            **self.counters.plain(),
        }

    def finished(self, ticket, answer):
        """Take a slot back and give it to the next call."""
        now = self.clock()
        elapsed = now - ticket.started
        self.in_flight -= 1
        self.slot_use.changed(self.in_flight, now)
        self.counters.finished += 1
        self.times.record(ticket.call.path_key, elapsed, answer)
        if answer is not None and answer.kind in PUSHED_BACK:
            self.slot_limit.pushed_back(self.in_flight + 1, now)
        elif answer is not None and answer.kind is None:
            weight = self.times.relative(ticket.call.path_key)
            usual_s = self.times.overall.mean
            waiting = bool(self.scheme.line.live)
            self.slot_limit.finished(weight, waiting, usual_s, now)
        self.scheme.finished(elapsed, answer, now)
        if self.scheme.line.live:
            self.dispatch(now)
        if not self.in_flight:
            self.idle.set()

    def refuse_overloaded(self, waiting, now):
        """End a call for overload, in line or just arrived."""
        if waiting.queued:
            self.scheme.line.discard(waiting)
        self.overload.refused(waiting.call.importance, now)
        self.end(waiting, self.overloaded(waiting.call, now))

    def expire_due(self):
        """End the calls that wait in vain, and use free slots."""
        now = self.clock()
        for waiting in self.expiries.take_due(now):
            if now < waiting.call.expires_at:
                self.scheme.outwaited(waiting, now)
                if waiting.queued:
                    self.expiries.add(waiting, self.scheme.line.live)
            elif self.scheme.knows_lifetimes:
                self.scheme.line.discard(waiting)
                self.end(waiting, self.expired(waiting.call))
        self.dispatch(now)
        self.arm(now)

    def check_arrival(self, call, now):
        if self.leaving:
            raise self.refusal(call, ErrorKind.LEAVING)
        scheme = self.scheme
        if scheme.knows_lifetimes:
            error = self.lifetime_error(call, now)
            if error is not None:
                raise error
        hold_s = self.inputs.settings.overload_hold_ms / 1_000
        if self.inputs.decisions.upstream_refusal and self.downstream.refuses(
            call, hold_s, now
        ):
            self.counters.downstream_refused += 1
            raise self.overloaded(call, now)
        if scheme.refuses(call, now):
            self.overload.refused(call.importance, now)
            raise self.overloaded(call, now)

    def enter(self, call, now):
        self.arrivals += 1
        future = asyncio.get_running_loop().create_future()
        until = self.scheme.wait_until(call, now)
        waiting = WaitingCall(call, future, now, until, self.arrivals)
        self.scheme.enter(waiting, now)
        if waiting.queued:
            self.expiries.add(waiting, self.scheme.line.live)
        self.dispatch(now)
        self.arm(now)
        return waiting

    def dispatch(self, now):
        scheme = self.scheme
        while scheme.line.live and self.in_flight < scheme.limit(now):
            waiting = scheme.take(now)
            if waiting is None:
                return
            # Its caller left in this turn of the loop; a slot granted now
            # would come straight back, one recursion deeper each time.
            if waiting.future.done():
                continue
            error = None
            if scheme.knows_lifetimes:
                error = self.lifetime_error(waiting.call, now)
            waited = now - waiting.since
            self.end(waiting, error or self.grant(waiting.call, waited, now))

    def grant(self, call, waited, now):
        self.in_flight += 1
        self.slot_use.changed(self.in_flight, now)
        self.idle.clear()
        self.counters.admitted[call.importance] += 1
        self.queue_s += QUEUE_WEIGHT * (waited - self.queue_s)
        self.scheme.granted(waited, now)
        return SlotTicket(self, call, now)

    def abandon(self, waiting):
        """Undo what a cancelled call holds.

        The slot may have been granted in the same turn of the event loop in
        which the caller left; nobody would then ever give it back, and the
        limit would shrink by one until a restart.
        """
        self.counters.cancelled += 1
        if waiting.queued:
            self.scheme.line.discard(waiting)
            return
        future = waiting.future
        if future.done() and not future.cancelled():
            outcome = future.result()
            if isinstance(outcome, SlotTicket):
                outcome.finish(None)

    def end(self, waiting, outcome):
        waiting.queued = False
        if not waiting.future.done():
            waiting.future.set_result(outcome)

    def emptied(self):
        line = self.scheme.line
        return list(iter(line.pop, None))

    def lifetime_error(self, call, now):
        remaining = call.expires_at - now
        if remaining <= 0:
            return self.expired(call)
        if self.times.too_late(call.path_key, remaining, now):
            return self.refusal(call, ErrorKind.LIFETIME_TOO_SHORT)
        return None

    def expired(self, call):
        self.counters.expired += 1
        return self.refusal(call, ErrorKind.EXPIRED_UNSENT)

    def overloaded(self, call, now):
        pause = self.retry_after.refused(now)
        return self.refusal(call, ErrorKind.OVERLOADED, pause)

    def refusal(self, call, kind, retry_after_ms=0):
        self.counters.refused[call.importance, kind] += 1
        return CallError(kind, retry_after_ms=retry_after_ms)

    def arm(self, now):
        if self.scheme.line.live:
            self.expiries.arm(now)


def make_scheme(name, host):
    """Return a scheme by its name in the policy; `ValueError` if unknown."""
    scheme = SCHEMES.get(name)
    if scheme is None:
        raise ValueError(f"unknown admission scheme: {name}")
    return scheme(host)
