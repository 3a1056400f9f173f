"""The registry of the announced target, and the door that fills it."""

import asyncio
import json
import unittest

from papayabay_daemon._internal.doors import TargetDoor
from papayabay_daemon._internal.target import TargetRegistry
from papayabay_daemon._internal.target.registry import MAX_CONNECT_FAILURES
from tests.unit.daemon.door_fakes import (
    FakeClock,
    FakeFlow,
    bounded,
    exchange,
    parse,
    request,
    settings,
)
from tests.unit.daemon.target_client_support import announcement


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)
        self.notified = []
        self.registry.listeners.append(self.notified.append)

    def test_lease_expiry_withdraws_and_repetition_renews(self):
        self.registry.announce(announcement())
        self.clock.time += 0.9
        self.registry.announce(announcement())
        self.clock.time += 0.9
        self.assertIsNotNone(self.registry.current)
        self.clock.time += 0.2
        self.assertIsNone(self.registry.current)
        self.assertEqual([bool(item) for item in self.notified], [True, False])

    def test_only_another_process_restarts_the_cold_start(self):
        self.registry.announce(announcement())
        first = self.registry.current.announced_at
        self.clock.time += 0.5
        self.registry.announce(announcement(slots=9))
        self.assertEqual(self.registry.current.announced_at, first)
        for changes in ({"incarnation": "b"}, {"port": 10}):
            self.clock.time += 0.1
            self.registry.announce(announcement(**changes))
            self.assertEqual(self.registry.current.announced_at, self.clock.time)

    def test_dead_target_is_withdrawn_before_its_lease_expires(self):
        """Guards against calls that fail at a dead target with a valid lease.

        Its process is killed and can't withdraw; its port refuses connections
        while its lease has not expired.
        """
        self.registry.announce(announcement())
        current = self.registry.current
        for _ in range(MAX_CONNECT_FAILURES - 1):
            self.registry.record_connect_failure(current)
        self.registry.record_connected()
        for _ in range(MAX_CONNECT_FAILURES):
            self.assertIsNotNone(self.registry.current)
            self.registry.record_connect_failure(current)
        self.assertIsNone(self.registry.current)

    def test_an_outdated_announcement_changes_nothing(self):
        """Guards against new calls to a draining target.

        An announcement from before the drain is delayed and arrives after the
        one that states the drain.
        """
        self.registry.announce(announcement(sequence=1))
        self.registry.announce(announcement(sequence=3, draining=True))
        self.assertFalse(self.registry.announce(announcement(sequence=2)))
        self.assertTrue(self.registry.current.draining)

    def test_a_late_announcement_of_a_replaced_process_changes_nothing(self):
        """Guards against calls to a process that has ended.

        Its last announcement arrives after it has deregistered, and after the
        first one of its successor at the same address.
        """
        self.registry.announce(announcement(sequence=4, incarnation="a"))
        self.registry.mark_draining("a")
        self.assertTrue(self.registry.current.draining)
        self.registry.announce(announcement(sequence=1, incarnation="b"))
        self.registry.announce(announcement(sequence=5, incarnation="a"))
        self.assertEqual(self.registry.current.incarnation, "b")
        self.assertFalse(self.registry.current.draining)

    def test_a_restarted_process_with_the_same_name_is_a_new_one(self):
        """Guards against a restarted upstream that gets no calls.

        It crashes while draining, after many announcements, and restarts with
        the same name; its sequence numbers start anew. If the highest number
        were kept by name, all its announcements would seem outdated.
        """
        before = {"incarnation": "a", "born_ms": 1_000}
        self.registry.announce(announcement(**before, sequence=7))
        self.registry.announce(announcement(**before, sequence=8, draining=True))
        after = {"incarnation": "a", "born_ms": 2_000}
        self.clock.time += 0.5
        self.assertTrue(self.registry.announce(announcement(**after, sequence=1)))
        self.assertFalse(self.registry.current.draining)
        self.assertEqual(self.registry.current.announced_at, self.clock.time)
        # Late messages of the previous process change nothing.
        self.assertFalse(self.registry.announce(announcement(**before, sequence=9)))
        self.registry.mark_draining("a", 1_000)
        self.assertFalse(self.registry.current.draining)
        self.assertEqual(self.registry.current.born_ms, 2_000)
        self.registry.mark_draining("a", 2_000)
        self.assertTrue(self.registry.current.draining)

    def test_an_older_process_unknown_to_this_daemon_is_outdated(self):
        """Guards against calls to a process that has ended.

        This daemon starts after an upstream has crashed and restarted. The new
        process announces itself; then a delayed heartbeat of the old one
        arrives, for which no sequence number is recorded here.
        """
        self.registry.announce(announcement(incarnation="b", born_ms=9, sequence=1))
        late = announcement(incarnation="a", born_ms=8, sequence=50)
        self.assertFalse(self.registry.announce(late))
        self.assertEqual(self.registry.current.incarnation, "b")

    def test_a_target_replaced_at_its_address_is_withdrawn(self):
        """Guards against calls that are refused until the lease expires.

        An upstream dies, and the process that takes over its address refuses
        calls addressed to the old one. The clock of the new process was set
        back, so that it seems to be the older one.
        """
        self.registry.announce(announcement(incarnation="a", born_ms=9, sequence=1))
        self.registry.mark_replaced(self.registry.current)
        self.assertIsNone(self.registry.current)
        self.registry.announce(announcement(incarnation="b", born_ms=5, sequence=1))
        self.assertEqual(self.registry.current.incarnation, "b")

    def test_repetitions_with_a_new_sequence_number_are_no_change(self):
        self.registry.announce(announcement(sequence=1, cold_start_ms=900))
        self.registry.announce(announcement(sequence=2, cold_start_ms=500))
        self.assertEqual(len(self.notified), 1)
        self.assertEqual(self.registry.current.cold_start_ms, 900)

    def test_connect_failures_of_an_older_incarnation_do_not_count(self):
        self.registry.announce(announcement())
        older = self.registry.current
        self.registry.announce(announcement(incarnation="b"))
        for _ in range(MAX_CONNECT_FAILURES):
            self.registry.record_connect_failure(older)
        self.assertIsNotNone(self.registry.current)


class WatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_together_with_an_announcement_ends_the_watch(self):
        """Guards against a daemon that does not exit when it is stopped.

        The target is withdrawn in the same turn of the event loop in which the
        daemon's tasks are cancelled. The task that watches the lease must not
        lose the cancellation to the event.
        """
        registry = TargetRegistry()
        registry.announce(announcement())
        watch = asyncio.create_task(registry.watch())
        for _ in range(3):
            await asyncio.sleep(0)
        registry.announce(announcement(slots=9))
        watch.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asyncio.wait_for(watch, 1)

    async def test_a_lease_expires_without_calls(self):
        registry = TargetRegistry()
        withdrawn = asyncio.Event()
        registry.listeners.append(lambda item: None if item else withdrawn.set())
        watch = asyncio.create_task(registry.watch())
        self.addCleanup(watch.cancel)
        registry.announce(announcement(lease_ms=100))
        await bounded(withdrawn.wait())


class TargetDoorTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.registry = TargetRegistry()
        self.flow = FakeFlow()
        self.door = TargetDoor(settings(), self.flow, self.registry)
        await self.door.start()
        self.addAsyncCleanup(self.door.close)

    async def post(self, path, **message):
        raw = request(path, "POST", body=json.dumps(message).encode())
        return parse(await exchange(self.door.port, raw))

    async def announce(self, **changes):
        values = {"service": "svc", "address": "http://127.0.0.1:81", "slots": 3}
        values["connections"] = 5
        return await self.post("/.papayabay/announce", **{**values, **changes})

    async def test_announce_and_withdraw(self):
        status, _, _ = await self.announce(shed_status=503, cancel_path="/c/{call}")
        current = self.registry.current
        self.assertEqual(
            (status, current.port, current.slots, current.shed_status),
            (200, 81, 3, 503),
        )
        await self.post("/.papayabay/withdraw")
        self.assertIsNone(self.registry.current)

    async def test_invalid_announcements_are_rejected(self):
        cases = [{"address": "http://10.0.0.1:81"}, {"address": "http://127.0.0.1"}]
        cases += [{"address": "http://127.0.0.1:81/x"}, {"slots": 0}, {"odd": 1}]
        cases += [{"cancel_path": "c d"}, {"shed_status": 200}, {"service": "a b"}]
        cases += [{"load_url": "http://example.org:80/"}, {"address": "http://[::1:8"}]
        for changes in cases:
            with self.subTest(changes):
                status, _, body = await self.announce(**changes)
                self.assertEqual(status, 400)
                self.assertIn("detail", json.loads(body))
                self.assertIsNone(self.registry.current)

    async def test_outgoing_call_carries_its_token(self):
        raw = request(headers=[("Papayabay-Call", "t1")])
        await exchange(self.door.port, raw)
        self.assertEqual(self.flow.seen[0].call_token, "t1")
