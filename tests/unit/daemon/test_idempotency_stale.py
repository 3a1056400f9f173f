"""Rows and memories that tell of an earlier time."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ConditionFailed
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.claims import Claim, claim_key
from papayabay_daemon._internal.idempotency.held import HELD_CLAIM_SECONDS
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import TIMEOUT_SECONDS, GateTestCase


class StaleTests(GateTestCase):
    async def test_memory_answers_only_for_its_own_process(self):
        """Symptom: a repeat got an answer that was not its first call's.

        A row of this daemon's former process is read while this process
        knows the key too. Cause: the name alone was compared.
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

    async def test_older_revision_read_runs_nothing_twice(self):
        """Symptom: a key read as free is run though another runs it.

        A claims and gives back, B claims and runs; A's read of the row
        lags, showing the claim before or the `open` row. Cause: believing
        a row that is older than the one that the write met.
        """
        table = self.cluster.table
        fresh = table.get
        for name, state in (("claimed", "claimed"), ("open", "open")):
            with self.subTest(state=state):
                self.target.outcomes = [ErrorKind.OVERLOADED]
                await self.error_kind_at("a", name)
                old = [table.rows[claim_key("orders", name)]]
                self.cluster.clock.time += HELD_CLAIM_SECONDS
                await self.run_at("a", f"sweep {name}")
                await self.wait_for_tasks()
                old.append(table.rows[claim_key("orders", name)])
                first = await self.run_at("b", name)
                await self.wait_for_tasks()
                effects = self.target.effects
                lagging = [row for row in old if row.value["state"] == state] * 3
                self.assertTrue(lagging)

                async def stale(key, lagging=lagging):
                    return lagging.pop() if lagging else await fresh(key)

                table.get = stale
                try:
                    answer = await self.run_at("a", name)
                except CallError as error:
                    self.assertIs(error.kind, ErrorKind.KEY_IN_PROGRESS)
                else:
                    self.assert_same_answer(first, answer)
                table.get = fresh
                self.assertEqual(self.target.effects, effects)
                self.assert_same_answer(first, await self.run_at("a", name))

    async def test_claim_before_the_one_written_against_is_not_believed(self):
        """Symptom: a free key reads as unknown.

        A claims, gives back and dies. B reads the `open` row, its claim is
        lost on the way, and the read after that shows A's claim. Cause:
        believing a row older than the one that the write was made against.
        """
        table = self.cluster.table
        self.target.outcomes = [ErrorKind.OVERLOADED]
        await self.error_kind_at("a", "own")
        former = self.row("own")
        await self.cluster.gates["a"].close(TIMEOUT_SECONDS)
        self.cluster.members["a"].state = MemberState.DEAD
        fresh = table.get
        reads = [self.row("own"), former]

        async def stale(key):
            return reads.pop(0) if reads else await fresh(key)

        table.get = stale
        table.faults = [None, "late"]
        self.assertEqual((await self.run_at("b", "own")).status, 201)
        self.assertEqual(reads, [])
        with self.assertRaises(ConditionFailed):
            table.apply(table.delayed_writes.pop())
        self.assertEqual(self.target.effects, 1)
