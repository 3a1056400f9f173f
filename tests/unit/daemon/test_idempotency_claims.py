"""Tests of claims under faults of the store and of the claims' owners."""

import asyncio

from papayabay_core.errors import ErrorKind
from papayabay_core.exceptions import (
    ConditionFailed,
)
from papayabay_core.platform.protocols import Row
from papayabay_daemon._internal.idempotency.claims import claim_key
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import TIMEOUT_SECONDS, GateTestCase


class ClaimTests(GateTestCase):
    async def test_claim_with_a_lost_answer_is_read_back(self):
        self.cluster.table.faults = ["lost"]
        self.assertEqual((await self.run_at("a", "own")).status, 201)

    async def test_store_down_dispatches_nothing(self):
        self.cluster.table.choose_fault = lambda: "down"
        for _ in range(2):
            kind = await self.error_kind_at("a", "own")
            self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)
        self.assertEqual(self.target.effects, 0)
        home = self.cluster.gates["a"].mint()
        self.assertEqual((await self.run_at("a", home)).status, 201)

    async def test_ambiguous_claim_is_released(self):
        """Guards against a key that stays blocked although its call never ran.

        The answer to the claim's write is lost, and the store is down until
        the call has expired. No daemon would then remember the claim.
        """
        for fault in ("lost", "late"):
            with self.subTest(fault=fault):
                table = self.cluster.table
                table.faults = [fault]
                table.choose_fault = lambda: "down"
                kind = await self.error_kind_at("a", fault)
                self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)
                table.choose_fault = lambda: None
                await self.wait_for_tasks()
                for puts in table.delayed_writes:
                    with self.assertRaises(ConditionFailed):
                        table.apply(puts)
                self.assertEqual((await self.run_at("b", fault)).status, 201)
        self.assertEqual(self.target.effects, 2)

    async def test_late_release_does_not_overwrite_another_claim(self):
        """Guards against a confirmation that takes effect twice.

        A's claim and then its release are delayed, and A dies. B claims the
        key and runs the call before the delayed writes arrive. If the release
        were written over a guessed revision, it could be that of B's claim
        and open it while B runs the call.
        """
        table = self.cluster.table
        table.faults = ["late", "late"]
        gate = self.cluster.gates["a"]
        kind = await self.error_kind_at("a", "own", lifetime=0.01)
        self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(table.delayed_writes) < 2:
                await asyncio.sleep(0)
        await gate.close(0)
        self.target.may_finish.clear()
        running = asyncio.create_task(self.run_at("b", "own"))
        await self.target.started.wait()
        for puts in table.delayed_writes:
            with self.assertRaises(ConditionFailed):
                table.apply(puts)
        self.target.may_finish.set()
        await running

    async def test_claim_owner_paused_past_expiry_dispatches_nothing(self):
        """Guards against running a call after its caller was told it expired.

        The daemon claims the key, is paused until the call has expired, and
        resumes. It has to check the clock between the claim and the dispatch.
        """

        def pause():
            self.cluster.clock.time += 60
            self.cluster.table.on_write_applied = lambda: None

        self.cluster.table.on_write_applied = pause
        kind = await self.error_kind_at("a", "own")
        self.assertIs(kind, ErrorKind.EXPIRED_UNSENT)
        self.assertEqual(self.target.effects, 0)
        self.assertEqual(self.row("own").value["state"], "claimed")
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        await self.wait_for_tasks()
        self.assertEqual(self.row("own").value["state"], "done")
        self.assertEqual(self.target.effects, 1)

    async def test_claim_without_outcome_is_not_taken_over(self):
        """Guards against a confirmation that takes effect twice.

        The claim's owner stalls while it runs the call and gossip marks it
        dead, and a repeat reaches another daemon. That daemon must not take
        over the claim.
        """
        self.target.may_finish.clear()
        first = asyncio.create_task(self.run_at("a", "own"))
        await self.target.started.wait()
        self.cluster.members["a"].state = MemberState.DEAD
        kind = await self.error_kind_at("b", "own")
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.cluster.members["a"].state = MemberState.ALIVE
        self.cluster.is_partitioned = True
        kind = await self.error_kind_at("b", "own")
        self.assertIs(kind, ErrorKind.KEY_IN_PROGRESS)
        self.target.may_finish.set()
        await first
        self.assertEqual(self.target.effects, 1)

    async def test_claims_of_former_processes_and_unreadable_rows_are_unknown(self):
        self.target.may_finish.clear()
        first = asyncio.create_task(self.run_at("a", "own"))
        await self.target.started.wait()
        former_gate = self.cluster.gates["a"]
        self.cluster.start("a", 2)
        for name in "ab":
            kind = await self.error_kind_at(name, "own")
            self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        row_key = claim_key("orders", "newer")
        self.cluster.table.rows[row_key] = Row(row_key, {"format": 2}, 4)
        kind = await self.error_kind_at("a", "newer")
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.target.may_finish.set()
        await first
        await former_gate.close()
        self.assertEqual(self.target.effects, 1)
