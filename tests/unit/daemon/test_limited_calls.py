"""Rate limit tokens during an overload, when callers retry."""

import asyncio
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_daemon._internal.calls.flow import CallFlow

ACCOUNT = Account("a", None, RateLimit(10.0, 10))


class CountingLimits:
    def __init__(self):
        self.taken = 0

    async def acquire(self, account):
        self.taken += 1

    def refund(self, account):
        self.taken -= 1


class LimitedFlow(CallFlow):
    """A flow whose requests get a fixed answer."""

    def __init__(self, components, answer):
        super().__init__(components, None, None, None, None, None, None)
        self.answer = answer

    async def run_root(self, call, rule):
        return self.answer


class OverloadTests(unittest.TestCase):
    """Guards against retries in an overload that exhaust a rate limit."""

    def run_limited(self, answer, refusal=None):
        def check(call):
            if refusal:
                raise CallError(refusal)

        self.limits = CountingLimits()
        router = SimpleNamespace(check=check)
        components = SimpleNamespace(limits=self.limits, router=router)
        flow = LimitedFlow(components, answer)
        return asyncio.run(flow.run_limited(None, None, ACCOUNT))

    def test_a_request_refused_for_overload_takes_no_token(self):
        with self.assertRaises(CallError):
            self.run_limited(None, refusal=ErrorKind.OVERLOADED)
        self.assertEqual(self.limits.taken, 0)

    def test_a_request_that_was_not_run_gets_its_token_refunded(self):
        self.run_limited(Answer(503, effect=Effect.NOT_RUN))
        self.assertEqual(self.limits.taken, 0)

    def test_a_request_that_may_have_run_spends_its_token(self):
        for effect in (Effect.RUN, Effect.UNKNOWN):
            self.run_limited(Answer(502, effect=effect))
            self.assertEqual(self.limits.taken, 1)


if __name__ == "__main__":
    unittest.main()
