"""Tests of the listeners for heartbeats and readiness checks."""

import json
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from papayabay_daemon._internal.target import TargetRegistry
from papayabay_platform.heartbeats import HeartbeatDoor
from papayabay_platform.readiness import ReadinessDoor
from papayabay_platform.settings import load_boot
from tests.unit.daemon.door_fakes import exchange, parse, request, settings
from tests.unit.platform.boot_support import BOOT


def local_boot():
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.toml"
        path.write_text(BOOT.replace("10.1.0.8", "127.0.0.1"))
        return load_boot(path)


def heartbeat(sequence=1, state="ready", **changes):
    return {
        "address": "127.0.0.1:8301",
        "info": {"service": "svc-a", "version": "v1", "zone": "z", "slots": 36},
        "status": {"state": state, "seqNo": sequence, "warmupLeft": "0ms"},
    } | changes


class DoorTestCase(unittest.IsolatedAsyncioTestCase):
    door_class = HeartbeatDoor

    async def asyncSetUp(self):
        self.registry = TargetRegistry()
        self.ready = True
        daemon = SimpleNamespace(
            settings=settings(),
            registry=self.registry,
            is_ready=lambda: self.ready,
        )
        self.door = self.door_class(local_boot(), daemon)
        self.door.port = 0
        await self.door.start()
        self.addAsyncCleanup(self.door.close)

    async def send(self, raw):
        status, _, body = parse(await exchange(self.door.port, raw))
        return status, body

    async def post(self, path, values):
        content = json.dumps(values).encode()
        return await self.send(request(path, "POST", body=content))


class HeartbeatTest(DoorTestCase):
    async def send_heartbeat(self, instance, *args, **changes):
        path = f"/Instances.Heartbeat/{instance}"
        status, _ = await self.post(path, heartbeat(*args, **changes))
        return status

    async def test_heartbeat_announces_the_upstream(self):
        self.assertEqual(await self.send_heartbeat("i-1"), 200)
        current = self.registry.current
        self.assertEqual((current.service, current.slots), ("svc-a", 36))
        self.assertEqual(current.incarnation, "i-1")

    async def test_delayed_heartbeat_does_not_undo_draining(self):
        """Guards against new calls to a target that reported draining.

        An earlier heartbeat with state ready is delayed and arrives after the
        one with state draining.
        """
        await self.send_heartbeat("i-1", 1)
        self.assertEqual(await self.send_heartbeat("i-1", 3, "draining"), 200)
        self.assertEqual(await self.send_heartbeat("i-1", 2), 200)
        self.assertTrue(self.registry.current.draining)

    async def test_heartbeats_after_a_deregistration_are_ignored(self):
        await self.send_heartbeat("i-1", 1)
        status, _ = await self.post("/Instances.Deregister/i-1", {})
        self.assertEqual(status, 200)
        await self.send_heartbeat("i-1", 2)
        self.assertTrue(self.registry.current.draining)
        await self.send_heartbeat("i-2", 0)
        self.assertFalse(self.registry.current.draining)

    async def test_restart_with_the_same_id_is_recognized(self):
        """Guards against an upstream that stays draining after its restart.

        It restarts with the same id and its sequence numbers start again, so
        its heartbeats look like delayed ones of the previous process.
        """
        await self.send_heartbeat("i-1", 8, "draining", born=1_000)
        await self.send_heartbeat("i-1", 1, born=2_000)
        self.assertFalse(self.registry.current.draining)
        await self.send_heartbeat("i-1", 9, "draining", born=1_000)
        status, _ = await self.post("/Instances.Deregister/i-1", {"born": 1_000})
        self.assertEqual(status, 200)
        self.assertFalse(self.registry.current.draining)
        await self.post("/Instances.Deregister/i-1", {"born": 2_000})
        self.assertTrue(self.registry.current.draining)

    async def test_invalid_start_time_is_refused(self):
        for born in ("1000", 1.5, -1, True, None, [1]):
            with self.subTest(born):
                self.assertEqual(await self.send_heartbeat("i-1", born=born), 400)
        self.assertIsNone(self.registry.current)

    async def test_heartbeat_without_a_required_field_is_refused(self):
        """Guards against an upstream displaced by another writer's message."""
        await self.send_heartbeat("i-1", born=1_000)
        before = self.registry.current
        for field in ("service", "version", "zone", "slots"):
            with self.subTest(field):
                info = dict(heartbeat()["info"])
                del info[field]
                status = await self.send_heartbeat("i-1", 9, born=1_000, info=info)
                self.assertEqual(status, 400)
        await self.send_heartbeat("i-1", 9)
        self.assertIs(self.registry.current, before)
        await self.send_heartbeat("i-1", 2, "draining", born=1_000)
        self.assertTrue(self.registry.current.draining)

    async def test_durations_out_of_range_are_limited_or_refused(self):
        """Guards against an unhandled error at a duration of any length."""
        for warmup, status in (("9" * 5_000 + "s", 400), ("9" * 300 + "s", 200)):
            with self.subTest(len(warmup)):
                values = heartbeat()["status"] | {"warmupLeft": warmup}
                found = await self.send_heartbeat("i-1", status=values)
                self.assertEqual(found, status)
        self.assertEqual(self.registry.current.cold_start_ms, 3_600_000)

    async def test_invalid_messages_change_nothing(self):
        await self.send_heartbeat("i-1", 1)
        before = self.registry.current
        path = "/Instances.Heartbeat/i-1"
        for content in (b"", b"\xff\xfe", b"[1", b"null", b"[" * 5_000, b'{"a":1}'):
            with self.subTest(content[:9]):
                status, _ = await self.send(request(path, "POST", body=content))
                self.assertEqual(status, 400)
        for values in (
            heartbeat(2, "gone"),
            heartbeat(2, info={"service": 5, "slots": 36}),
            heartbeat(2, info={"service": "svc-b", "slots": 36}),
            heartbeat(2, info={"service": "svc-a", "slots": "many"}),
            heartbeat(2, status={"state": "ready", "seqNo": "x"}),
        ):
            status, _ = await self.post(path, values)
            self.assertEqual(status, 400)
        self.assertIs(self.registry.current, before)

    async def test_heartbeat_of_another_address_is_refused(self):
        self.assertEqual(await self.send_heartbeat("i-1", address="127.0.0.1:9"), 400)
        self.assertIsNone(self.registry.current)

    async def test_malformed_heartbeats_are_refused(self):
        for values in ({}, [], heartbeat(state="odd"), heartbeat(address="nowhere")):
            status, _ = await self.post("/Instances.Heartbeat/i-1", values)
            self.assertEqual(status, 400)
        self.assertIsNone(self.registry.current)


class ReadinessTest(DoorTestCase):
    door_class = ReadinessDoor

    async def test_status_shows_readiness(self):
        self.assertEqual((await self.send(request("/ready")))[0], 200)
        self.ready = False
        self.assertEqual((await self.send(request("/ready")))[0], 503)
