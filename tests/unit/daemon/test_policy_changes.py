"""What routing and retries keep of a policy follows its changes.

Guards against a daemon that goes on by the policy before: these values are
read for each call, so they are kept until the policy changes.
"""

import unittest

from papayabay_core.errors import CallError
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.retries import ArrivalBudget, RetryRatio
from tests.unit.daemon.budget_support import SERVICE, budget_policy, make_call
from tests.unit.daemon.routing_support import RoutingCase, call


class RoutingPolicyTests(RoutingCase):
    def test_strategy_follows_the_policy(self):
        self.refuse_all()
        self.assert_refused(call())
        self.set_policy(upstream_refusal=False)
        self.table.choose(call(), ())
        self.assertTrue(self.table.has_other(call(), ()))
        self.set_policy()
        self.assertFalse(self.table.has_other(call(), ()))
        self.assert_refused(call())
        self.set_policy(routing="round-robin")
        names = [self.table.choose(call(), ()).name for _ in self.upstreams]
        self.assertEqual(len(set(names)), len(names))


class RetryPolicyTests(unittest.TestCase):
    def setUp(self):
        self.at = 100.0

    def set_ratio(self, ratio, window_ms=None):
        retries = {"ratio": ratio, "window_ms": window_ms}
        values = {"services": {SERVICE: {"retries": retries}}}
        self.policy = Policy(validate_policy(values, "test"))

    def test_earned_tokens_follow_the_policy(self):
        self.set_ratio(0.5)
        ratio = RetryRatio(lambda: self.policy, lambda: self.at)
        tokens = []
        for setting in ((0.5,), (1.0,), (1.0, 10_000), (0.25,)):
            self.set_ratio(*setting)
            ratio.record_first_attempt(SERVICE)
            tokens.append(ratio.bucket(SERVICE).tokens)
        self.assertEqual(tokens, [3.5, 4.5, 4.5, 4.75])

    def test_budget_follows_the_policy(self):
        self.policy = budget_policy()
        budget = ArrivalBudget(lambda: self.policy, lambda _: 1, lambda: self.at)
        window = budget.check(make_call())
        self.at += 20.0
        retry = make_call(repeated=True)
        self.policy = budget_policy(window_repeats=0)
        with self.assertRaises(CallError):
            budget.check(retry)
        self.policy = budget_policy()
        self.assertIs(budget.check(retry), window)
        self.policy = Policy()
        self.assertIsNone(budget.check(retry))
        self.policy = budget_policy(window_ms=5_000)
        self.assertIsNot(budget.check(make_call()), window)


if __name__ == "__main__":
    unittest.main()
