"""Tests of claims that are held for the key's next attempt."""

import asyncio
from unittest import mock

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_daemon._internal.idempotency import held, owners
from papayabay_daemon._internal.idempotency.claims import claim_key
from papayabay_daemon._internal.idempotency.held import HELD_CLAIM_SECONDS
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import CLAIM, TIMEOUT_SECONDS, GateTestCase

REFUSALS = 6


class HeldTests(GateTestCase):
    def writes(self):
        return sum(
            gate.claims.counters["writes"] for gate in self.cluster.gates.values()
        )

    async def refuse_calls(self, name, key, times=1, **options):
        self.target.outcomes = [ErrorKind.OVERLOADED] * times
        for _ in range(times):
            kind = await self.error_kind_at(name, key, CLAIM, **options)
            self.assertIs(kind, ErrorKind.OVERLOADED)

    async def test_refused_attempts_cost_one_write(self):
        """Guards against overloading the store when a service is overloaded.

        The service refuses a confirmation, and its caller keeps retrying with
        the same key. If each attempt acquired and released the claim, at
        several writes each, the store, which takes a few hundred writes per
        second, would refuse other calls.
        """
        await self.refuse_calls("a", "own", REFUSALS)
        await self.wait_for_tasks()
        self.assertEqual(self.writes(), 1)
        entry = self.cluster.gates["a"].held[("orders", "own")]
        self.assertIsNone(
            entry.task, "it would keep the stack frames of the call alive"
        )
        self.assertEqual((await self.run_at("a", "own")).status, 201)
        await self.wait_for_tasks()
        self.assertEqual(self.writes(), 2)
        self.assertEqual(self.row("own").value["state"], "done")
        self.assertEqual(self.cluster.gates["a"].held, {})

    async def test_repeat_at_another_daemon_runs_at_the_claim_owner(self):
        await self.refuse_calls("a", "own")
        await self.refuse_calls("b", "own", REFUSALS)
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        await self.wait_for_tasks()
        self.assertEqual(self.row("own").value["daemon"], "a")
        self.assertEqual(self.cluster.gates["a"].claims.counters["writes"], 2)
        self.assertEqual(self.cluster.gates["b"].claims.counters["writes"], 1)
        self.assertEqual(self.target.effects, 1)

    async def test_stale_owner_hint_is_corrected(self):
        gate = self.cluster.gates["b"]
        await self.refuse_calls("a", "own")
        await self.refuse_calls("b", "own")
        self.cluster.is_partitioned = True
        kind = await self.error_kind_at("b", "own")
        self.assertIs(kind, ErrorKind.KEY_IN_PROGRESS)
        self.assertEqual(gate.owners, {})
        self.cluster.is_partitioned = False
        await self.refuse_calls("b", "own")
        await self.cluster.gates["a"].close(TIMEOUT_SECONDS)
        self.cluster.start("a", 2)
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.cluster.members["a"].state = MemberState.DEAD
        await self.wait_for_tasks()
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.assertEqual(self.target.effects, 1)

    async def test_circular_owner_hints_cause_no_forwarding_loop(self):
        scope = ("orders", "own")
        self.cluster.gates["a"].owners[scope] = "b"
        self.cluster.gates["b"].owners[scope] = "a"
        self.assertEqual((await self.run_at("a", "own")).status, 201)
        self.assertEqual(self.cluster.gates["b"].counters["forwarded_in"], 1)

    async def test_hint_of_a_dead_owner_is_evicted(self):
        await self.refuse_calls("a", "own")
        await self.refuse_calls("b", "own")
        self.cluster.members["a"].state = MemberState.DEAD
        self.assertIs(await self.error_kind_at("b", "own"), ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.cluster.gates["b"].owners, {})

    async def test_owner_hints_are_bounded(self):
        with mock.patch.object(owners, "MAX_CACHED_OWNERS", 2):
            for number in range(4):
                await self.refuse_calls("a", f"own {number}")
                await self.refuse_calls("b", f"own {number}")
        self.assertEqual(len(self.cluster.gates["b"].owners), 2)

    async def test_claim_is_held_after_any_error_with_effect_not_run(self):
        gate = self.cluster.gates["a"]
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.target.outcomes = [kind]
                await self.error_kind_at("a", kind.name, CLAIM)
                not_run = ERROR_ANSWERS[kind].effect is Effect.NOT_RUN
                self.assertEqual(("orders", kind.name) in gate.held, not_run)

    async def test_outcome_is_unknown_if_the_claim_owner_is_dead(self):
        await self.refuse_calls("a", "own")
        self.cluster.members["a"].state = MemberState.DEAD
        self.assertIs(await self.error_kind_at("b", "own"), ErrorKind.OUTCOME_UNKNOWN)
        self.cluster.start("a", 2)
        for name in "ab":
            kind = await self.error_kind_at(name, "own")
            self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 0)

    async def test_closing_releases_held_claims(self):
        held_keys = [f"own {number}" for number in range(20)]
        for key in held_keys:
            await self.refuse_calls("a", key)
        gate = self.cluster.gates["a"]
        await gate.close(TIMEOUT_SECONDS)
        self.assertIs(await self.error_kind_at("a", held_keys[0]), ErrorKind.LEAVING)
        self.cluster.members["a"].state = MemberState.DEAD
        for key in held_keys:
            self.assertEqual((await self.run_at("b", key)).status, 201)
        self.assertEqual(len(gate.key_table.entries), 0)

    async def test_closing_gate_runs_no_call_under_a_held_claim(self):
        for key in ("old", "new"):
            await self.refuse_calls("a", key)
        with mock.patch.object(held, "CLOSE_BATCH", 1):
            await self.cluster.gates["a"].close(TIMEOUT_SECONDS)
        self.assertEqual(self.row("old").value["state"], "claimed")
        self.assertEqual(self.row("new").value["state"], "open")
        self.assertIs(await self.error_kind_at("a", "old"), ErrorKind.LEAVING)
        self.assertEqual(self.target.effects, 0)

    async def test_claim_of_an_attempt_refused_while_closing_is_released(self):
        gate = self.cluster.gates["a"]
        entered, may_refuse = asyncio.Event(), asyncio.Event()

        async def refuse_later(call):
            entered.set()
            await may_refuse.wait()
            raise CallError(ErrorKind.OVERLOADED)

        first = asyncio.create_task(
            gate.run(self.cluster.call("own"), CLAIM, refuse_later)
        )
        await entered.wait()
        closing = asyncio.create_task(gate.close(TIMEOUT_SECONDS))
        await asyncio.sleep(0)
        may_refuse.set()
        await asyncio.gather(first, closing, return_exceptions=True)
        self.assertEqual(self.row("own").value["state"], "open")
        self.assertEqual((await self.run_at("b", "own")).status, 201)

    async def test_closing_is_bounded_when_the_store_is_down(self):
        await self.refuse_calls("a", "own")
        self.cluster.table.choose_fault = lambda: "down"
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.cluster.gates["a"].close(0.05)
        self.cluster.table.choose_fault = lambda: None
        self.assertEqual(self.row("own").value["state"], "claimed")
        self.assertIs(await self.error_kind_at("a", "own"), ErrorKind.STORE_UNAVAILABLE)

    async def test_held_claim_without_repeats_is_released(self):
        await self.refuse_calls("a", "own")
        self.cluster.clock.time += HELD_CLAIM_SECONDS
        await self.run_at("a", "another")
        await self.wait_for_tasks()
        self.assertEqual(self.row("own").value["state"], "open")
        self.assertEqual((await self.run_at("b", "own")).status, 201)

    async def test_full_table_releases_held_claims(self):
        await self.refuse_calls("a", "own")
        key_table = self.cluster.gates["a"].key_table
        key_table.max_bytes = key_table.used_bytes
        self.assertIs(await self.error_kind_at("a", "another"), ErrorKind.OVERLOADED)
        await self.wait_for_tasks()
        self.assertEqual((await self.run_at("a", "another")).status, 201)

    async def test_key_whose_call_never_ran_may_be_reused(self):
        for name in "ab":
            with self.subTest(name=name):
                await self.refuse_calls("a", name)
                answer = await self.run_at(name, name, body=b"other")
                self.assertEqual(answer.status, 201)
                await self.wait_for_tasks()
                kind = await self.error_kind_at(name, name)
                self.assertIs(kind, ErrorKind.KEY_CONFLICT)

    async def test_leaving_callers_do_not_affect_a_later_attempt(self):
        """Guards against cutting off the streamed answer of a later attempt.

        The first attempt is refused. Its caller and one that joined it leave
        as the next attempt starts. They must not mark that attempt's caller
        as gone, or its answer is closed after the first bytes.
        """
        closed = []

        async def body_parts():
            try:
                for _ in range(20):
                    yield bytes(100_000)
            finally:
                closed.append(True)

        async def answer_with_large_body(call):
            await self.target.run(call)
            return Answer(200, [], Body(b"", body_parts()))

        gate = self.cluster.gates["a"]
        entered = asyncio.Event()
        may_refuse = asyncio.Event()

        async def refuse_later(call):
            entered.set()
            await may_refuse.wait()
            raise CallError(ErrorKind.OVERLOADED)

        first = asyncio.create_task(
            gate.run(self.cluster.call("own"), CLAIM, refuse_later)
        )
        await entered.wait()
        joined = asyncio.create_task(
            gate.run(self.cluster.call("own"), CLAIM, refuse_later)
        )
        await asyncio.sleep(0)
        self.target.may_finish.clear()
        may_refuse.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not gate.held:
                await asyncio.sleep(0)
        second = asyncio.create_task(
            gate.run(self.cluster.call("own"), CLAIM, answer_with_large_body)
        )
        first.cancel()
        joined.cancel()
        await asyncio.gather(first, joined, return_exceptions=True)
        await self.target.started.wait()
        self.assertEqual(gate.key_table.get(("orders", "own")).waiters, 1)
        self.target.may_finish.set()
        answer = await second
        self.assertEqual(closed, [])
        rest = [part async for part in answer.body.rest]
        self.assertEqual(len(answer.body.first) + sum(map(len, rest)), 2_000_000)

    async def test_call_that_fails_the_precheck_claims_no_key(self):
        def refuse(call):
            raise CallError(ErrorKind.OVERLOADED, "", 700)

        await self.run_at("a", "known")
        gate = self.cluster.gates["a"]
        gate.set_claim_precheck(refuse)
        with self.assertRaises(CallError) as caught:
            await self.run_at("a", "own")
        self.assertEqual(caught.exception.retry_after_ms, 700)
        self.assertNotIn(claim_key("orders", "own"), self.cluster.table.rows)
        self.assertIsNone(gate.key_table.get(("orders", "own")))
        self.assertEqual((await self.run_at("a", "known")).status, 201)
