"""Property test of the gate under random calls, faults, restarts and pauses.

Each key's call takes effect at most once, all answers to a key are the same,
and no call ends with the effect `not run` after it was run.
"""

import asyncio
import contextlib
import random
import unittest
from collections import Counter

from hypothesis import given, settings as hypothesis_settings, strategies as st

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.exceptions import (
    ConditionFailed,
)
from papayabay_daemon._internal.idempotency import key_table
from papayabay_daemon._internal.idempotency.held import HELD_CLAIM_SECONDS
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import EITHER, TIMEOUT_SECONDS, Cluster


class InterleavingTests(unittest.TestCase):
    def test_at_most_one_effect_and_no_false_not_run(self):
        self.reached = Counter()
        self.explore()
        for counter in (
            "held",
            "resumed",
            "released",
            "effects",
            "refused",
            "claims_held_back",
        ):
            self.assertGreater(self.reached[counter], 0, counter)

    @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 2**32), fault_share=st.sampled_from([0.0, 0.1, 0.4, 0.8])
    )
    def explore(self, seed, fault_share):
        asyncio.run(self.interleave(random.Random(seed), fault_share))

    async def interleave(self, rng, fault_share):
        cluster = Cluster("abc")
        effects = {}
        first_answers = {}

        def fault():
            faulty = rng.random() < fault_share
            return rng.choice(["down", "lost", "late"]) if faulty else None

        async def dispatch(call):
            for _ in range(rng.randrange(6)):
                await asyncio.sleep(0)
            draw = rng.random()
            if draw < 0.3:
                raise CallError(ErrorKind.OVERLOADED)
            key = call.idempotency_key
            effects[key] = effects.get(key, 0) + 1
            run_call_ids.add(id(call))
            if draw < 0.5:
                raise CallError(ErrorKind.LINK_LOST)
            return Answer(200, [], Body(f"{key} {effects[key]}".encode()))

        async def client(key):
            for _ in range(3):
                gate = rng.choice(list(cluster.gates.values()))
                body = b"other" if rng.random() < 0.1 else b"order"
                call = cluster.call(key, body, rng.uniform(0.02, 2.0))
                calls.append(call)
                try:
                    answer = await gate.run(call, EITHER, dispatch)
                except CallError as error:
                    if error.answer.effect is Effect.NOT_RUN:
                        self.assertNotIn(id(call), run_call_ids)
                else:
                    self.assertEqual(
                        first_answers.setdefault(key, answer.body.first),
                        answer.body.first,
                    )

        async def inject_events():
            for _ in range(10):
                for _ in range(rng.randrange(8)):
                    await asyncio.sleep(0)
                name = rng.choice("abc")
                event = rng.choice(events)
                if event in ("restart", "close"):
                    former_gates.append(cluster.gates[name])
                    if event == "close":
                        group.create_task(cluster.gates[name].close(TIMEOUT_SECONDS))
                    cluster.start(name, cluster.members[name].incarnation + 1)
                    prepare(cluster.gates[name])
                elif event == "forget":
                    cluster.clock.time += HELD_CLAIM_SECONDS
                elif event in ("dead", "alive"):
                    cluster.members[name].state = MemberState[event.upper()]
                elif event == "pause":
                    cluster.clock.time += rng.uniform(0, 1)
                elif cluster.table.delayed_writes:
                    with contextlib.suppress(ConditionFailed):
                        cluster.table.apply(cluster.table.delayed_writes.pop())

        def prepare(gate):
            gate.set_forwarded_dispatch(dispatch)
            if not is_budget_enforced:
                gate.claims.budget.admit = lambda: None
            if is_table_small:
                gate.key_table.max_bytes = key_table.RUNNING_ENTRY_BYTES

        # `calls` keeps the calls alive, so that their ids stay unique.
        calls, former_gates, run_call_ids = [], [], set()
        is_budget_enforced, is_table_small = rng.random() < 0.3, rng.random() < 0.3
        events = ["restart", "close", "dead", "alive", "pause", "late", "forget"]
        cluster.table.choose_fault = fault
        for gate in cluster.gates.values():
            prepare(gate)
        keys = ["own 1", "own 2", cluster.gates["a"].mint()]
        async with asyncio.timeout(TIMEOUT_SECONDS * 6):
            async with asyncio.TaskGroup() as group:
                group.create_task(inject_events())
                for key in keys * 3:
                    group.create_task(client(key))
            cluster.table.choose_fault = lambda: None
            await cluster.close()
            for gate in former_gates:
                await gate.close()
        self.assertLessEqual(max(effects.values(), default=0), 1)
        self.reached["effects"] += len(effects)
        for gate in [*former_gates, *cluster.gates.values()]:
            self.reached += gate.counters + gate.claims.counters
