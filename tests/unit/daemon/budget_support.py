"""Fixtures for tests of a service's retry budget."""

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
    """Return a policy with a retry budget for the service."""
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
    """Base of tests of one daemon's budget, with a simulated clock."""

    def setUp(self):
        self.at = 100.0
        self.sharers = 16

    def budget(self, **changes):
        policy = budget_policy(**changes)
        budget = ArrivalBudget(
            lambda: policy, lambda service: self.sharers, lambda: self.at
        )
        budget.window_for(SERVICE, WINDOW_S)
        return budget

    def warm_budget(self, **changes):
        """Return the budget of a daemon that has run for a whole window."""
        budget = self.budget(**changes)
        self.at += WINDOW_S
        return budget

    def send_first_attempts(self, budget, count):
        for _ in range(count):
            budget.record_arrival(make_call(), budget.check(make_call()))

    def send_steadily(self, budget, count):
        """Spread first attempts evenly over two windows."""
        for _ in range(2 * count):
            self.send_first_attempts(budget, 1)
            self.at += WINDOW_S / count

    def admit_many(self, budget, count, importance=Importance.CRITICAL):
        return sum(self.admit(budget, importance) for _ in range(count))

    def admit(self, budget, importance=Importance.CRITICAL):
        retry = make_call(repeated=True, importance=importance)
        try:
            window = budget.check(retry)
        except CallError as error:
            self.assertEqual(error.kind, ErrorKind.RETRIES_SPENT)
            return False
        budget.record_arrival(retry, window)
        return True
