"""Enforces the retry budget beside the target."""

from dataclasses import asdict
from functools import partial

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.retries.decision import KEPT_FROM_TARGET
from papayabay_daemon._internal.retries.sharers import SharerCount
from papayabay_daemon._internal.retries.shortage import BudgetShortage
from papayabay_daemon._internal.retries.window import RepeatWindow

COUNTED = ("first_attempts", "first_missed", "arrived", "refused")
"""Counters: first attempts handed to the target, and those of them that never
reached it; retries handed to it, and those refused."""
log = logbook.Logger("papayabay.retries")


class ArrivalBudget:
    """One daemon's part of a service's retry budget.

    Enforced at the callee: every arrival passes one daemon, and callees are
    few.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    sharers : callable
        Takes a service; returns how many daemons there are beside its
        targets, or were until lately.
    clock : callable
        Seconds.

    Attributes
    ----------
    counters : dict of str to int
    """

    def __init__(self, policy_source, sharers, clock=now):
        self.policy_source = policy_source
        self.sharers = SharerCount(sharers, clock)
        self.clock = clock
        self.service = ""
        self.window = None
        self.counters = dict.fromkeys(COUNTED, 0)
        self.arrived_by_class = dict.fromkeys(Importance, 0)
        self.shortage = BudgetShortage(log)

    def check(self, call):
        """Admit a call on its way to the target.

        Returns
        -------
        RepeatWindow or None
            The window that the call's arrival or its end belongs to; None
            without a budget.

        Raises
        ------
        CallError
            RETRIES_SPENT for a retry beyond the budget.
        """
        retries = self.policy_source().retries(call.service)
        if retries.window_ms is None:
            return None
        window = self.window_of(call.service, retries.window_ms / 1_000)
        # Counted without retries too: a daemon that leaves may have spent its
        # part by then.
        self.sharers.count(call.service, window.window_s)
        if not call.repeated:
            return window
        sharers = self.sharers.most()
        if window.allow(retries, sharers, call.policy_class):
            self.shortage.allowed(call.service, self.clock())
            return window
        self.counters["refused"] += 1
        tightest = partial(window.tightest, retries, sharers)
        self.shortage.refused(call.service, self.clock(), tightest)
        raise CallError(ErrorKind.RETRIES_SPENT, "the service's budget is spent")

    def record_arrival(self, call, window):
        """Count a call that has reached the target.

        A first attempt that is refused on its way is a first attempt again at
        the next daemon, and must not earn retries at both.
        """
        if window is None:
            return
        if call.repeated:
            window.repeat_arrived()
            self.counters["arrived"] += 1
            self.arrived_by_class[call.policy_class] += 1
        else:
            window.first_arrived()
            self.counters["first_attempts"] += 1

    def record_end(self, call, window, answer):
        """Take back a first attempt that never reached the target.

        It is tried elsewhere as a first one. A retry stays counted, which
        errs on the safe side.
        """
        if window is None or call.repeated or answer.kind not in KEPT_FROM_TARGET:
            return
        window.first_missed()
        self.counters["first_missed"] += 1

    def release(self, call, window):
        """Release the reservation of a call that won't reach the target."""
        if window is not None and call.repeated:
            window.release()

    def totals(self):
        """Return what was counted since the start, for metrics."""
        by_class = {
            importance.name.lower(): count
            for importance, count in self.arrived_by_class.items()
        }
        return {**self.counters, "arrived_by_class": by_class}

    def levels(self):
        """Return the state of the budget, for metrics.

        Returns
        -------
        dict of str to float
            Empty without a budget.
        """
        if self.window is None:
            return {}
        retries = self.policy_source().retries(self.service)
        if retries.window_ms is None:
            return {}
        return asdict(self.window.tightest(retries, self.sharers.most()))

    def window_of(self, service, window_s):
        """Return the window of the service that the target offers now.

        Another service, or another length of the window, begins an empty one.
        """
        if self.service != service or self.window.window_s != window_s:
            self.service = service
            self.window = RepeatWindow(self.clock, window_s)
            self.sharers.forget()
        return self.window
