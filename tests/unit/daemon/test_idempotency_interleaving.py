"""Random interleavings of calls, faults, restarts and pauses."""

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
from papayabay_daemon._internal.idempotency import attempts
from papayabay_daemon._internal.idempotency.held import HELD_MEMORY
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import EITHER, WAIT, Cluster


class InterleavingTests(unittest.TestCase):
    def test_effects_and_not_run_under_faults(self):
        self.reached = Counter()
        self.explore()
        for what in (
            "held",
            "resumed",
            "released",
            "effects",
            "refused",
            "claims_held_back",
        ):
            self.assertGreater(self.reached[what], 0, what)

    @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 2**32), fault_share=st.sampled_from([0.0, 0.1, 0.4, 0.8])
    )
    def explore(self, seed, fault_share):
        asyncio.run(self.interleave(random.Random(seed), fault_share))

    async def interleave(self, chance, fault_share):
        cluster = Cluster("abc")
        effects = {}
        seen = {}

        def fault():
            faulty = chance.random() < fault_share
            return chance.choice(["down", "lost", "late"]) if faulty else None

        async def dispatch(call):
            for _ in range(chance.randrange(6)):
                await asyncio.sleep(0)
            end = chance.random()
            if end < 0.3:
                raise CallError(ErrorKind.OVERLOADED)
            key = call.idempotency_key
            effects[key] = effects.get(key, 0) + 1
            call_effects.add(id(call))
            if end < 0.5:
                raise CallError(ErrorKind.LINK_LOST)
            return Answer(200, [], Body(f"{key} {effects[key]}".encode()))

        async def client(key):
            for _ in range(3):
                gate = chance.choice(list(cluster.gates.values()))
                body = b"other" if chance.random() < 0.1 else b"order"
                call = cluster.call(key, body, chance.uniform(0.02, 2.0))
                calls.append(call)
                try:
                    answer = await gate.run(call, EITHER, dispatch)
                except CallError as error:
                    if error.answer.effect is Effect.NOT_RUN:
                        self.assertNotIn(id(call), call_effects)
                else:
                    self.assertEqual(
                        seen.setdefault(key, answer.body.first), answer.body.first
                    )

        async def trouble():
            for _ in range(10):
                for _ in range(chance.randrange(8)):
                    await asyncio.sleep(0)
                name = chance.choice("abc")
                act = chance.choice(acts)
                if act in ("restart", "close"):
                    old.append(cluster.gates[name])
                    if act == "close":
                        group.create_task(cluster.gates[name].close(WAIT))
                    cluster.start(name, cluster.members[name].incarnation + 1)
                    prepare(cluster.gates[name])
                elif act == "forget":
                    cluster.clock.time += HELD_MEMORY
                elif act in ("dead", "alive"):
                    cluster.members[name].state = MemberState[act.upper()]
                elif act == "pause":
                    cluster.clock.time += chance.uniform(0, 1)
                elif cluster.table.late:
                    with contextlib.suppress(ConditionFailed):
                        cluster.table.apply(cluster.table.late.pop())

        def prepare(gate):
            gate.set_forwarded_dispatch(dispatch)
            if not limited:
                gate.claims.budget.admit = lambda: None
            if small:
                gate.key_table.max_bytes = attempts.LIVE_BYTES

        calls, old, call_effects = [], [], set()
        limited, small = chance.random() < 0.3, chance.random() < 0.3
        acts = ["restart", "close", "dead", "alive", "pause", "late", "forget"]
        cluster.table.choose = fault
        for gate in cluster.gates.values():
            prepare(gate)
        keys = ["own 1", "own 2", cluster.gates["a"].mint()]
        async with asyncio.timeout(WAIT * 6):
            async with asyncio.TaskGroup() as group:
                group.create_task(trouble())
                for key in keys * 3:
                    group.create_task(client(key))
            cluster.table.choose = lambda: None
            await cluster.close()
            for gate in old:
                await gate.close()
        self.assertLessEqual(max(effects.values(), default=0), 1)
        self.reached["effects"] += len(effects)
        for gate in [*old, *cluster.gates.values()]:
            self.reached += gate.counters + gate.claims.counters
