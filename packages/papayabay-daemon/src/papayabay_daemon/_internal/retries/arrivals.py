"""Bounds the repeats that reach the target beside this daemon."""

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
"""What metrics tell: first attempts handed to the target, and those of them
that it never saw; repeats that it was handed, and those beyond the budget."""
log = logbook.Logger("papayabay.retries")


class ArrivalBudget:
    """The part that one daemon has in a service's budget for repeats.

    All daemons together may let a share of a service's requests reach it a
    second time. The daemons beside the service's targets keep to that: every
    arrival passes one of them, and they are few. Kept by those who call, the
    budget lay in as many parts as there are callers: of 213 repeats for 195
    daemons each had less than one, and a service whose calls come from
    everywhere, three a second from each, got none at all.

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
        """Let a call on its way to the target.

        Returns
        -------
        RepeatWindow or None
            The account that the call's arrival or its end belongs to; None
            where there is no budget to keep to.

        Raises
        ------
        CallError
            RETRIES_SPENT for a repeat that is beyond the budget.
        """
        retries = self.policy_source().retries(call.service)
        if retries.window_ms is None:
            return None
        window = self.window_of(call.service, retries.window_ms / 1_000)
        # Counted while there are no repeats too: who leaves before the first
        # of them may have spent a part by then.
        self.sharers.count(call.service, window.window_s)
        if not call.repeated:
            return window
        sharers = self.sharers.most()
        if window.allow(retries, sharers, call.own_class):
            self.shortage.allowed(call.service, self.clock())
            return window
        self.counters["refused"] += 1
        tightest = partial(window.tightest, retries, sharers)
        self.shortage.refused(call.service, self.clock(), tightest)
        raise CallError(ErrorKind.RETRIES_SPENT, "the service's budget is spent")

    def arrived(self, call, window):
        """Note that a call has reached the target.

        First attempts are counted here and not on their way: one that is
        refused for load is tried at other daemons, where it is a first attempt
        as well, and would earn repeats at each of them.
        """
        if window is None:
            return
        if call.repeated:
            window.repeat_arrived()
            self.counters["arrived"] += 1
            self.arrived_by_class[call.own_class] += 1
        else:
            window.first_arrived()
            self.counters["first_attempts"] += 1

    def ended(self, call, window, answer):
        """Take a first attempt off the account that the target never saw.

        It is tried elsewhere as a first one. A repeat stays counted, which
        errs towards too few of them.
        """
        if window is None or call.repeated or answer.kind not in KEPT_FROM_TARGET:
            return
        window.first_missed()
        self.counters["first_missed"] += 1

    def give_back(self, call, window):
        """Note that a call won't reach the target."""
        if window is not None and call.repeated:
            window.give_back()

    def totals(self):
        """Return what was counted since the start, for metrics."""
        by_class = {
            importance.name.lower(): count
            for importance, count in self.arrived_by_class.items()
        }
        return {**self.counters, "arrived_by_class": by_class}

    def levels(self):
        """Return how the account stands now, for metrics.

        Returns
        -------
        dict of str to float
            Empty while there is no budget to keep to.
        """
        if self.window is None:
            return {}
        retries = self.policy_source().retries(self.service)
        if retries.window_ms is None:
            return {}
        return asdict(self.window.tightest(retries, self.sharers.most()))

    def window_of(self, service, window_s):
        """Return the account of the service that the target offers now.

        Another service, or another length of the window, begins a new one. It
        has nothing saved up, as after a restart.
        """
        if self.service != service or self.window.window_s != window_s:
            self.service = service
            self.window = RepeatWindow(self.clock, window_s)
            self.sharers.forget()
        return self.window
