"""How whole versions reach a failure domain by few reads of the store."""

import asyncio
import random
import unittest
from unittest import mock

from papayabay_core.configuration import Configuration
from papayabay_daemon._internal.configuration.readers import Readers
from papayabay_daemon._internal.configuration.state import ConfigurationState
from papayabay_daemon._internal.configuration.watching import VersionWatcher
from papayabay_daemon._internal.interfaces import Member
from tests.lib.cluster_fakes import make_settings

DOMAIN_SIZE = 32
PERIOD_SECONDS = 1.0


class EndOfTest(Exception):
    """Ends a loop that has none."""


class FakeMembers:
    """Members as one of them knows them, and what it told others."""

    def __init__(self, local, live):
        self.local = local
        self.everybody = live
        self.silent = 0.0
        self.told = []

    def live(self):
        return self.everybody

    def seconds_since_packet(self):
        return self.silent

    def set_configuration(self, version):
        pass

    def announce_version(self, peers):
        self.told.append({peer.name for peer in peers})


class CountedStore:
    """Holds one version; counts what is asked of it."""

    def __init__(self):
        self.version = 1
        self.calls = []

    async def load(self):
        self.calls.append("load")
        return Configuration(self.version, {"services": {}})

    async def changed(self):
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
        self.store = CountedStore()

    def watcher(self, local):
        self.members = FakeMembers(local, self.live)
        state = ConfigurationState(self.members, lambda: 0.0)
        readers = Readers(self.members, 2, lambda: 0.0, PERIOD_SECONDS)
        settings = make_settings(local.name)
        return VersionWatcher(settings, state, self.store, readers, random.Random(1))

    async def run_for(self, watcher, turns):
        """Load, then run until so many reads or looks have been made."""
        await watcher.load()
        left = [None] * turns + [EndOfTest]
        with (
            mock.patch("asyncio.sleep", side_effect=left),
            self.assertRaises(EndOfTest),
        ):
            async with asyncio.timeout(5):
                await watcher.run()

    def readers_of(self, domain):
        first = next(m for m in self.live if m.failure_domain == domain)
        readers = self.watcher(first).readers
        return [member.name for member in readers.current()]

    async def test_a_fleet_asks_the_store_no_more_than_its_readers_do(self):
        """Questions at the store grew with the number of daemons.

        Sequence: 195 daemons keep a question of 10 s open each, and each
        change answers all of them at once. Cause: every daemon watched; 1,300
        questions a second of 13,000 daemons are most of what the store takes.
        """
        asking = self.readers_of("d1") + self.readers_of("d2")
        for member in self.live:
            if member.name in asking:
                continue
            self.store.calls.clear()
            await self.run_for(self.watcher(member), 20)
            self.assertEqual(self.store.calls, ["load"])

    async def test_a_reader_tells_its_whole_domain_at_once(self):
        """A version was in force seconds late where few daemons read.

        Sequence: two of 32 daemons hear of it from the store. Cause: the
        others were left to gossip, which reaches some only after periods.
        """
        names = self.readers_of("d1")
        reader = next(member for member in self.live if member.name == names[0])
        watcher = self.watcher(reader)
        await watcher.read(watcher.watch.changed)
        followers = {m.name for m in self.live[:DOMAIN_SIZE]} - set(names)
        self.assertEqual(self.members.told, [followers])
        watcher.apply(Configuration(self.store.version, {"services": {}}))
        self.assertEqual(len(self.members.told), 1)

    async def test_one_who_hears_nobody_reads_for_itself(self):
        """A daemon routed by an old version while it was cut off from peers.

        Sequence: a partition parts it from all other daemons, not from the
        store nor its callers; the operator changes a route. Cause: it was no
        reader and waited for those it could not hear.
        """
        asking = self.readers_of("d1")
        member = next(m for m in self.live if m.name not in asking)
        watcher = self.watcher(member)
        self.members.silent = 1.6 * PERIOD_SECONDS
        await watcher.load()
        self.store.calls.clear()
        # One read that begins anew: what it had seen of the store grew old.
        watcher.loaded = False
        self.assertTrue(watcher.readers.must_read())
        await watcher.follow()
        await watcher.follow()
        self.assertEqual(self.store.calls, ["load", "changed"])
        self.assertEqual(watcher.state.version.latest.version, 2)
