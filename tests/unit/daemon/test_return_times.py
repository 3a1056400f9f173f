"""Requests that come back after a refusal are treated as first tries."""

import asyncio
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import Effect, ErrorKind
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.lifetime.ranks import rank_of
from tests.lib.cluster_fakes import make_settings


class RefusingFlow(CallFlow):
    """Runs one request and refuses the others; records their root calls."""

    def __init__(self, components):
        super().__init__(components, None, None, None, None, None, None)
        self.calls = []

    async def run_root(self, call, rule):
        """Answer the first root call and refuse the others."""
        self.calls.append(call)
        if len(self.calls) == 1:
            return Answer(200)
        return Answer(503, [], Body(), ErrorKind.OVERLOADED, Effect.NOT_RUN)


def make_flow(decisions):
    """Return a flow that refuses requests, with a policy's decisions."""
    document = {"decisions": decisions, "services": {"svc": {}}}
    policy = Policy(PolicyDocument.model_validate(document), 1)
    return RefusingFlow(
        SimpleNamespace(policy=lambda: policy, settings=make_settings("d1"))
    )


def request(key=""):
    """Return the same request of a caller at each call."""
    return SimpleNamespace(
        call_token="", deadline_ms=None, idempotency_key=key, service="svc",
        method="GET", path="/a", headers=[], body=Body(),
    )  # fmt: skip


class ReturningRequestTest(unittest.TestCase):
    def ranks(self, decisions, key=""):
        """Return the ranks of a request and of its repeat after a refusal."""
        flow = make_flow(decisions)
        rule = flow.components.policy().rule_for("svc", "GET", "/a")

        async def run():
            for request_id in ("served", "first", "second"):
                answer = await flow.run_request(request(key), rule, request_id)
                await asyncio.sleep(answer.retry_after_ms / 1_000)

        asyncio.run(run())
        return [call.rank for call in flow.calls[1:]]

    def test_repeats_get_no_better_rank_than_first_tries(self):
        """Guards against first tries that wait behind all repeats."""
        expected = [rank_of("first"), rank_of("second")]
        for way in ("jitter", "backlog"):
            self.assertEqual(self.ranks({"return_times": way}), expected)

    def test_repeats_with_a_key_keep_the_rank_of_the_first_try(self):
        """Guards against ranks that a caller can draw again."""
        self.assertEqual(self.ranks({}, key="k"), [rank_of("k")] * 2)


if __name__ == "__main__":
    unittest.main()
