"""Tells refused requests when to come back, and admits those that do first."""

import logbook

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.errors import NOT_RUN, CallError, ErrorKind
from papayabay_core.utils.clock import now, whole_ms
from papayabay_daemon._internal.retries.class_backlog import (
    TIME_SLOT_SECONDS,
    ClassBacklog,
)
from papayabay_daemon._internal.retries.reservations import Reservations, request_digest

REFUSED_FOR_LOAD = (ErrorKind.OVERLOADED, ErrorKind.RETRIES_SPENT)
MAX_WAIT_SHARE = 1 / 3
"""Longest Retry-After, as a share of the remaining time; clients that were
told more come back earlier than that."""
MAX_WAIT_SECONDS = 4.0
"""Longest Retry-After; a reservation is kept for little longer."""
MIN_WAIT_SECONDS = 0.01
SPREAD = 16
"""Number of different times in the last time slot before the horizon."""
MAX_BACKLOGS = 1_024
MAX_PATHS = 1_024
TIME_WEIGHT = 0.1
"""Weight of one request in the mean time that requests of its path take."""
CALM_SECONDS = 2.0
"""Time without a request that found no time slot, after which the backlog
counts as served."""
COUNTERS = ("told", "told_last", "kept", "early", "served")
log = logbook.Logger("papayabay.retries")


class ReturnTimes:
    """Return times of the requests that this entry refuses for load.

    Parameters
    ----------
    clock : callable
        Seconds.

    Attributes
    ----------
    backlogs : dict of (str, Importance) to ClassBacklog
        By service and class.
    usual_s : dict of str to float
        Mean time that an answered request took, by path key.
    counters : dict of str to int
        Requests told the time of a slot, and requests told the last time as
        no slot was left; requests that came back in time or too early, and
        those in time that were run.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.backlogs = {}
        self.usual_s = {}
        self.reservations = Reservations()
        self.counters = dict.fromkeys(COUNTERS, 0)
        self.no_slot_count = 0
        self.no_slot_at = 0.0

    def recognise(self, call):
        """Return whether a request has come back at the time it was told."""
        if not self.reservations.in_order:
            return False
        moment = self.clock()
        self.reservations.expire(moment)
        in_time = self.reservations.take(request_digest(call), moment)
        if in_time is None:
            return False
        self.counters["kept" if in_time else "early"] += 1
        return in_time

    async def run(self, call, rule, returned, awaitable):
        """Await a request's answer; set the return time of a refusal.

        Parameters
        ----------
        call : Call
            The root call.
        rule : CallRule
        returned : bool
            Whether it was recognised as a returning request.
        awaitable : awaitable of Answer

        Returns
        -------
        Answer

        Raises
        ------
        CallError
            Of the awaitable, with its return time.
        """
        started = self.clock()
        try:
            answer = await awaitable
        except CallError as error:
            if error.kind in REFUSED_FOR_LOAD:
                due_at = due_time(call, rule, started)
                error.retry_after_ms = self.refused(call, error.retry_after_ms, due_at)
            raise
        if answer.effect is not NOT_RUN:
            self.counters["served"] += returned
            self.admitted(call, answer, started)
        elif answer.kind in REFUSED_FOR_LOAD:
            due_at = due_time(call, rule, started)
            answer.retry_after_ms = self.refused(call, answer.retry_after_ms, due_at)
        return answer

    def admitted(self, call, answer, started):
        """Record a request that was run."""
        moment = self.clock()
        key = call.service, call.importance
        backlog = self.backlogs.get(key)
        if backlog is None:
            if len(self.backlogs) >= MAX_BACKLOGS:
                self.backlogs.clear()
            backlog = self.backlogs[key] = ClassBacklog(moment)
        backlog.record_admitted(moment)
        if answer.status >= SERVER_ERROR:
            return
        elapsed = moment - started
        usual = self.usual_s.get(call.path_key)
        if usual is None:
            if len(self.usual_s) >= MAX_PATHS:
                self.usual_s.clear()
            usual = elapsed
        self.usual_s[call.path_key] = usual + TIME_WEIGHT * (elapsed - usual)

    def refused(self, call, retry_after_ms, due_at):
        """Return the retry-after ms of a request refused for load.

        Parameters
        ----------
        call : Call
        retry_after_ms : int
            Of the refusal; kept if no request of this service and class has
            been admitted here yet.
        due_at : float
            When the answer to the returning request is needed.
        """
        backlog = self.backlogs.get((call.service, call.importance))
        if backlog is None and retry_after_ms:
            return retry_after_ms
        moment = self.clock()
        remaining = call.expires_at - moment
        longest = min(MAX_WAIT_SECONDS, remaining * MAX_WAIT_SHARE)
        # A request that would be late takes no time slot: with the best rank,
        # it would displace one that can be in time.
        usual = self.usual_s.get(call.path_key, 0.0)
        usable = min(longest, due_at - moment - usual)
        delay = backlog.assign(moment, usable) if backlog is not None else None
        if delay is None:
            return self.last_time_ms(call.service, longest, moment)
        self.counters["told"] += 1
        self.log_served(call.service, moment)
        self.reservations.expire(moment)
        self.reservations.add(request_digest(call), moment + delay, moment)
        return whole_ms(max(MIN_WAIT_SECONDS, delay))

    def last_time_ms(self, service, longest, moment):
        """Return a time in the last time slot before the horizon, in ms.

        There is no reservation for it: if more requests came back with the
        best rank than are admitted, the rank would not order them.
        """
        spread = TIME_SLOT_SECONDS * (self.counters["told_last"] % SPREAD) / SPREAD
        self.counters["told_last"] += 1
        if not self.no_slot_count:
            log.notice(
                "refused requests to {} exceed what is admitted within {:.1f} s; "
                "telling further ones the last time without a reservation",
                service,
                max(0.0, longest),
            )
        self.no_slot_count += 1
        self.no_slot_at = moment
        return whole_ms(max(MIN_WAIT_SECONDS, longest - min(spread, longest / 2)))

    def log_served(self, service, moment):
        """Log the end of a state in which time slots were lacking."""
        if self.no_slot_count and moment - self.no_slot_at >= CALM_SECONDS:
            log.notice(
                "refused requests to {} have time slots again, after {} without; "
                "reserving return times",
                service,
                self.no_slot_count,
            )
            self.no_slot_count = 0


def due_time(call, rule, started):
    """Return the earlier of the deadline and the latency objective's end."""
    objective = rule.objective
    if objective is None or objective.latency_ms is None:
        return call.expires_at
    return min(call.expires_at, started + objective.latency_ms / 1_000)
