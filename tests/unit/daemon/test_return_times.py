"""Tests of the times at which refused requests are told to come back."""

import asyncio
import unittest
from types import SimpleNamespace

from msgspec.structs import replace

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.importance import RANKS, Importance
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.lifetime.ranks import best_rank
from papayabay_daemon._internal.retries import ReturnTimes
from papayabay_daemon._internal.retries.reservations import (
    MAX_RESERVATIONS,
    Reservations,
)
from tests.lib.cluster_fakes import make_settings
from tests.unit.daemon.account_support import account_call
from tests.unit.daemon.returns_model import Model, bursts

RULE = SimpleNamespace(objective=None)
PER_SLOT = 5


class ReturnTimesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.returns = ReturnTimes(clock=lambda: self.now)

    def call(self, path="/a", remaining=3.0):
        return replace(account_call(""), path=path, expires_at=self.now + remaining)

    def run_request(self, result, call=None, returned=False):
        async def answer():
            if isinstance(result, CallError):
                raise result
            return result

        call = call or self.call()
        return asyncio.run(self.returns.run(call, RULE, returned, answer()))

    def admit(self, seconds=1.0):
        """Admit `PER_SLOT` requests in each time slot."""
        for _ in range(round(seconds * 10 * PER_SLOT)):
            self.now += 0.1 / PER_SLOT
            self.run_request(Answer(200))

    def told(self, number=0, remaining=3.0):
        return self.returns.refused(
            self.call(f"/{number}", remaining), 0, self.now + remaining
        )

    def test_no_time_slot_gets_more_than_its_capacity(self):
        """Guards against requests that come back together, refused again."""
        self.admit()
        due = [int((self.now + self.told(n) / 1_000) * 10) for n in range(20)]
        self.assertLessEqual(max(due.count(slot) for slot in due), PER_SLOT)
        self.assertLess(max(due) - min(due), 6)

    def test_without_a_time_slot_the_last_time_is_told(self):
        """Guards against refusals without a time, or with too long a one."""
        self.admit()
        times = [self.told(n) for n in range(200)]
        self.assertTrue(all(0 < ms <= 1_000 for ms in times))
        self.assertGreater(min(times[100:]), 890)
        self.assertFalse(self.returns.recognise(self.call("/199")))
        self.assertGreater(self.told(remaining=0.0), 0)

    def test_a_time_too_late_to_be_served_is_not_reserved(self):
        """Guards against best ranks for requests that then end late."""
        self.returns.usual_s["svc/read"] = 2.0
        self.admit()
        call = replace(self.call(), path_key="svc/read")
        self.assertGreater(self.returns.refused(call, 0, self.now + 1.0), 890)
        self.assertFalse(self.returns.reservations)

    def test_a_closed_class_is_not_told_the_next_time_slot(self):
        """Guards against returns while none of their class is admitted."""
        self.admit()
        self.now += 1.0
        self.assertGreaterEqual(self.told(), 500)

    def test_only_a_request_that_is_in_time_is_recognised_and_once(self):
        """Guards against clients that gain by coming back at once."""
        self.admit()
        self.now += self.told(7) / 1_000 - 0.05
        self.assertFalse(self.returns.recognise(self.call("/7")))
        self.now += 0.05
        other_body = replace(self.call("/7"), body=Body(b"other"))
        self.assertFalse(self.returns.recognise(other_body))
        self.assertTrue(self.returns.recognise(self.call("/7")))
        self.assertFalse(self.returns.recognise(self.call("/7")))

    def test_best_rank_stays_within_the_class_of_the_path(self):
        """Guards against unimportant returns ahead of important paths."""
        self.assertEqual(best_rank(Importance.SHEDDABLE, None), 0)
        ranks = [best_rank(one, Importance.NORMAL) for one in Importance]
        self.assertEqual(ranks, [0, RANKS // 3, 2 * RANKS // 3])

    def test_only_refusals_for_load_that_were_not_run_get_a_time(self):
        """Guards against another Retry-After of limits and unsafe calls."""
        self.admit()
        for kind, ms in ((ErrorKind.RATE_LIMITED, 77), (ErrorKind.OVERLOADED, 0)):
            with self.assertRaises(CallError) as raised:
                self.run_request(CallError(kind, retry_after_ms=ms))
            if kind is ErrorKind.RATE_LIMITED:
                self.assertEqual(raised.exception.retry_after_ms, 77)
            else:
                self.assertGreater(raised.exception.retry_after_ms, 0)
        refusal = error_answer(CallError(ErrorKind.RETRIES_SPENT))
        self.assertGreater(self.run_request(refusal).retry_after_ms, 0)
        unsafe = Answer(503, kind=ErrorKind.OVERLOADED, effect=Effect.UNKNOWN)
        self.assertEqual(self.run_request(unsafe).retry_after_ms, 0)

    def test_a_new_process_keeps_the_time_of_the_refusal(self):
        """Guards against times from a backlog that a restart has lost."""
        self.assertEqual(self.returns.refused(self.call(), 321, self.now + 3.0), 321)

    def enter(self, way):
        """Refuse a request that enters; return its rank and retry-after ms."""

        class RefusingFlow(CallFlow):
            async def run_root(self, call, rule):
                return Answer(503, [], Body(), ErrorKind.OVERLOADED, Effect.NOT_RUN)

        async def authenticate(incoming, rule):
            return None

        document = {"decisions": {"return_times": way}, "services": {"svc": {}}}
        policy = Policy(PolicyDocument.model_validate(document), 1)
        parts = SimpleNamespace(
            policy=lambda: policy,
            settings=make_settings("d1"),
            accounts=SimpleNamespace(authenticate=authenticate),
        )
        flow = RefusingFlow(parts, None, None, None, None, None, None)
        flow.returns = self.returns
        rule = policy.rule_for("svc", "GET", "/a")
        incoming = SimpleNamespace(
            call_token="", deadline_ms=None, idempotency_key="", service="svc",
            method="GET", path="/a", headers=[], body=Body(),
        )  # fmt: skip
        calls = []
        flow.run_entered = lambda call, *rest: (
            calls.append(call) or flow.run_root(call, rule)
        )
        answer = asyncio.run(flow.run_request(incoming, rule, "r"))
        return calls[0].rank, answer.retry_after_ms

    def test_the_policy_key_decides(self):
        """Guards against a changed Retry-After or rank with the default."""
        self.admit()
        rank, told = self.enter("backlog")
        self.assertGreater(told, 0)
        self.now += told / 1_000
        self.assertEqual(self.enter("jitter"), (rank, 0))
        self.assertEqual(self.enter("backlog")[0], 0)

    def test_reservations_are_bounded_and_expire(self):
        """Guards against memory that grows with refusals."""
        reservations = Reservations()
        for number in range(MAX_RESERVATIONS + 50):
            reservations.add(number % 3_000, 1.0, 0.0)
        self.assertEqual(len(reservations.in_order), MAX_RESERVATIONS)
        reservations.take(2_999, 1.0)
        reservations.expire(5.0)
        self.assertEqual((len(reservations.in_order), reservations.by_digest), (0, {}))

    def test_bursts_lose_fewer_requests_than_with_jitter(self):
        """Guards against a backlog that serves no more than random times."""
        lost = {
            way: Model(way).run(bursts, 20.0)["again"] for way in ("jitter", "backlog")
        }
        self.assertLess(lost["backlog"], lost["jitter"])


if __name__ == "__main__":
    unittest.main()
