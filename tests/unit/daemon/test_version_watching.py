"""Propagation of full versions in a failure domain by few store reads."""

import asyncio
import random
import unittest
from unittest import mock

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PlatformError
from papayabay_daemon._internal.configuration import watching
from papayabay_daemon._internal.configuration.readers import (
    FULL_WAIT_READERS,
    Readers,
)
from papayabay_daemon._internal.configuration.state import ConfigurationState
from papayabay_daemon._internal.configuration.store import StoreReader
from papayabay_daemon._internal.configuration.watching import VersionWatcher
from papayabay_daemon._internal.interfaces import Member
from tests.lib.cluster_fakes import make_settings

DOMAIN_SIZE = 32
PERIOD_SECONDS = 1.0


class EndOfTest(Exception):
    """Raised to end an endless loop."""


class FakeMembers:
    """Members as one daemon knows them; records its announcements."""

    def __init__(self, local, live):
        self.local = local
        self.live_members = live
        self.contact_age = 0.0
        self.announced = []
        self.store_lost = False
        self.lost_names = frozenset()

    def live(self):
        return self.live_members

    def without_store(self):
        return self.lost_names

    def set_store_lost(self, lost):
        self.store_lost = lost

    def seconds_since_contact(self):
        return self.contact_age

    def set_configuration(self, version):
        pass

    def announce_version(self, peers):
        self.announced.append({peer.name for peer in peers})


class RecordingStore:
    """A store with one version that records its calls."""

    def __init__(self):
        self.version = 1
        self.max_wait = 10.0
        self.calls = []

    async def load(self):
        self.calls.append("load")
        return Configuration(self.version, {"services": {}})

    async def changed(self, share):
        self.calls.append("changed")
        self.version += 1
        return Configuration(self.version, {"services": {}})


def make_members(count, domain):
    return [
        Member(f"{domain}-{number}", 1, "127.0.0.1", 1, 1, 1, domain, "r1")
        for number in range(count)
    ]


class WatchingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.live = make_members(DOMAIN_SIZE, "d1") + make_members(DOMAIN_SIZE, "d2")
        self.store = RecordingStore()

    def watcher(self, local):
        self.members = FakeMembers(local, self.live)
        state = ConfigurationState(self.members, lambda: 0.0)
        readers = Readers(self.members, 2, lambda: 0.0, PERIOD_SECONDS)
        settings = make_settings(local.name)
        return VersionWatcher(settings, state, self.store, readers, random.Random(1))

    async def run_for(self, watcher, turns):
        """Load, then run until the watcher has slept `turns` times."""
        await watcher.load()
        sleeps = [None] * turns + [EndOfTest]
        with (
            mock.patch("asyncio.sleep", side_effect=sleeps),
            self.assertRaises(EndOfTest),
        ):
            async with asyncio.timeout(5):
                await watcher.run()

    def readers_of(self, domain):
        first = next(m for m in self.live if m.failure_domain == domain)
        readers = self.watcher(first).readers
        return [member.name for member in readers.current()]

    async def test_only_readers_watch_the_store(self):
        """The load of the store grew with the number of daemons.

        Each of 195 daemons kept a request of 10 s open, and each change was
        sent to all of them at once. Cause: every daemon watched the store;
        the 1,300 requests per second of 13,000 daemons are most of what the
        store can handle.
        """
        readers = self.readers_of("d1") + self.readers_of("d2")
        for member in self.live:
            if member.name in readers:
                continue
            self.store.calls.clear()
            await self.run_for(self.watcher(member), 20)
            self.assertEqual(self.store.calls, ["load"])

    async def test_reader_announces_a_version_to_its_domain_at_once(self):
        """A version came in force seconds late at daemons that are no readers.

        Two of 32 daemons receive it from the store. Cause: the others got it
        by gossip alone, which reaches some of them only after several
        periods.
        """
        names = self.readers_of("d1")
        reader = next(member for member in self.live if member.name == names[0])
        watcher = self.watcher(reader)
        await watcher.read(watcher.wait_for_change)
        followers = {m.name for m in self.live[:DOMAIN_SIZE]} - set(names)
        self.assertEqual(self.members.announced, [followers])
        watcher.apply(Configuration(self.store.version, {"services": {}}))
        self.assertEqual(len(self.members.announced), 1)

    async def test_isolated_daemon_reads_the_store_itself(self):
        """A daemon routed by a stale version while it was partitioned.

        A partition separates it from all other daemons, but not from the
        store and its callers, and the operator changes a route. Cause: it was
        no reader and relied on readers that it could not reach.
        """
        readers = self.readers_of("d1")
        member = next(m for m in self.live if m.name not in readers)
        watcher = self.watcher(member)
        self.members.contact_age = 1.6 * PERIOD_SECONDS
        await watcher.load()
        self.store.calls.clear()
        # Its last read is stale, so that it has to load again.
        watcher.loaded = False
        self.assertTrue(watcher.readers.must_read())
        await watcher.follow()
        await watcher.follow()
        self.assertEqual(self.store.calls, ["load", "changed"])
        self.assertEqual(watcher.state.version.latest.version, 2)

    async def test_substitutes_read_for_readers_without_the_store(self):
        """A reader that the store turned away stayed one of only two."""
        first, second = self.readers_of("d1")
        others = [m for m in self.live[:DOMAIN_SIZE] if m.name not in (first, second)]
        watcher = self.watcher(others[0])
        self.members.lost_names = frozenset({first})
        selected = [member.name for member in watcher.readers.current()]
        self.assertEqual(selected[:2], [first, second])
        self.assertEqual(len(selected), 3)
        self.members.lost_names = frozenset()
        self.assertEqual(len(watcher.readers.current()), 2)

    async def test_lost_store_is_announced_to_the_domain_once(self):
        """Others learned only by gossip that a reader has lost the store."""
        names = self.readers_of("d1")
        watcher = self.watcher(next(m for m in self.live if m.name == names[0]))
        refused = mock.AsyncMock(side_effect=PlatformError("refused"))
        await watcher.read(refused)
        await watcher.read(refused)
        domain = {m.name for m in self.live[:DOMAIN_SIZE]} - {names[0]}
        self.assertTrue(self.members.store_lost)
        self.assertEqual(self.members.announced, [domain])
        await watcher.read(watcher.watch.load)
        self.assertFalse(self.members.store_lost)

    async def test_first_waits_of_all_readers_differ(self):
        """All readers waited for an answer of a silent store equally long.

        A change had ended all of their requests at the same moment.
        """
        names = self.readers_of("d1") + self.readers_of("d2")
        readers = [
            self.watcher(member).readers for member in self.live if member.name in names
        ]
        first = sorted(one.wait_share(was_current=False) for one in readers)
        longest = len(names) / FULL_WAIT_READERS
        self.assertEqual(first, [longest * n / 4 for n in (1, 2, 3, 4)])
        self.assertEqual({one.wait_share(True) for one in readers}, {longest})

    async def test_unanswered_request_ends_once_a_peer_has_a_newer_version(self):
        """A reader waited 11 s for a store that had gone silent."""
        watcher = self.watcher(self.live[0])
        watcher.watch.changed = lambda share: asyncio.Event().wait()
        with mock.patch.object(watching, "CHANGE_LAG_SECONDS", 0.0):
            request = asyncio.create_task(watcher.read(watcher.wait_for_change))
            await asyncio.sleep(0)
            watcher.state.apply_full_version(Configuration(9, {"services": {}}))
            async with asyncio.timeout(5):
                self.assertFalse(await request)
        self.assertTrue(watcher.outage.active)

    async def test_isolated_daemon_polls_the_store_itself(self):
        """A partitioned daemon relied on readers also with a polled store."""
        readers = self.readers_of("d1")
        member = next(m for m in self.live if m.name not in readers)
        selected = self.watcher(member).readers
        state = ConfigurationState(self.members, lambda: 0.0)
        settings = make_settings(member.name)
        polled = mock.AsyncMock(**{"head.return_value": 0})
        reader = StoreReader(settings, state, polled, selected, random.Random(1))
        for contact_age, polls in ((0.0, 0), (1.6 * PERIOD_SECONDS, 1)):
            self.members.contact_age = contact_age
            with (
                mock.patch("asyncio.sleep", side_effect=[None, EndOfTest]),
                self.assertRaises(EndOfTest),
            ):
                await reader.run()
            self.assertEqual(polled.head.await_count, polls)
