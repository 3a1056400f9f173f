"""Tests of the answer to a call of which an earlier attempt may have run."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Body, Call
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.calls.components import CallCounters
from papayabay_daemon._internal.calls.dispatch import Dispatcher
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.metrics.latencies import Latencies
from papayabay_daemon._internal.retries import RETRY, CreditAccount, RetryDecision


class ScriptedRouter:
    """Chooses the named upstreams in turn, then has none left."""

    def __init__(self, names):
        self.names = iter(names)

    def choose(self, call, excluded):
        name = next(self.names, None)
        if name is None:
            raise CallError(ErrorKind.NO_UPSTREAM)
        return SimpleNamespace(name=name)

    def started(self, member, call, explain):
        return {"name": member.name}

    def ended(self, member, call, answer, elapsed):
        pass


class ScriptedLinks:
    """Fails the call at each upstream with the given error kind."""

    def __init__(self, error_kinds):
        self.error_kinds = error_kinds

    async def call(self, member, call):
        return error_answer(CallError(self.error_kinds[member.name]))


class RetryUntil:
    """Retries without backoff until a number of attempts were made."""

    def __init__(self, attempts):
        self.attempts = attempts

    def record_first_attempt(self, call):
        pass

    def decide(self, call, answer, attempts, account):
        return RetryDecision(RETRY if attempts.made < self.attempts else "script")


def browse():
    return Call(
        request_id="r",
        service="s",
        method="GET",
        path="/",
        headers=[],
        body=Body(),
        importance=Importance.NORMAL,
        rank=0,
        depth=0,
        expires_at=now() + 30,
        credits=3,
    )


class AmbiguousOutcomeTest(unittest.TestCase):
    """Guards against the answer `not-run` for a request that a target has run.

    An idempotent call is handed to a target whose daemon is then killed, and
    the attempt at the next upstream is refused. The effect `not run` of that
    last answer does not cover the earlier attempt.
    """

    def dispatch(self, *kinds, available_upstreams=None, attempts=None):
        error_kinds = {f"u{number}": kind for number, kind in enumerate(kinds)}
        components = SimpleNamespace(
            local=SimpleNamespace(name="here"),
            router=ScriptedRouter(list(error_kinds)[:available_upstreams]),
            links=ScriptedLinks(error_kinds),
            counters=CallCounters(),
            accounts=SimpleNamespace(check=lambda call: None),
            quarantine=SimpleNamespace(check=lambda call: None),
            random=random.Random(1),
            latencies=Latencies(),
            log=DecisionLog(),
        )
        retries = RetryUntil(attempts or len(error_kinds))
        dispatcher = Dispatcher(components, None, retries)
        return asyncio.run(dispatcher.dispatch(browse(), CreditAccount(3)))

    def test_refusal_after_a_lost_link_is_unknown(self):
        answer = self.dispatch(ErrorKind.LINK_LOST, ErrorKind.LINK_UNAVAILABLE)
        self.assertIs(answer.effect, Effect.UNKNOWN)
        self.assertIs(answer.kind, ErrorKind.LINK_LOST)
        self.assertTrue(answer.exhausted)

    def test_unknown_outcome_survives_several_refusals(self):
        answer = self.dispatch(
            ErrorKind.TARGET_LOST, ErrorKind.LEAVING, ErrorKind.OVERLOADED
        )
        self.assertIs(answer.kind, ErrorKind.TARGET_LOST)

    def test_unknown_outcome_survives_without_upstreams(self):
        answer = self.dispatch(
            ErrorKind.LINK_LOST, ErrorKind.OVERLOADED, attempts=3, available_upstreams=2
        )
        self.assertIs(answer.kind, ErrorKind.LINK_LOST)

    def test_refusals_alone_are_not_run(self):
        answer = self.dispatch(ErrorKind.LEAVING, ErrorKind.OVERLOADED)
        self.assertIs(answer.effect, Effect.NOT_RUN)
        self.assertIs(answer.kind, ErrorKind.OVERLOADED)


if __name__ == "__main__":
    unittest.main()
