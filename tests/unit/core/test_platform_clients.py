"""Tests of the platform clients against the simulated platform."""

import socket
import unittest
from unittest import mock

from papayabay_bench.platform import Faults, serve_platform
from papayabay_core.exceptions import (
    ConditionFailed,
    PlatformAmbiguous,
    PlatformError,
)
from papayabay_core.platform import HttpObjectStore, HttpTableService, Put
from papayabay_core.platform.transport import MAX_RESPONSE_BYTES, keepalive_socket


class KeepaliveSocketTest(unittest.TestCase):
    def test_dead_connection_is_detected(self):
        """Guards against a new version missed during a whole long poll.

        The client sends nothing while it waits for changes, so without
        keepalive it does not detect that its connection is dead.
        """
        address_info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ())
        with keepalive_socket(address_info) as sock:
            for level, option in (
                (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            ):
                self.assertGreater(sock.getsockopt(level, option), 0)
            options = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
            idle, interval, probes = (
                sock.getsockopt(socket.IPPROTO_TCP, option) for option in options
            )
            self.assertLessEqual(idle + interval * probes, 3)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    rates = {}

    async def asyncSetUp(self):
        self.platform = await serve_platform(seed=7, **self.rates)
        self.addAsyncCleanup(self.platform.close)
        settings = self.platform.settings()
        self.table = HttpTableService(settings)
        self.objects = HttpObjectStore(settings)
        self.addAsyncCleanup(self.table.close)
        self.addAsyncCleanup(self.objects.close)

    def fail_with(self, **faults):
        self.platform.stand_in.faults.set(Faults(**faults))


class TableTest(PlatformCase):
    async def test_transaction_applies_all_or_none(self):
        await self.table.write([Put("a/1", {"n": 1}, 0), Put("a/2", {"n": 2}, 0)])
        with self.assertRaises(ConditionFailed):
            await self.table.write([Put("a/3", {}, 0), Put("a/1", {}, 9)])
        self.assertIsNone(await self.table.get("a/3"))
        await self.table.write([Put("a/1", {"n": 3}, 1), Put("a/2", None, 1)])
        row = await self.table.get("a/1")
        self.assertEqual((row.value, row.revision), ({"n": 3}, 2))
        self.assertIsNone(await self.table.get("a/2"))

    async def test_scan_returns_a_prefix_in_pages(self):
        await self.table.write([Put(f"a/{n}", {"n": n}) for n in range(5)])
        await self.table.write([Put("b/1", {}), Put("A/1", {})])
        first = await self.table.scan("a/", limit=2)
        rest = await self.table.scan("a/", after=first[-1].key)
        self.assertEqual([r.key for r in first + rest], [f"a/{n}" for n in range(5)])

    async def test_stale_reads_do_not_see_the_last_write(self):
        self.fail_with(stale_ms=20_000)
        await self.table.write([Put("a/1", {}, 0)])
        self.assertIsNone(await self.table.get("a/1"))
        self.assertEqual(await self.table.scan("a/"), [])

    async def test_lost_answer_of_an_applied_write_is_ambiguous(self):
        """Guards against repeating a write that took effect.

        The platform applies the write, then the connection fails. After a
        plain failure, the caller would repeat the write.
        """
        self.fail_with(lost_answer=1.0)
        with self.assertRaises(PlatformAmbiguous):
            await self.table.write([Put("a/1", {}, 0)])
        self.assertEqual((await self.table.get("a/1")).revision, 1)
        self.assertEqual(self.platform.stand_in.counters.lost, 1)
        with self.assertRaises(PlatformAmbiguous):
            await self.objects.put("o", b"x")
        self.assertEqual(await self.objects.get("o"), b"x")

    async def test_refused_or_unsent_write_is_not_ambiguous(self):
        self.fail_with(down="unavailable")
        await self.assert_not_applied(self.table)
        settings = self.platform.settings()
        await self.platform.close()
        unconnected = HttpTableService(settings)
        self.addAsyncCleanup(unconnected.close)
        await self.assert_not_applied(unconnected)

    async def assert_not_applied(self, table):
        with self.assertRaises(PlatformError) as raised:
            await table.write([Put("a/1", {}, 0)])
        self.assertNotIsInstance(raised.exception, PlatformAmbiguous)

    async def test_reset_and_unanswered_connections(self):
        for down in ("close", "silent"):
            with self.subTest(down=down):
                self.fail_with(down=down)
                # Half of the timeout is for the connection. On a busy machine
                # it took more than 50 ms, and then nothing is sent, which is
                # not ambiguous.
                table = HttpTableService(self.platform.settings())
                self.addAsyncCleanup(table.close)
                with self.assertRaises(PlatformAmbiguous):
                    await table.write([Put("a/1", {}, 0)])
                with self.assertRaises(PlatformError):
                    await table.get("a/1")


class ObjectTest(PlatformCase):
    async def test_stored_objects_are_read_unchanged(self):
        self.assertIsNone(await self.objects.get("s/1 ü"))
        await self.objects.put("s/1 ü", b"\x00content")
        self.assertEqual(await self.objects.get("s/1 ü"), b"\x00content")

    async def test_deleted_objects_do_not_exist(self):
        await self.objects.put("s/1 ü", b"x")
        for _ in range(2):
            await self.objects.delete("s/1 ü")
            self.assertIsNone(await self.objects.get("s/1 ü"))
        self.assertEqual(self.platform.stand_in.object_bytes, 0)

    async def test_failed_delete_is_ambiguous(self):
        await self.objects.put("o", b"x")
        self.fail_with(kind="object", down="unavailable")
        with self.assertRaises(PlatformAmbiguous):
            await self.objects.delete("o")
        self.assertIn("o", self.platform.stand_in.objects)

    async def test_delete_retried_by_the_transport_succeeds(self):
        """Guards against reporting an applied delete as failed.

        Its answer is lost, the transport retries it, and the second attempt
        does not find the object.
        """
        await self.objects.put("o", b"x")
        self.fail_with(kind="object", lost_answer=1.0)
        await self.objects.delete("o")
        self.assertNotIn("o", self.platform.stand_in.objects)

    async def test_put_retried_by_the_transport_stays_ambiguous(self):
        """Guards against reporting an applied put as not applied.

        The put is applied, its connection fails, the transport retries it,
        and the second attempt is refused. The last answer alone does not
        determine the outcome.
        """
        stand_in = self.platform.stand_in
        lose = stand_in.lose

        def lose_then_refuse(request, kind):
            response = lose(request, kind)
            self.fail_with(down="unavailable")
            return response

        self.fail_with(lost_answer=1.0)
        with mock.patch.object(stand_in, "lose", lose_then_refuse):
            with self.assertRaises(PlatformAmbiguous):
                await self.objects.put("o", b"x")
        self.assertEqual(stand_in.objects["o"], b"x")
        self.assertEqual(stand_in.counters.unavailable, 1)

    async def test_interrupted_put_leaves_a_truncated_object(self):
        self.fail_with(kind="object", torn=1.0)
        with self.assertRaises(PlatformAmbiguous):
            await self.objects.put("o", b"abcd")
        self.assertEqual(await self.objects.get("o"), b"ab")

    async def test_too_large_and_malformed_answers_are_errors(self):
        stored = self.platform.stand_in.objects
        stored["big"] = bytes(MAX_RESPONSE_BYTES + 1)
        with self.assertRaisesRegex(PlatformError, "exceeds"):
            await self.objects.get("big")
        stored["row"] = b"{"
        stored["rows"] = b'{"rows": [{"key": "a"}]}'
        settings = self.platform.settings().model_copy(
            update={"table_url": self.platform.object_url}
        )
        table = HttpTableService(settings)
        self.addAsyncCleanup(table.close)
        with self.assertRaisesRegex(PlatformError, "not JSON"):
            await table.get("a")
        with self.assertRaisesRegex(PlatformError, "'value'"):
            await table.scan("a")


class RateTest(PlatformCase):
    rates = {"writes_per_second": 1e-9 + 2, "reads_per_second": 1e-6}

    async def test_requests_above_the_rate_are_refused_and_counted(self):
        await self.table.write([Put("a/1", {}, 0)])
        with self.assertRaisesRegex(PlatformError, "429"):
            await self.table.write([Put(f"a/{n}", {}) for n in range(3)])
        with self.assertRaisesRegex(PlatformError, "429"):
            await self.table.get("a/1")
        self.assertEqual(self.platform.stand_in.counters.refused, 2)
