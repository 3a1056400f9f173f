"""Tests of repeats, which get the first answer or the key's known state."""

import asyncio

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import CLAIM, GateTestCase


class RepeatTests(GateTestCase):
    async def test_later_repeats_get_the_first_answer_at_any_daemon(self):
        home = self.cluster.gates["a"].mint()
        for key in ("own", home):
            first = await self.run_at("a", key)
            for name in "aba":
                self.assert_same_answer(first, await self.run_at(name, key))
        self.assertEqual(self.target.effects, 2)

    async def test_repeat_is_answered_from_the_row_if_the_owner_is_dead(self):
        first = await self.run_at("a", "own")
        await self.wait_for_tasks()
        self.cluster.members["a"].state = MemberState.DEAD
        self.assert_same_answer(first, await self.run_at("b", "own"))

    async def test_concurrent_repeats_join_the_running_attempt(self):
        for key in ("own", self.cluster.gates["b"].mint()):
            self.target.may_finish.clear()
            self.target.started.clear()
            async with asyncio.TaskGroup() as group:
                first = group.create_task(self.run_at("a", key))
                await self.target.started.wait()
                others = [group.create_task(self.run_at(n, key)) for n in "abab"]
                for _ in range(20):
                    await asyncio.sleep(0)
                self.target.may_finish.set()
            for other in others:
                self.assert_same_answer(first.result(), other.result())
        self.assertEqual(self.target.effects, 2)

    async def test_repeat_that_expires_first_gets_key_in_progress(self):
        self.target.may_finish.clear()
        first = asyncio.create_task(self.run_at("a", "own"))
        await self.target.started.wait()
        kind = await self.error_kind_at("a", "own", lifetime=0.0)
        self.assertIs(kind, ErrorKind.KEY_IN_PROGRESS)
        self.target.may_finish.set()
        await first

    async def test_other_body_is_a_conflict_and_runs_nothing(self):
        for key in ("own", self.cluster.gates["a"].mint()):
            await self.run_at("a", key)
            await self.wait_for_tasks()
            for name in "ab":
                kind = await self.error_kind_at(name, key, body=b"other")
                self.assertIs(kind, ErrorKind.KEY_CONFLICT)
        self.assertEqual(self.target.effects, 2)

    async def test_outcome_is_recorded_if_the_first_caller_leaves(self):
        """Guards against a repeat that runs a confirmation again.

        The first caller leaves while the target runs the call, and returns.
        If the attempt were cancelled with its caller, the outcome would be
        lost.
        """
        self.target.may_finish.clear()
        first = asyncio.create_task(self.run_at("a", "own"))
        await self.target.started.wait()
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.target.may_finish.set()
        answer = await self.run_at("a", "own")
        self.assertEqual(answer.body.first, b"done 1")
        self.assertEqual(self.target.effects, 1)

    async def test_repeat_runs_after_an_attempt_that_was_not_run(self):
        for key in ("own", self.cluster.gates["a"].mint()):
            self.target.outcomes = [ErrorKind.OVERLOADED]
            self.assertIs(await self.error_kind_at("a", key), ErrorKind.OVERLOADED)
            await self.wait_for_tasks()
            self.assertEqual((await self.run_at("b", key)).status, 201)
        self.assertEqual(self.target.effects, 2)

    async def test_unknown_outcome_stays_unknown(self):
        for key in ("own", self.cluster.gates["a"].mint()):
            self.target.outcomes = [ErrorKind.LINK_LOST]
            self.assertIs(await self.error_kind_at("a", key), ErrorKind.LINK_LOST)
            await self.wait_for_tasks()
            for name in "ab":
                kind = await self.error_kind_at(name, key)
                self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 2)

    async def test_large_answer_is_kept_in_memory_and_a_huge_one_is_not(self):
        async def body_parts():
            for _ in range(20):
                yield bytes(100_000)

        async def answer_with_large_body(call):
            return Answer(200, [], Body(bytes(500_000)))

        async def answer_with_huge_body(call):
            return Answer(200, [], Body(b"", body_parts()))

        gate = self.cluster.gates["a"]
        await gate.run(self.cluster.call("large"), CLAIM, answer_with_large_body)
        again = await self.run_at("b", "large")
        self.assertEqual(len(again.body.first), 500_000)
        first = await gate.run(self.cluster.call("huge"), CLAIM, answer_with_huge_body)
        rest = [part async for part in first.body.rest]
        self.assertEqual(len(first.body.first) + sum(map(len, rest)), 2_000_000)
        kind = await self.error_kind_at("b", "huge")
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 0)
