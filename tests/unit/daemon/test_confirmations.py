"""Age of confirmations, and their renewal by single daemons and a fleet."""

import asyncio
import random
import unittest

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_daemon._internal.configuration.confirming import Confirmer
from papayabay_daemon._internal.configuration.messages import Offer
from papayabay_daemon._internal.configuration.state import ConfigurationState
from papayabay_daemon._internal.configuration.watching import VersionWatcher
from tests.lib.virtual_time import run_in_virtual_time

MAX_STALENESS_S = 5.0
VALUES = {"authentication": {"max_staleness_ms": int(MAX_STALENESS_S * 1_000)}}
STORE_ANSWER_S = 0.004
FLEET = 62
DOMAINS = 4
READERS = 2


class SilentMembers:
    """Members that ignore all announcements."""

    def set_configuration(self, version):
        pass

    def announce_version(self, peers):
        pass


class FixedReaders:
    """`Readers` with values that tests set."""

    def __init__(self, reads=False, index=0, first=None, others=()):
        self.reads = reads
        self.index = index
        self.first = first
        self.others = list(others)

    def first_of_fleet(self):
        return self.first

    def record_access(self, answered):
        pass

    def other_readers(self):
        return self.others

    def fleet_index(self):
        return self.index

    def must_read(self):
        return self.reads

    def is_reader(self):
        return self.reads

    def followers(self):
        return []


def version(number):
    return Configuration(number, VALUES, confirmed=True)


def make_state(clock, number=1):
    state = ConfigurationState(SilentMembers(), clock)
    if number:
        state.apply_full_version(version(number))
    return state


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class SlowStore:
    """A store that takes some time to answer."""

    def __init__(self, clock, answer):
        self.clock = clock
        self.answer = answer
        self.latency = 3.0
        self.max_wait = 10.0

    async def load(self):
        self.clock.now += self.latency
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    changed = poll = load


class ConfirmationAgeTests(unittest.TestCase):
    """A confirmation is as old as the request for it, whoever answered."""

    def setUp(self):
        self.clock = Clock()
        self.state = make_state(self.clock)

    def read(self, answer, newest=0):
        store = SlowStore(self.clock, answer)
        watcher = VersionWatcher(None, self.state, store, FixedReaders(), random)
        watcher.stored_version = newest
        asyncio.run(watcher.confirm())
        return watcher

    def test_age_of_an_answer_counts_from_the_request(self):
        """Guards against missing a revocation during a slow answer."""
        self.read(version(1))
        self.assertEqual(self.state.staleness(), 3.0)

    def test_answer_without_change_confirms_the_latest_version(self):
        self.read(None, newest=1)
        self.assertEqual(self.state.staleness(), 3.0)

    def test_unreadable_version_confirms_nothing(self):
        """Guards against accepting keys that an unreadable version revoked."""
        watcher = self.read(PolicyError("unreadable"), newest=1)
        self.assertEqual(self.state.staleness(), float("inf"))
        watcher.watch.answer = None
        asyncio.run(watcher.read(watcher.watch.poll))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_version_that_is_not_in_force_confirms_no_accounts(self):
        """Guards against accepting keys that an unusable version revoked."""
        confirmer = Confirmer(self.state, None, None, FixedReaders(), (), random)
        self.read(version(1))
        self.assertTrue(confirmer.is_fresh())
        self.assertFalse(confirmer.is_behind())
        unusable = Configuration(2, VALUES | {"routes": 7}, confirmed=True)
        self.read(unusable)
        self.clock.now += MAX_STALENESS_S
        self.read(None, newest=2)
        self.assertEqual(self.state.staleness(), 3.0)
        self.assertTrue(confirmer.is_behind())
        self.assertFalse(asyncio.run(confirmer.ensure_fresh()))
        self.read(version(3))
        self.assertTrue(confirmer.is_fresh())
        self.assertFalse(confirmer.is_behind())

    def test_failed_read_confirms_nothing(self):
        self.read(PlatformError("refused"))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_age_of_a_peer_s_confirmation_includes_the_time_since_the_request(self):
        """Guards against a confirmation that gets younger in transit."""
        asked_at = self.clock.now
        self.clock.now += 2.0
        self.state.peer_confirmed(1, 500, asked_at)
        self.assertEqual(self.state.staleness(), 2.5)

    def test_unsolicited_offer_confirms_nothing(self):
        """Guards against an offer that lay unread during a pause."""
        self.state.receive_confirmation(Offer(1, 0.1))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_newer_version_of_a_peer_confirms_nothing(self):
        """Guards against accepting keys that the newer version revoked."""
        self.state.peer_confirmed(2, 0, self.clock.now)
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_older_version_of_a_peer_confirms_the_latest_version(self):
        self.state.apply_full_version(version(3))
        self.state.peer_confirmed(2, 0, self.clock.now)
        self.assertEqual(self.state.staleness(), 0.0)

    def test_age_in_milliseconds_is_rounded_up(self):
        self.state.confirm(self.clock.now - 0.0101)
        self.assertEqual(self.state.own_confirmation(), (1, 11))

    def test_without_maximum_staleness_no_confirmation_is_passed_on(self):
        state = ConfigurationState(SilentMembers(), self.clock)
        state.confirm(self.clock.now)
        self.assertIsNone(state.own_confirmation())

    def test_restored_store_confirms_nothing_at_first(self):
        """Guards against missing a revocation that the store's copy lacks."""
        self.state.confirm(self.clock.now)
        self.state.store_restored()
        self.state.confirm(self.clock.now + 0.5)
        self.assertEqual(self.state.staleness(), float("inf"))
        self.clock.now += 2.0
        self.state.confirm(self.clock.now)
        self.assertEqual(self.state.staleness(), 0.0)


