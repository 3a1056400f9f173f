"""Tests of stale reads from the store and of claims of former processes."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ConditionFailed
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.claims import Claim, claim_key
from papayabay_daemon._internal.idempotency.held import HELD_CLAIM_SECONDS
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import TIMEOUT_SECONDS, GateTestCase


class StaleTests(GateTestCase):
    async def test_memory_answers_only_for_claims_of_its_own_process(self):
        """Guards against answering a repeat with another call's answer.

        A row written by this daemon's former process is read while this
        process also knows the key. Comparing the daemon's name alone is not
        enough.
        """
        await self.run_at("a", "own")
        call = self.cluster.call("own")
        digest = keys.call_digest(call)
        claim = Claim(digest, "attempt", "a", "former process")
        gate = self.cluster.gates["a"]
        with self.assertRaises(CallError) as caught:
            await gate.repeat_handler.answer_from_memory(claim, call, digest)
        self.assertIs(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        claim.instance_id = gate.key_mint.instance_id
        answer = await gate.repeat_handler.answer_from_memory(claim, call, digest)
        self.assertEqual(answer.body.first, b"done 1")

    async def test_stale_read_runs_no_call_twice(self):
        """Guards against running a call whose key another daemon has claimed.

        A claims the key and releases it, then B claims it and runs the call.
        A's read of the row is stale and shows A's own claim or the `open`
        row. A row older than the one that refused A's write says nothing.
        """
        table = self.cluster.table
        read_current = table.get
        for name, state in (("claimed", "claimed"), ("open", "open")):
            with self.subTest(state=state):
                self.target.outcomes = [ErrorKind.OVERLOADED]
                await self.error_kind_at("a", name)
                earlier_rows = [table.rows[claim_key("orders", name)]]
                self.cluster.clock.time += HELD_CLAIM_SECONDS
                await self.run_at("a", f"sweep {name}")
                await self.wait_for_tasks()
                earlier_rows.append(table.rows[claim_key("orders", name)])
                first = await self.run_at("b", name)
                await self.wait_for_tasks()
                effects = self.target.effects
                stale_reads = [
                    row for row in earlier_rows if row.value["state"] == state
                ] * 3
                self.assertTrue(stale_reads)

                async def read_stale(key, stale_reads=stale_reads):
                    return stale_reads.pop() if stale_reads else await read_current(key)

                table.get = read_stale
                try:
                    answer = await self.run_at("a", name)
                except CallError as error:
                    self.assertIs(error.kind, ErrorKind.KEY_IN_PROGRESS)
                else:
                    self.assert_same_answer(first, answer)
                table.get = read_current
                self.assertEqual(self.target.effects, effects)
                self.assert_same_answer(first, await self.run_at("a", name))

    async def test_read_older_than_the_expected_revision_is_ignored(self):
        """Guards against an unknown outcome for a key that is free.

        A claims the key, releases it and dies. B reads the `open` row, its
        claim is lost, and the next read is stale and shows A's claim. A row
        older than the revision that B's write expected says nothing.
        """
        table = self.cluster.table
        self.target.outcomes = [ErrorKind.OVERLOADED]
        await self.error_kind_at("a", "own")
        former_row = self.row("own")
        await self.cluster.gates["a"].close(TIMEOUT_SECONDS)
        self.cluster.members["a"].state = MemberState.DEAD
        read_current = table.get
        reads = [self.row("own"), former_row]

        async def read_stale(key):
            return reads.pop(0) if reads else await read_current(key)

        table.get = read_stale
        table.faults = [None, "late"]
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.assertEqual(reads, [])
        with self.assertRaises(ConditionFailed):
            table.apply(table.delayed_writes.pop())
        self.assertEqual(self.target.effects, 1)
