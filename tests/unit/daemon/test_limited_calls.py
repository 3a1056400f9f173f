"""Tokens of limits in an overload, where refused requests repeat."""

import asyncio
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_daemon._internal.calls.flow import CallFlow

ACCOUNT = Account("a", None, RateLimit(10.0, 10))


class CountedLimits:
    def __init__(self):
        self.taken = 0

    async def acquire(self, account, rule):
        self.taken += 1

    def refund(self, account):
        self.taken -= 1


class LimitedFlow(CallFlow):
    """A flow whose requests end as a test wants."""

    def __init__(self, parts, answer):
        super().__init__(parts, None, None, None, None, None, None)
        self.answer = answer

    async def run_root(self, call, rule):
        return self.answer


class OverloadTests(unittest.TestCase):
    """Guards against repeats of an overload that use up an account's limit."""

    def run_limited(self, answer, refusal=None):
        def check(call):
            if refusal:
                raise CallError(refusal)

        self.limits = CountedLimits()
        router = SimpleNamespace(check=check)
        parts = SimpleNamespace(limits=self.limits, router=router)
        flow = LimitedFlow(parts, answer)
        return asyncio.run(flow.run_limited(None, None, ACCOUNT))

    def test_one_that_is_refused_for_load_takes_no_token(self):
        with self.assertRaises(CallError):
            self.run_limited(None, refusal=ErrorKind.OVERLOADED)
        self.assertEqual(self.limits.taken, 0)

    def test_one_that_has_not_run_gives_its_token_back(self):
        self.run_limited(Answer(503, effect=Effect.NOT_RUN))
        self.assertEqual(self.limits.taken, 0)

    def test_one_that_may_have_run_has_spent_it(self):
        for effect in (Effect.RUN, Effect.UNKNOWN):
            self.run_limited(Answer(502, effect=effect))
            self.assertEqual(self.limits.taken, 1)


if __name__ == "__main__":
    unittest.main()
