"""Call trees and single calls at a service that refuses calls at random."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from papayabay_core.calls import Answer, Body, Call, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import RANKS, Importance
from papayabay_daemon._internal.admission.repeat_level import RepeatLevel
from papayabay_daemon._internal.retries import ArrivalBudget
from papayabay_daemon._internal.routing.hints import AdmissionHints
from tests.unit.daemon.budget_support import SERVICE, budget_policy

CALL_S = 0.05
TREE_CALLS = 8
MAX_ATTEMPTS = 8


class RepeatFleet:
    """Daemons with real budgets, levels and hints, in virtual time.

    Attributes
    ----------
    rejected_share : float
        Share of the calls that the targets refuse.
    counts : Counter
        Requests by kind and outcome, and calls run for trees that failed.
    """

    def __init__(self, enabled, seed=1, size=4):
        self.at = 1_000.0
        self.random = Random(seed)
        self.rejected_share = 0.0
        policy = budget_policy(window_repeats=117)
        self.levels = [RepeatLevel() for _ in range(size)]
        service_hints = AdmissionHints(weight=0.25)
        self.hints = [AdmissionHints(service_hints) for _ in range(size)]
        self.budgets = [
            ArrivalBudget(lambda: policy, lambda _: size, lambda: self.at, level)
            for level in self.levels
        ]
        for level in self.levels:
            level.reconfigure(enabled)
        self.counts = Counter()
        self.ids = count()
        self.events = []

    def run(self, seconds, trees=160.0, singles=70.0):
        """Send trees and single calls at rates per second for a time."""
        end = self.at + seconds
        for rate, calls in ((trees, TREE_CALLS), (singles, 1)):
            at = self.at
            while (at := at + self.random.expovariate(rate)) < end:
                rank = self.random.randrange(RANKS)
                heappush(self.events, (at, next(self.ids), rank, calls, 0, 0))
        while self.events and self.events[0][0] < end:
            self.at, *request = heappop(self.events)
            self.step(*request)
        self.at = end

    def step(self, number, rank, calls, done, run):
        """Run the next call of a request, or refuse the request."""
        kind = "single" if calls == 1 else "tree"
        call = Call(
            str(number), SERVICE, "GET", "/", [], Body(), Importance.SHEDDABLE, rank,
            int(calls > 1), 1e12, 3, path_key=f"{SERVICE}/{kind}",
        )  # fmt: skip
        levels = [hints.level(call.path_key, self.at) for hints in self.hints]
        if not done and call.level > sum(levels) // len(levels):
            self.counts[f"{kind} refused"] += 1
            return
        answered, attempts = self.call(call)
        run += attempts
        if not answered:
            self.counts[f"{kind} failed"] += 1
            self.counts["lost calls"] += run * (calls > 1)
        elif done + 1 == calls:
            self.counts[f"{kind} completed"] += 1
        else:
            event = self.at + CALL_S, number, rank, calls, done + 1, run
            heappush(self.events, event)

    def call(self, call):
        """Return whether a call was answered, and how often it was run."""
        for attempts in range(MAX_ATTEMPTS):
            accepting = [
                number
                for number, hints in enumerate(self.hints)
                if not hints.refuses(call, call.level, self.at)
            ]
            if not accepting:
                return False, attempts
            kind = self.attempt(self.random.choice(accepting), call)
            if kind is not ErrorKind.TARGET_REJECTED:
                return kind is None, attempts + (kind is None)
            call.repeated = True
        return False, MAX_ATTEMPTS

    def attempt(self, number, call):
        """Return the error kind of an attempt, and apply its load."""
        budget, kind = self.budgets[number], None
        try:
            window = budget.check(call)
            budget.record_arrival(call, window)
            if self.random.random() < self.rejected_share:
                kind = ErrorKind.TARGET_REJECTED
            budget.record_end(call, window, Answer(200, kind=kind))
        except CallError as error:
            kind = error.kind
        load = LoadState(path_levels=self.levels[number].closed({}, self.at))
        self.hints[number].update(load, self.at)
        self.hints[number].service_hints.update(load, self.at)
        return kind
