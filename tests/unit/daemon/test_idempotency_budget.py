"""Tests of the write budget that limits first claims."""

import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import PlatformError
from papayabay_daemon._internal.idempotency.budget import WINDOW_SECONDS, WriteBudget
from tests.unit.daemon.idempotency_support import (
    CLAIM,
    Cluster,
    FakeClock,
    GateTestCase,
)


class BudgetTests(GateTestCase):
    async def test_overloaded_store_gets_no_more_claims(self):
        """Guards against claims that starve outcomes at an overloaded store.

        The store answers 429, and each retry of a caller tries another claim.
        Unless refusals are counted, these claims keep the store busy and
        outcomes stay unwritten.
        """
        gate = self.cluster.gates["a"]
        self.cluster.table.choose_fault = lambda: "down"
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
        self.assertEqual(gate.key_table.used_bytes, 0)
        self.cluster.table.choose_fault = lambda: None
        self.cluster.clock.time += 10.0
        self.assertEqual((await self.run_at("a", "own 1", CLAIM)).status, 201)

    async def test_outcomes_take_precedence_over_claims(self):
        gate = self.cluster.gates["a"]
        budget = gate.claims.budget
        budget.record_refusal()
        budget.tokens = 1.0
        self.assertEqual((await self.run_at("a", "own", CLAIM)).status, 201)
        await self.wait_for_tasks()
        self.assertEqual(self.row("own").value["state"], "done")
        self.assertLess(budget.tokens, 0.0)
        kind = await self.error_kind_at("a", "another", CLAIM)
        self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)


class BudgetRuleTests(unittest.TestCase):
    def test_rate_halves_once_per_window_and_recovers(self):
        clock = FakeClock()
        budget = WriteBudget(clock)
        for _ in range(100):
            budget.admit()
        for _ in range(5):
            budget.record_refusal()
        self.assertEqual(budget.rate, 50.0)
        with self.assertRaises(CallError):
            budget.admit()
        clock.time += 10 * WINDOW_SECONDS
        budget.refill()
        self.assertGreater(budget.rate, 50.0)
        self.assertLessEqual(budget.tokens, budget.capacity())
        budget.admit()


class OverloadedStoreCluster(Cluster):
    """A cluster whose store refuses writes beyond a rate."""

    def limit_writes(self, writes_per_second):
        bucket = {"tokens": writes_per_second, "updated_at": self.clock()}
        apply = self.table.apply

        def apply_limited(puts):
            elapsed = self.clock() - bucket["updated_at"]
            bucket["tokens"] = min(
                bucket["tokens"] + elapsed * writes_per_second, writes_per_second
            )
            bucket["updated_at"] = self.clock()
            if bucket["tokens"] < 1:
                raise PlatformError("429")
            bucket["tokens"] -= 1
            apply(puts)

        self.table.apply = apply_limited


class LimitedStoreTests(unittest.IsolatedAsyncioTestCase):
    async def test_daemons_share_the_capacity_of_the_store(self):
        cluster = OverloadedStoreCluster("ab")
        cluster.limit_writes(20)
        run_keys = []

        async def dispatch(call):
            run_keys.append(call.idempotency_key)
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
        self.assertEqual(len(run_keys), len(set(run_keys)))
        self.assertEqual(states.count("done"), len(run_keys))
        self.assertGreater(len(run_keys), 0)
        counters = [gate.claims.counters for gate in cluster.gates.values()]
        refused = sum(counter["refused"] for counter in counters)
        written = sum(counter["writes"] for counter in counters)
        self.assertLess(refused, written / 4)
