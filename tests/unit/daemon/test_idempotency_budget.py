"""The budget of writes that claims are given."""

import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import PlatformError
from papayabay_daemon._internal.idempotency.budget import WINDOW, WriteBudget
from tests.unit.daemon.idempotency_support import CLAIM, Cluster, FakeClock, GateCase


class BudgetTests(GateCase):
    async def test_refusing_store_is_left_alone(self):
        """Symptom: outcomes stay unwritten while claims keep a store busy.

        The store answers 429; every caller's repeat tries a claim again.
        Cause: nothing counted the refusals.
        """
        gate = self.cluster.gates["a"]
        self.cluster.table.choose = lambda: "down"
        errors = []
        for number in range(50):
            with self.assertRaises(CallError) as caught:
                await self.run_at("a", f"own {number}", CLAIM)
            errors.append(caught.exception)
        kinds = {error.kind for error in errors}
        self.assertEqual(kinds, {ErrorKind.STORE_UNAVAILABLE})
        self.assertTrue(all(error.retry_after_ms >= 500 for error in errors))
        self.assertGreater(len({error.retry_after_ms for error in errors}), 10)
        counters = gate.claims.counters
        self.assertEqual(counters["writes"], 1)
        self.assertEqual(counters["claims_held_back"], 49)
        self.assertEqual(gate.key_table.entries, {})
        self.assertEqual(gate.key_table.bytes, 0)
        self.cluster.table.choose = lambda: None
        self.cluster.clock.time += 10.0
        self.assertEqual((await self.run_at("a", "own 1", CLAIM)).status, 201)

    async def test_outcomes_are_written_before_claims(self):
        gate = self.cluster.gates["a"]
        budget = gate.claims.budget
        budget.refused()
        budget.tokens = 1.0
        self.assertEqual((await self.run_at("a", "own", CLAIM)).status, 201)
        await self.settled()
        self.assertEqual(self.row("own").value["state"], "done")
        self.assertLess(budget.tokens, 0.0)
        kind = await self.kind_at("a", "another", CLAIM)
        self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)


class BudgetRuleTests(unittest.TestCase):
    def test_rate_halves_once_a_window_and_grows_again(self):
        clock = FakeClock()
        budget = WriteBudget(clock)
        for _ in range(100):
            budget.admit()
        for _ in range(5):
            budget.refused()
        self.assertEqual(budget.rate, 50.0)
        with self.assertRaises(CallError):
            budget.admit()
        clock.time += 10 * WINDOW
        budget.fill()
        self.assertGreater(budget.rate, 50.0)
        self.assertLessEqual(budget.tokens, budget.burst())
        budget.admit()


class OverloadedStore(Cluster):
    """A cluster whose store takes some writes per simulated second."""

    def limit(self, writes):
        tokens = {"left": writes, "at": self.clock()}
        apply = self.table.apply

        def limited(puts):
            passed = self.clock() - tokens["at"]
            tokens["left"] = min(tokens["left"] + passed * writes, writes)
            tokens["at"] = self.clock()
            if tokens["left"] < 1:
                raise PlatformError("429")
            tokens["left"] -= 1
            apply(puts)

        self.table.apply = limited


class LimitedStoreTests(unittest.IsolatedAsyncioTestCase):
    async def test_claims_share_what_a_store_takes(self):
        cluster = OverloadedStore("ab")
        cluster.limit(20)
        run = []

        async def dispatch(call):
            run.append(call.idempotency_key)
            return Answer(200)

        for step in range(400):
            cluster.clock.time += 0.05
            for name, gate in cluster.gates.items():
                call = cluster.call(f"{name} {step}")
                try:
                    await gate.run(call, CLAIM, dispatch)
                except CallError as error:
                    self.assertIs(error.kind, ErrorKind.STORE_UNAVAILABLE)
        await cluster.close()
        states = [row.value["state"] for row in cluster.table.rows.values()]
        self.assertEqual(len(run), len(set(run)))
        self.assertEqual(states.count("done"), len(run))
        self.assertGreater(len(run), 0)
        counters = [gate.claims.counters for gate in cluster.gates.values()]
        refused = sum(counter["refused"] for counter in counters)
        written = sum(counter["writes"] for counter in counters)
        self.assertLess(refused, written / 4)