class FleetStore:
    """A store that some daemons can't reach; counts all calls."""

    def __init__(self):
        self.unreachable = set()
        self.calls = 0

    async def confirm(self, daemon):
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        self.calls += 1
        await asyncio.sleep(STORE_ANSWER_S)
        if daemon.name not in self.unreachable:
            daemon.state.confirm(asked_at)
            return True
        return False


class FleetDaemon:
    """The state and confirmer of one daemon in a fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.state = make_state(asyncio.get_running_loop().time)
        readers = FixedReaders(
            name < DOMAINS * READERS,
            index=name,
            first=0 if name else None,
            others=[name % DOMAINS],
        )
        self.confirmer = Confirmer(
            self.state, self, self, readers, {}, random.Random(name)
        )

    async def confirm(self):
        return await self.fleet.store.confirm(self)

    async def request_confirmation(self, name, timeout):
        await self.fleet.ask(self, self.fleet.daemons[name])

    async def serve(self):
        """Serve authenticated requests, and call other daemons for them."""
        rng = random.Random(f"calls-{self.name}")
        while True:
            await asyncio.sleep(rng.expovariate(self.fleet.requests_a_second))
            peer = rng.choice(self.fleet.daemons)
            await self.fleet.ask(self, peer)
            fresh = await self.confirmer.ensure_fresh()
            self.fleet.note(self, fresh)


class Fleet:
    """Daemons that get confirmations with the answers to their calls."""

    def __init__(self):
        self.store = FleetStore()
        self.daemons = [FleetDaemon(self, name) for name in range(FLEET)]
        self.cut = set()
        self.stale = []
        self.requests_a_second = 20.0

    async def ask(self, asker, peer):
        asked_at = asyncio.get_running_loop().time()
        if (asker.name in self.cut) != (peer.name in self.cut):
            return
        known = peer.state.own_confirmation()
        await asyncio.sleep(0.002)
        if known is not None:
            asker.state.peer_confirmed(*known, asked_at)

    def note(self, daemon, fresh):
        if not fresh:
            self.stale.append((asyncio.get_running_loop().time(), daemon.name))

    async def run(self, scenario):
        tasks = [
            asyncio.ensure_future(work)
            for daemon in self.daemons
            for work in (daemon.confirmer.run(), daemon.serve())
        ]
        try:
            await scenario(self)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def play(scenario):
    """Return a fleet after a scenario in virtual time."""

    async def main():
        fleet = Fleet()
        await fleet.run(scenario)
        return fleet

    return run_in_virtual_time(main)


class FleetTests(unittest.TestCase):
    def test_fleet_stays_fresh_with_few_store_calls(self):
        """Guards against a store call by each daemon."""

        async def calm(fleet):
            await asyncio.sleep(2.0)
            fleet.store.calls = 0
            fleet.stale.clear()
            await asyncio.sleep(40.0)

        fleet = play(calm)
        self.assertEqual(fleet.stale, [])
        self.assertLess(fleet.store.calls, 1.5 * 40.0 / (MAX_STALENESS_S * 0.25))

    def test_idle_fleet_makes_no_more_store_calls(self):
        """Guards against store calls by every reader without any calls."""

        async def idle(fleet):
            fleet.requests_a_second = 0.01
            await asyncio.sleep(2.0)
            fleet.store.calls = 0
            await asyncio.sleep(40.0)

        fleet = play(idle)
        self.assertLess(fleet.store.calls, 1.5 * 40.0 / (MAX_STALENESS_S * 0.25))

    def test_failed_renewals_back_off(self):
        """Guards against stale confirmations that count as success."""

        async def store_outage(fleet):
            await asyncio.sleep(2.0)
            fleet.store.unreachable = set(range(FLEET))
            fleet.store.calls = 0
            await asyncio.sleep(9.0)

        self.assertLess(play(store_outage).store.calls, 9.0 * FLEET)

    def test_daemons_without_the_store_get_confirmations_from_peers(self):
        """Guards against refusing keys that peers know to be valid."""

        async def partial_outage(fleet):
            await asyncio.sleep(2.0)
            fleet.stale.clear()
            fleet.store.unreachable = set(range(0, FLEET, 3))
            await asyncio.sleep(9.0)

        self.assertEqual(play(partial_outage).stale, [])

    def test_partitioned_daemons_become_stale_in_time_and_recover(self):
        """Guards against accepting a revoked key beyond the maximum staleness.

        A quarter of the daemons reach neither the store nor the others.
        """
        cut = set(range(0, FLEET, 4))

        async def partition(fleet):
            await asyncio.sleep(2.0)
            fleet.stale.clear()
            fleet.cut = fleet.store.unreachable = cut
            started = asyncio.get_running_loop().time()
            await asyncio.sleep(MAX_STALENESS_S)
            fleet.times = [time - started for time, _ in fleet.stale]
            for daemon in (fleet.daemons[name] for name in cut):
                self.assertFalse(daemon.confirmer.is_fresh())
            fleet.cut, fleet.store.unreachable = set(), set()
            await asyncio.sleep(2.5)
            fleet.stale.clear()
            await asyncio.sleep(5.0)

        fleet = play(partition)
        self.assertEqual(fleet.stale, [])
        self.assertLessEqual({name for _, name in fleet.stale}, cut)
        self.assertGreater(min(fleet.times), 0.6 * MAX_STALENESS_S)


if __name__ == "__main__":
    unittest.main()
