"""Enforces a service's retry budget at the daemons beside its targets."""

from dataclasses import asdict
from functools import partial

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.admission.repeat_level import RepeatLevel
from papayabay_daemon._internal.retries.decision import (
    NEVER_REACHED_TARGET,
    TARGET_REJECTED,
)
from papayabay_daemon._internal.retries.exhaustion_log import ExhaustionLog
from papayabay_daemon._internal.retries.sharers import SharerCount
from papayabay_daemon._internal.retries.window import BudgetWindow

COUNTER_NAMES = ("first_attempts", "first_missed", "arrived", "refused")
"""First attempts forwarded to the target, and those of them that never reached
it; retries forwarded to the target, and retries refused."""
log = logbook.Logger("papayabay.retries")


class ArrivalBudget:
    """One daemon's share of a service's retry budget.

    The budget is enforced at the callee, because every call that arrives there
    passes exactly one daemon, and a service has fewer targets than callers.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    sharers : callable
        Takes a service; returns how many daemons are beside its targets, or
        were until recently.
    clock : callable
        Seconds.
    repeat_level : RepeatLevel or None
        Level up to which the budget carries calls; None measures none.

    Attributes
    ----------
    counters : dict of str to int
    window : BudgetWindow or None
        Counts the calls of `service`; None before the first.
    policy, checked_service, retries
        The policy and the service of the latest check, and the `Retries` that
        the policy sets for the service.
    """

    def __init__(self, policy_source, sharers, clock=now, repeat_level=None):
        self.policy_source = policy_source
        self.sharers = SharerCount(sharers, clock)
        self.clock = clock
        self.service = ""
        self.window = None
        self.policy = None
        self.checked_service = None
        self.retries = None
        self.counters = dict.fromkeys(COUNTER_NAMES, 0)
        self.arrived_by_class = dict.fromkeys(Importance, 0)
        self.exhaustion_log = ExhaustionLog(log)
        self.repeat_level = repeat_level or RepeatLevel()
        self.repeat_level.budget = self.retry_rate

    def check(self, call):
        """Admit a call on its way to the target.

        Returns
        -------
        BudgetWindow or None
            The window to record the call's arrival and end in; None if policy
            sets no budget.

        Raises
        ------
        CallError
            RETRIES_SPENT for a retry if the budget is exhausted.
        """
        policy = self.policy_source()
        if policy is not self.policy or call.service != self.checked_service:
            self.read_policy(policy, call.service)
        retries, window = self.retries, self.window
        if retries.window_ms is None:
            return None
        # Updated for first attempts too: a daemon that leaves before the next
        # retry may already have spent its share.
        if self.clock() > self.sharers.next_at:
            self.sharers.update(call.service, window.window_s)
        if not call.repeated:
            return window
        # While there is a level, it bounds the rate of the retries below it.
        is_limited = self.repeat_level.position is not None
        if is_limited and self.repeat_level.refuses(call, self.clock()):
            self.counters["refused"] += 1
            raise CallError(ErrorKind.RETRIES_SPENT, "the budget is scarce")
        sharers = self.sharers.max_count()
        if window.try_reserve(retries, sharers, call.policy_class, not is_limited):
            self.exhaustion_log.admitted(call.service, self.clock())
            return window
        self.counters["refused"] += 1
        tightest = partial(window.tightest, retries, sharers)
        self.exhaustion_log.refused(call.service, self.clock(), tightest)
        raise CallError(ErrorKind.RETRIES_SPENT, "the service's budget is spent")

    def record_arrival(self, call, window):
        """Count a call that is forwarded to the target.

        A first attempt that this daemon refuses is a first attempt again at
        the next daemon. It is counted here and not in `check`, so that it
        earns retries at one daemon only.
        """
        if window is None:
            return
        if call.repeated:
            window.record_retry()
            self.counters["arrived"] += 1
            self.arrived_by_class[call.policy_class] += 1
        else:
            window.record_first_attempt()
            self.counters["first_attempts"] += 1
            if self.repeat_level.enabled:
                self.repeat_level.record_arrival(call, self.clock())

    def record_end(self, call, window, answer):
        """Uncount a first attempt that did not reach the target after all.

        It is sent to another upstream as a first attempt. A retry stays
        counted: the budget is then underused rather than exceeded.
        """
        if window is None:
            return
        kind = answer.kind
        missed = kind is not None and kind in NEVER_REACHED_TARGET
        if self.repeat_level.enabled and not missed:
            rejected = kind is TARGET_REJECTED
            self.repeat_level.record_end(rejected, self.clock())
        if call.repeated or not missed:
            return
        window.undo_first_attempt()
        self.counters["first_missed"] += 1

    def release(self, call, window):
        """Release the reservation of a retry that won't reach the target."""
        if window is not None and call.repeated:
            window.release()

    def totals(self):
        """Return the counters since the start, for metrics."""
        by_class = {
            importance.name.lower(): count
            for importance, count in self.arrived_by_class.items()
        }
        level_counters = self.repeat_level.counters
        return {**self.counters, **level_counters, "arrived_by_class": by_class}

    def retry_rate(self, importance):
        """Return the retries per second that are left for a class, or None."""
        if self.window is None:
            return None
        retries = self.policy_source().retries(self.service)
        if retries.window_ms is None:
            return None
        sharers = self.sharers.max_count()
        return self.window.retry_rate(retries, sharers, importance)

    def gauges(self):
        """Return the `BudgetUse` of the tightest window, for metrics.

        Returns
        -------
        dict of str to float
            Empty if policy sets no budget.
        """
        if self.window is None:
            return {}
        retries = self.policy_source().retries(self.service)
        if retries.window_ms is None:
            return {}
        return asdict(self.window.tightest(retries, self.sharers.max_count()))

    def read_policy(self, policy, service):
        """Apply a changed policy, or start to check another service."""
        self.policy = policy
        self.checked_service = service
        self.retries = retries = policy.retries(service)
        if retries.window_ms is not None:
            self.window_for(service, retries.window_ms / 1_000)

    def window_for(self, service, window_s):
        """Return the window that counts the current service's calls.

        A change of the service or of the window's length starts an empty one.
        """
        if self.service != service or self.window.window_s != window_s:
            self.service = service
            self.window = BudgetWindow(self.clock, window_s)
            self.sharers.reset()
            self.repeat_level.reset()
        return self.window
