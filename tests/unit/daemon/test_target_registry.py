import asyncio
import json
import unittest

from papayabay_daemon._internal.doors import TargetDoor
from papayabay_daemon._internal.target import Announcement, TargetRegistry
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


def announcement(**changes):
    values = {"service": "svc", "host": "127.0.0.1", "port": 9, "slots": 4}
    return Announcement(**{**values, "connections": 8, "lease_ms": 1000, **changes})


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)
        self.seen = []
        self.registry.listeners.append(self.seen.append)

    def test_lease_expiry_withdraws_and_repetition_holds(self):
        self.registry.announce(announcement())
        self.clock.time += 0.9
        self.registry.announce(announcement())
        self.clock.time += 0.9
        self.assertIsNotNone(self.registry.current)
        self.clock.time += 0.2
        self.assertIsNone(self.registry.current)
        self.assertEqual([bool(item) for item in self.seen], [True, False])

    def test_only_another_incarnation_restarts_the_cold_start(self):
        self.registry.announce(announcement())
        first = self.registry.current.announced_at
        self.clock.time += 0.5
        self.registry.announce(announcement(slots=9))
        self.assertEqual(self.registry.current.announced_at, first)
        for changes in ({"incarnation": "b"}, {"port": 10}):
            self.clock.time += 0.1
            self.registry.announce(announcement(**changes))
            self.assertEqual(self.registry.current.announced_at, self.clock.time)

    def test_dead_target_is_withdrawn_before_its_lease_ends(self):
        """Calls went on failing at a dead target.

        Its process is killed and can't withdraw; its port refuses each
        connection, while its lease still holds.
        """
        self.registry.announce(announcement())
        current = self.registry.current
        for _ in range(MAX_CONNECT_FAILURES - 1):
            self.registry.connect_failed(current)
        self.registry.connected()
        for _ in range(MAX_CONNECT_FAILURES):
            self.assertIsNotNone(self.registry.current)
            self.registry.connect_failed(current)
        self.assertIsNone(self.registry.current)

    def test_overtaken_announcements_change_nothing(self):
        """A draining target got new work again.

        One of its announcements, sent before it drained, was held up on its
        way and came after the one that told of draining.
        """
        self.registry.announce(announcement(sequence=1))
        self.registry.announce(announcement(sequence=3, draining=True))
        self.assertFalse(self.registry.announce(announcement(sequence=2)))
        self.assertTrue(self.registry.current.draining)

    def test_a_late_announcement_of_a_former_process_changes_nothing(self):
        """Calls went to a process that had ended.

        Its last announcement arrives after its successor's first at the same
        address, and after it has said that it is gone.
        """
        self.registry.announce(announcement(sequence=4, incarnation="a"))
        self.registry.mark_draining("a")
        self.assertTrue(self.registry.current.draining)
        self.registry.announce(announcement(sequence=1, incarnation="b"))
        self.registry.announce(announcement(sequence=5, incarnation="a"))
        self.assertEqual(self.registry.current.incarnation, "b")
        self.assertFalse(self.registry.current.draining)

    def test_a_process_that_keeps_its_name_over_a_restart_is_another_one(self):
        """An upstream that started again got no calls.

        Sequence: it crashes while draining, with many announcements made,
        and starts again under the same name; its numbers begin anew. Cause:
        the newest number was kept by name, so that all it said was late.
        """
        before = {"incarnation": "a", "born_ms": 1_000}
        self.registry.announce(announcement(**before, sequence=7))
        self.registry.announce(announcement(**before, sequence=8, draining=True))
        after = {"incarnation": "a", "born_ms": 2_000}
        self.clock.time += 0.5
        self.assertTrue(self.registry.announce(announcement(**after, sequence=1)))
        self.assertFalse(self.registry.current.draining)
        self.assertEqual(self.registry.current.announced_at, self.clock.time)
        # Nothing that the former process sent changes anything.
        self.assertFalse(self.registry.announce(announcement(**before, sequence=9)))
        self.registry.mark_draining("a", 1_000)
        self.assertFalse(self.registry.current.draining)
        self.assertEqual(self.registry.current.born_ms, 2_000)
        self.registry.mark_draining("a", 2_000)
        self.assertTrue(self.registry.current.draining)

    def test_a_former_process_that_was_never_heard_of_is_late(self):
        """Calls went to a process that had ended.

        Sequence: this daemon starts after an upstream crashed and started
        again; the new process announces itself, and then a heartbeat of the
        old one arrives that was held up. Cause: it has no number here.
        """
        self.registry.announce(announcement(incarnation="b", born_ms=9, sequence=1))
        late = announcement(incarnation="a", born_ms=8, sequence=50)
        self.assertFalse(self.registry.announce(late))
        self.assertEqual(self.registry.current.incarnation, "b")

    def test_an_address_that_another_process_took_is_given_up(self):
        """All calls to an upstream were refused for the rest of its lease.

        Sequence: it dies and another process takes its address, which
        refuses what names the former one. Cause: the announcement held on.
        The clock of the new one was set back, so that it seems older.
        """
        self.registry.announce(announcement(incarnation="a", born_ms=9, sequence=1))
        self.registry.mark_replaced(self.registry.current)
        self.assertIsNone(self.registry.current)
        self.registry.announce(announcement(incarnation="b", born_ms=5, sequence=1))
        self.assertEqual(self.registry.current.incarnation, "b")

    def test_repetitions_that_only_count_on_are_no_change(self):
        self.registry.announce(announcement(sequence=1, cold_start_ms=900))
        self.registry.announce(announcement(sequence=2, cold_start_ms=500))
        self.assertEqual(len(self.seen), 1)
        self.assertEqual(self.registry.current.cold_start_ms, 900)

    def test_failures_of_an_older_incarnation_do_not_count(self):
        self.registry.announce(announcement())
        older = self.registry.current
        self.registry.announce(announcement(incarnation="b"))
        for _ in range(MAX_CONNECT_FAILURES):
            self.registry.connect_failed(older)
        self.assertIsNotNone(self.registry.current)


class WatchTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_end_that_comes_with_an_announcement_ends_the_watch(self):
        """A daemon that was told to stop was still there after its grace time.

        Its last target is withdrawn in the very turn of the event loop in
        which all parts are ended; the part that watches the lease took the
        news and missed the end.
        """
        registry = TargetRegistry()
        registry.announce(announcement())
        watching = asyncio.create_task(registry.watch())
        for _ in range(3):
            await asyncio.sleep(0)
        registry.announce(announcement(slots=9))
        watching.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await asyncio.wait_for(watching, 1)

    async def test_lease_end_is_noticed_without_calls(self):
        registry = TargetRegistry()
        gone = asyncio.Event()
        registry.listeners.append(lambda item: None if item else gone.set())
        watch = asyncio.create_task(registry.watch())
        self.addCleanup(watch.cancel)
        registry.announce(announcement(lease_ms=100))
        await bounded(gone.wait())


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

    async def test_faulty_announcements_are_refused(self):
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
