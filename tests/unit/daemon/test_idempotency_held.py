"""Claims held for the key's next attempt."""

import asyncio
from unittest import mock

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_daemon._internal.idempotency import held, holders
from papayabay_daemon._internal.idempotency.claims import claim_key
from papayabay_daemon._internal.idempotency.held import HELD_MEMORY
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import CLAIM, WAIT, GateCase

REFUSALS = 6


class HeldTests(GateCase):
    def writes(self):
        return sum(
            gate.claims.counters["writes"] for gate in self.cluster.gates.values()
        )

    async def refuse(self, name, key, times=1, **options):
        self.target.endings = [ErrorKind.OVERLOADED] * times
        for _ in range(times):
            kind = await self.kind_at(name, key, CLAIM, **options)
            self.assertIs(kind, ErrorKind.OVERLOADED)

    async def test_refused_attempts_write_nothing_more(self):
        """Symptom: calls refused since the store was busy, under overload.

        The service refuses a confirmation, its caller repeats it hard with
        the same key. Cause: each attempt claimed the key and gave it back,
        several writes each, where the store takes a few hundred a second.
        """
        await self.refuse("a", "own", REFUSALS)
        await self.settled()
        self.assertEqual(self.writes(), 1)
        entry = self.cluster.gates["a"].held[("orders", "own")]
        self.assertIsNone(entry.task, "it would keep a whole call's frames")
        self.assertEqual((await self.run_at("a", "own")).status, 201)
        await self.settled()
        self.assertEqual(self.writes(), 2)
        self.assertEqual(self.row("own").value["state"], "done")
        self.assertEqual(self.cluster.gates["a"].held, {})

    async def test_repeat_elsewhere_goes_on_at_the_holder(self):
        await self.refuse("a", "own")
        await self.refuse("b", "own", REFUSALS)
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        await self.settled()
        self.assertEqual(self.row("own").value["daemon"], "a")
        self.assertEqual(self.cluster.gates["a"].claims.counters["writes"], 2)
        self.assertEqual(self.cluster.gates["b"].claims.counters["writes"], 1)
        self.assertEqual(self.target.effects, 1)

    async def test_hint_of_a_holder_is_only_a_hint(self):
        gate = self.cluster.gates["b"]
        await self.refuse("a", "own")
        await self.refuse("b", "own")
        self.cluster.cut = True
        kind = await self.kind_at("b", "own")
        self.assertIs(kind, ErrorKind.KEY_IN_PROGRESS)
        self.assertEqual(gate.holders, {})
        self.cluster.cut = False
        await self.refuse("b", "own")
        await self.cluster.gates["a"].close(WAIT)
        self.cluster.start("a", 2)
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.cluster.members["a"].state = MemberState.DEAD
        await self.settled()
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.assertEqual(self.target.effects, 1)

    async def test_hints_in_a_circle_send_no_call_round(self):
        scope = ("orders", "own")
        self.cluster.gates["a"].holders[scope] = "b"
        self.cluster.gates["b"].holders[scope] = "a"
        self.assertEqual((await self.run_at("a", "own")).status, 201)
        self.assertEqual(self.cluster.gates["b"].counters["forwarded_in"], 1)

    async def test_hint_of_a_dead_holder_is_dropped(self):
        await self.refuse("a", "own")
        await self.refuse("b", "own")
        self.cluster.members["a"].state = MemberState.DEAD
        self.assertIs(await self.kind_at("b", "own"), ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.cluster.gates["b"].holders, {})

    async def test_hints_are_bounded(self):
        with mock.patch.object(holders, "HOLDERS", 2):
            for number in range(4):
                await self.refuse("a", f"own {number}")
                await self.refuse("b", f"own {number}")
        self.assertEqual(len(self.cluster.gates["b"].holders), 2)

    async def test_any_refusal_from_below_is_held(self):
        gate = self.cluster.gates["a"]
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                self.target.endings = [kind]
                await self.kind_at("a", kind.name, CLAIM)
                not_run = ERROR_ANSWERS[kind].effect is Effect.NOT_RUN
                self.assertEqual(("orders", kind.name) in gate.held, not_run)

    async def test_dead_holder_leaves_it_unknown(self):
        await self.refuse("a", "own")
        self.cluster.members["a"].state = MemberState.DEAD
        self.assertIs(await self.kind_at("b", "own"), ErrorKind.OUTCOME_UNKNOWN)
        self.cluster.start("a", 2)
        for name in "ab":
            kind = await self.kind_at(name, "own")
            self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 0)

    async def test_closing_gives_held_claims_back(self):
        keys_held = [f"own {number}" for number in range(20)]
        for key in keys_held:
            await self.refuse("a", key)
        gate = self.cluster.gates["a"]
        await gate.close(WAIT)
        self.assertIs(await self.kind_at("a", keys_held[0]), ErrorKind.LEAVING)
        self.cluster.members["a"].state = MemberState.DEAD
        for key in keys_held:
            self.assertEqual((await self.run_at("b", key)).status, 201)
        self.assertEqual(len(gate.key_table.entries), 0)

    async def test_closing_gate_starts_no_held_attempt(self):
        for key in ("old", "new"):
            await self.refuse("a", key)
        with mock.patch.object(held, "CLOSE_BATCH", 1):
            await self.cluster.gates["a"].close(WAIT)
        self.assertEqual(self.row("old").value["state"], "claimed")
        self.assertEqual(self.row("new").value["state"], "open")
        self.assertIs(await self.kind_at("a", "old"), ErrorKind.LEAVING)
        self.assertEqual(self.target.effects, 0)

    async def test_attempt_refused_while_closing_is_given_back(self):
        gate = self.cluster.gates["a"]
        entered, refuse = asyncio.Event(), asyncio.Event()

        async def refused(call):
            entered.set()
            await refuse.wait()
            raise CallError(ErrorKind.OVERLOADED)

        first = asyncio.create_task(gate.run(self.cluster.call("own"), CLAIM, refused))
        await entered.wait()
        closing = asyncio.create_task(gate.close(WAIT))
        await asyncio.sleep(0)
        refuse.set()
        await asyncio.gather(first, closing, return_exceptions=True)
        self.assertEqual(self.row("own").value["state"], "open")
        self.assertEqual((await self.run_at("b", "own")).status, 201)

    async def test_closing_is_bounded_when_the_store_is_down(self):
        await self.refuse("a", "own")
        self.cluster.table.choose = lambda: "down"
        async with asyncio.timeout(WAIT):
            await self.cluster.gates["a"].close(0.05)
        self.cluster.table.choose = lambda: None
        self.assertEqual(self.row("own").value["state"], "claimed")
        self.assertIs(await self.kind_at("a", "own"), ErrorKind.STORE_UNAVAILABLE)

    async def test_forgotten_claim_is_given_back(self):
        await self.refuse("a", "own")
        self.cluster.clock.time += HELD_MEMORY
        await self.run_at("a", "another")
        await self.settled()
        self.assertEqual(self.row("own").value["state"], "open")
        self.assertEqual((await self.run_at("b", "own")).status, 201)

    async def test_full_table_gives_held_claims_back(self):
        await self.refuse("a", "own")
        key_table = self.cluster.gates["a"].key_table
        key_table.max_bytes = key_table.bytes
        self.assertIs(await self.kind_at("a", "another"), ErrorKind.OVERLOADED)
        await self.settled()
        self.assertEqual((await self.run_at("a", "another")).status, 201)

    async def test_other_request_may_use_a_key_that_never_ran(self):
        for name in "ab":
            with self.subTest(name=name):
                await self.refuse("a", name)
                answer = await self.run_at(name, name, body=b"other")
                self.assertEqual(answer.status, 201)
                await self.settled()
                kind = await self.kind_at(name, name)
                self.assertIs(kind, ErrorKind.KEY_CONFLICT)

    async def test_leaving_callers_end_no_later_attempt(self):
        """Symptom: a repeat got the head of an answer without its end.

        The first attempt is refused; its caller and one that joined it
        leave as the next attempt begins. Cause: they told the key that its
        caller had left, which by then was another one.
        """
        closed = []

        async def parts():
            try:
                for _ in range(20):
                    yield bytes(100_000)
            finally:
                closed.append(True)

        async def large(call):
            await self.target.run(call)
            return Answer(200, [], Body(b"", parts()))

        gate = self.cluster.gates["a"]
        entered = asyncio.Event()
        refuse = asyncio.Event()

        async def refused(call):
            entered.set()
            await refuse.wait()
            raise CallError(ErrorKind.OVERLOADED)

        first = asyncio.create_task(gate.run(self.cluster.call("own"), CLAIM, refused))
        await entered.wait()
        joined = asyncio.create_task(gate.run(self.cluster.call("own"), CLAIM, refused))
        await asyncio.sleep(0)
        self.target.go.clear()
        refuse.set()
        async with asyncio.timeout(WAIT):
            while not gate.held:
                await asyncio.sleep(0)
        second = asyncio.create_task(gate.run(self.cluster.call("own"), CLAIM, large))
        first.cancel()
        joined.cancel()
        await asyncio.gather(first, joined, return_exceptions=True)
        await self.target.started.wait()
        self.assertEqual(gate.key_table.get(("orders", "own")).waiters, 1)
        self.target.go.set()
        answer = await second
        self.assertEqual(closed, [])
        rest = [part async for part in answer.body.rest]
        self.assertEqual(len(answer.body.first) + sum(map(len, rest)), 2_000_000)

    async def test_what_would_be_refused_is_not_claimed(self):
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
