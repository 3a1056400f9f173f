"""Fakes for the idempotency tests: gates with one faulty table, a target."""

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
TIMEOUT_SECONDS = 10.0


class FakeClock:
    """A clock that advances only when it is set or slept on."""

    def __init__(self):
        self.time = 1_000.0

    def __call__(self):
        return self.time

    async def sleep(self, seconds):
        self.time += seconds
        await asyncio.sleep(0)


class FakeTable:
    """A table that injects faults from a list, or else from a function.

    ``down``: the operation is refused. ``late``: the write is kept in
    `delayed_writes` and its answer is lost. ``lost``: the write is applied
    and its answer is lost.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.choose_fault = lambda: None
        self.on_write_applied = lambda: None
        self.delayed_writes = []

    async def get(self, key):
        await asyncio.sleep(0)
        if self.choose_fault() in ("down", "lost"):
            raise PlatformError("down")
        return self.rows.get(key)

    async def write(self, puts):
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else self.choose_fault()
        if fault == "down":
            raise PlatformError("down")
        if fault == "late":
            self.delayed_writes.append(puts)
            raise PlatformAmbiguous("late")
        self.apply(puts)
        self.on_write_applied()
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
    """Gates that share one table and forward calls to each other directly."""

    def __init__(self, names="ab"):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.members = {}
        self.gates = {}
        self.is_partitioned = False
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        member = Member(name, incarnation, "127.0.0.1", 1, 2, 3, "d", "r")
        self.members[name] = member
        self.gates[name] = IdempotencyGate(
            SETTINGS, member, self.table, self, self, self.clock, self.clock.sleep
        )
        self.gates[name].set_forwarded_dispatch(self.dispatch_forwarded)

    async def dispatch_forwarded(self, call):
        return await self.target.run(call)

    def get(self, name):
        return self.members.get(name)

    async def forward(self, peer, call):
        if self.is_partitioned:
            raise CallError(ErrorKind.LINK_UNAVAILABLE)
        return await self.gates[peer.name].handle_forwarded(call, "peer")

    def call(self, key, body=b"order", lifetime=5.0):
        return Call(
            "r", "orders", "POST", "/confirm", [], Body(body), Importance.CRITICAL,
            0, 0, self.clock() + lifetime, 3, False, key,
        )  # fmt: skip

    async def close(self):
        for gate in self.gates.values():
            await gate.close(TIMEOUT_SECONDS)


class Target:
    """Counts effects and ends calls with the listed outcomes."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.effects = 0
        self.started = asyncio.Event()
        self.may_finish = asyncio.Event()
        self.may_finish.set()

    async def run(self, call):
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome and ERROR_ANSWERS[outcome].effect is Effect.NOT_RUN:
            raise CallError(outcome)
        self.effects += 1
        self.started.set()
        await self.may_finish.wait()
        if outcome:
            raise CallError(outcome)
        number = str(self.effects)
        return Answer(201, [("X-Number", number)], Body(b"done " + number.encode()))


class GateTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.cluster.target = self.target = Target()

    async def asyncTearDown(self):
        self.target.may_finish.set()
        await self.cluster.close()

    async def run_at(self, name, key, rule=EITHER, **options):
        gate = self.cluster.gates[name]
        call = self.cluster.call(key, **options)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await gate.run(call, rule, self.target.run)

    async def error_kind_at(self, name, key, rule=EITHER, **options):
        with self.assertRaises(CallError) as caught:
            await self.run_at(name, key, rule, **options)
        return caught.exception.kind

    async def wait_for_tasks(self):
        for gate in self.cluster.gates.values():
            while gate.tasks:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    await asyncio.wait(list(gate.tasks))

    def row(self, key):
        return self.cluster.table.rows[claim_key("orders", key)]

    def assert_same_answer(self, first, again):
        self.assertEqual(
            (first.status, first.headers, first.body.first),
            (again.status, again.headers, again.body.first),
        )
