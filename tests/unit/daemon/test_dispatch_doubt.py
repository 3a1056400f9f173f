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
    """Offers upstreams in turn, then refuses."""

    def __init__(self, names):
        self.names = iter(names)

    def choose(self, call, excluded):
        name = next(self.names, None)
        if name is None:
            raise CallError(ErrorKind.NO_UPSTREAM)
        return SimpleNamespace(name=name)

    def explain(self, member, call):
        return {"name": member.name}

    def started(self, member, call):
        pass

    def ended(self, member, call, answer, elapsed):
        pass


class ScriptedLinks:
    """Ends each upstream's call as the script says."""

    def __init__(self, ends):
        self.ends = ends

    async def call(self, member, call):
        return error_answer(CallError(self.ends[member.name]))


class RepeatAlways:
    """Retries at once while upstreams of the script are left."""

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


class DoubtTest(unittest.TestCase):
    """A refusal after a doubtful attempt is no promise of `not run`.

    Symptom: a caller is told `not-run`, and a target has run its request.
    Sequence: an idempotent call is handed to a target, whose daemon is
    killed; the attempt at the next upstream is refused. Cause: the answer
    of the last attempt was returned as if it spoke of the earlier one too.
    """

    def dispatch(self, *kinds, offered=None, attempts=None):
        ends = {f"u{number}": kind for number, kind in enumerate(kinds)}
        parts = SimpleNamespace(
            local=SimpleNamespace(name="here"),
            router=ScriptedRouter(list(ends)[:offered]),
            links=ScriptedLinks(ends),
            counters=CallCounters(),
            accounts=SimpleNamespace(check=lambda call: None),
            quarantine=SimpleNamespace(check=lambda call: None),
            random=random.Random(1),
            latencies=Latencies(),
            log=DecisionLog(),
        )
        retries = RepeatAlways(attempts or len(ends))
        dispatcher = Dispatcher(parts, None, retries)
        return asyncio.run(dispatcher.dispatch(browse(), CreditAccount(3)))

    def test_refusal_after_a_lost_link_is_doubtful(self):
        answer = self.dispatch(ErrorKind.LINK_LOST, ErrorKind.LINK_UNAVAILABLE)
        self.assertIs(answer.effect, Effect.UNKNOWN)
        self.assertIs(answer.kind, ErrorKind.LINK_LOST)
        self.assertTrue(answer.exhausted)

    def test_doubt_outlasts_several_refusals(self):
        answer = self.dispatch(
            ErrorKind.TARGET_LOST, ErrorKind.LEAVING, ErrorKind.OVERLOADED
        )
        self.assertIs(answer.kind, ErrorKind.TARGET_LOST)

    def test_doubt_stays_when_no_upstream_is_left(self):
        answer = self.dispatch(
            ErrorKind.LINK_LOST, ErrorKind.OVERLOADED, attempts=3, offered=2
        )
        self.assertIs(answer.kind, ErrorKind.LINK_LOST)

    def test_refusals_alone_are_not_run(self):
        answer = self.dispatch(ErrorKind.LEAVING, ErrorKind.OVERLOADED)
        self.assertIs(answer.effect, Effect.NOT_RUN)
        self.assertIs(answer.kind, ErrorKind.OVERLOADED)


if __name__ == "__main__":
    unittest.main()
