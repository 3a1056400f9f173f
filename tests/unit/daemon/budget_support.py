"""A service's budget of repeats, and calls that are counted for it."""

import unittest

from papayabay_core.calls import Body, Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.retries import ArrivalBudget

SERVICE = "orders"
WINDOW_S = 10.0
RATIO = 0.2
WINDOW_REPEATS = 48


def budget_policy(**changes):
    """Return a policy with a budget of repeats for the service."""
    retries = {
        "ratio": RATIO,
        "window_ms": int(WINDOW_S * 1_000),
        "window_repeats": WINDOW_REPEATS,
    }
    values = {"services": {SERVICE: {"retries": retries | changes}}}
    return Policy(validate_policy(values, "test"))


def make_call(name="id", repeated=False, importance=Importance.CRITICAL):
    """Return a call for the service."""
    return Call(
        name, SERVICE, "GET", "/", [], Body(), importance, 7, 0, 1e12, 3,
        repeated=repeated,
    )  # fmt: skip


class BudgetCase(unittest.TestCase):
    """One daemon's account at a clock of the test's own."""

    def setUp(self):
        self.at = 100.0
        self.sharers = 16

    def budget(self, **changes):
        policy = budget_policy(**changes)
        budget = ArrivalBudget(
            lambda: policy, lambda service: self.sharers, lambda: self.at
        )
        budget.window_of(SERVICE, WINDOW_S)
        return budget

    def warm(self, **changes):
        """Return the budget of a daemon that has run for a while."""
        budget = self.budget(**changes)
        self.at += WINDOW_S
        return budget

    def firsts(self, budget, count):
        for _ in range(count):
            budget.record_arrival(make_call(), budget.check(make_call()))

    def steady(self, budget, count):
        """Let first attempts come evenly for a window and the one before."""
        for _ in range(2 * count):
            self.firsts(budget, 1)
            self.at += WINDOW_S / count

    def allowed(self, budget, tries, importance=Importance.CRITICAL):
        return sum(self.allow(budget, importance) for _ in range(tries))

    def allow(self, budget, importance=Importance.CRITICAL):
        repeat = make_call(repeated=True, importance=importance)
        try:
            account = budget.check(repeat)
        except CallError as error:
            self.assertEqual(error.kind, ErrorKind.RETRIES_SPENT)
            return False
        budget.record_arrival(repeat, account)
        return True
