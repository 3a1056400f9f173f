"""A cluster of gates on one faulty table, its target and its test case."""

import asyncio
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer, Body, Call
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_core.exceptions import (
    ConditionFailed,
    PlatformAmbiguous,
    PlatformError,
)
from papayabay_core.importance import Importance
from papayabay_core.platform.protocols import Row
from papayabay_daemon._internal.idempotency import IdempotencyGate
from papayabay_daemon._internal.idempotency.claims import claim_key
from papayabay_daemon._internal.interfaces import Member

SETTINGS = SimpleNamespace(
    cluster=SimpleNamespace(secret="test secret"),
    platform=SimpleNamespace(timeout_ms=1_000),
)
CLAIM = SimpleNamespace(at_most_once="claim")
TOKEN = SimpleNamespace(at_most_once="token")
EITHER = SimpleNamespace(at_most_once="either")
WAIT = 10.0


class FakeClock:
    """A clock that only moves when told, or slept on."""

    def __init__(self):
        self.time = 1_000.0

    def __call__(self):
        return self.time

    async def sleep(self, seconds):
        self.time += seconds
        await asyncio.sleep(0)


class FakeTable:
    """A table with faults taken from a list, else from a function."""

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.choose = lambda: None
        self.before_answer = lambda: None
        self.late = []

    async def get(self, key):
        await asyncio.sleep(0)
        if self.choose() in ("down", "lost"):
            raise PlatformError("down")
        return self.rows.get(key)

    async def write(self, puts):
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else self.choose()
        if fault == "down":
            raise PlatformError("down")
        if fault == "late":
            self.late.append(puts)
            raise PlatformAmbiguous("late")
        self.apply(puts)
        self.before_answer()
        if fault == "lost":
            raise PlatformAmbiguous("lost")

    def apply(self, puts):
        for put in puts:
            row = self.rows.get(put.key)
            if put.expected != (row.revision if row else 0):
                raise ConditionFailed(put.key)
        for put in puts:
            self.rows[put.key] = Row(put.key, put.value, put.expected + 1)


class Cluster:
    """Gates on one table; forwarding is a direct call."""

    def __init__(self, names="ab"):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.members = {}
        self.gates = {}
        self.cut = False
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        member = Member(name, incarnation, "127.0.0.1", 1, 2, 3, "d", "r")
        self.members[name] = member
        self.gates[name] = IdempotencyGate(
            SETTINGS, member, self.table, self, self, self.clock, self.clock.sleep
        )
        self.gates[name].set_forwarded_dispatch(self.gates_dispatch)

    async def gates_dispatch(self, call):
        return await self.target.run(call)

    def get(self, name):
        return self.members.get(name)

    async def forward(self, peer, call):
        if self.cut:
            raise CallError(ErrorKind.LINK_UNAVAILABLE)
        return await self.gates[peer.name].handle_forwarded(call, "peer")

    def call(self, key, body=b"order", life=5.0):
        return Call(
            "r", "orders", "POST", "/confirm", [], Body(body), Importance.CRITICAL,
            0, 0, self.clock() + life, 3, False, key,
        )  # fmt: skip

    async def close(self):
        for gate in self.gates.values():
            await gate.close(WAIT)


class Target:
    """Counts effects; ends as told."""

    def __init__(self, *endings):
        self.endings = list(endings)
        self.effects = 0
        self.started = asyncio.Event()
        self.go = asyncio.Event()
        self.go.set()

    async def run(self, call):
        ending = self.endings.pop(0) if self.endings else None
        if ending and ERROR_ANSWERS[ending].effect is Effect.NOT_RUN:
            raise CallError(ending)
        self.effects += 1
        self.started.set()
        await self.go.wait()
        if ending:
            raise CallError(ending)
        number = str(self.effects)
        return Answer(201, [("X-Number", number)], Body(b"done " + number.encode()))


class GateCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.cluster.target = self.target = Target()

    async def asyncTearDown(self):
        self.target.go.set()
        await self.cluster.close()

    async def run_at(self, name, key, rule=EITHER, **options):
        gate = self.cluster.gates[name]
        call = self.cluster.call(key, **options)
        async with asyncio.timeout(WAIT):
            return await gate.run(call, rule, self.target.run)

    async def kind_at(self, name, key, rule=EITHER, **options):
        with self.assertRaises(CallError) as caught:
            await self.run_at(name, key, rule, **options)
        return caught.exception.kind

    async def settled(self):
        for gate in self.cluster.gates.values():
            while gate.tasks:
                async with asyncio.timeout(WAIT):
                    await asyncio.wait(list(gate.tasks))

    def row(self, key):
        return self.cluster.table.rows[claim_key("orders", key)]

    def assert_same(self, first, again):
        self.assertEqual(
            (first.status, first.headers, first.body.first),
            (again.status, again.headers, again.body.first),
        )
