"""How long a daemon may rely on the accounts that it knows."""

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

BOUND_S = 5.0
VALUES = {"authentication": {"max_staleness_ms": int(BOUND_S * 1_000)}}
STORE_ANSWER_S = 0.004
FLEET = 62
DOMAINS = 4
READERS = 2


class SilentMembers:
    """Members that nobody tells anything."""

    def set_configuration(self, version):
        pass

    def announce_version(self, peers):
        pass


class SetReaders:
    """`Readers` that tests set."""

    def __init__(self, reads=False, turn=0, first=None, others=()):
        self.reads = reads
        self.own_turn = turn
        self.first = first
        self.other_readers = list(others)

    def first_of_fleet(self):
        return self.first

    def others(self):
        return self.other_readers

    def turn(self):
        return self.own_turn

    def must_read(self):
        return self.reads

    def include_local(self):
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
    """A store whose answers are under way for some time."""

    def __init__(self, clock, answer):
        self.clock = clock
        self.answer = answer
        self.takes = 3.0

    async def load(self):
        self.clock.now += self.takes
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    changed = poll = load


class DatingTests(unittest.TestCase):
    """What is known is as old as the question was, wherever it came from."""

    def setUp(self):
        self.clock = Clock()
        self.state = make_state(self.clock)

    def read(self, answer, newest=0):
        store = SlowStore(self.clock, answer)
        watcher = VersionWatcher(None, self.state, store, SetReaders(), random)
        watcher.newest = newest
        asyncio.run(watcher.confirm())
        return watcher

    def test_an_answer_of_the_store_is_as_old_as_its_question(self):
        """Guards against a revocation while the answer was under way."""
        self.read(version(1))
        self.assertEqual(self.state.staleness(), 3.0)

    def test_no_change_confirms_what_is_held(self):
        self.read(None, newest=1)
        self.assertEqual(self.state.staleness(), 3.0)

    def test_a_version_that_can_t_be_read_confirms_nothing(self):
        """Guards against keys that an unreadable version has revoked."""
        watcher = self.read(PolicyError("unreadable"), newest=1)
        self.assertEqual(self.state.staleness(), float("inf"))
        watcher.watch.answer = None
        asyncio.run(watcher.read(watcher.watch.poll))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_a_store_that_fails_confirms_nothing(self):
        self.read(PlatformError("refused"))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_a_peer_s_answer_is_older_by_the_time_since_it_was_asked(self):
        """Guards against a proof that grows younger on its way."""
        asked_at = self.clock.now
        self.clock.now += 2.0
        self.state.peer_confirmed(1, 500, asked_at)
        self.assertEqual(self.state.staleness(), 2.5)

    def test_an_offer_that_nobody_asked_for_has_no_age(self):
        """Guards against an offer that lay unread while this was stopped."""
        self.state.receive_confirmation(Offer(1, 0.1))
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_a_newer_version_of_a_peer_confirms_nothing_here(self):
        """Guards against keys that the newer version has revoked."""
        self.state.peer_confirmed(2, 0, self.clock.now)
        self.assertEqual(self.state.staleness(), float("inf"))

    def test_an_older_version_of_a_peer_does(self):
        self.state.apply_full_version(version(3))
        self.state.peer_confirmed(2, 0, self.clock.now)
        self.assertEqual(self.state.staleness(), 0.0)

    def test_an_age_in_milliseconds_is_never_too_young(self):
        self.state.confirm(self.clock.now - 0.0101)
        self.assertEqual(self.state.own_confirmation(), (1, 11))

    def test_without_a_bound_nothing_is_passed_on(self):
        state = ConfigurationState(SilentMembers(), self.clock)
        state.confirm(self.clock.now)
        self.assertIsNone(state.own_confirmation())

    def test_a_restored_store_is_not_relied_on_at_once(self):
        """Guards against a revocation that the store's copy does not have."""
        self.state.confirm(self.clock.now)
        self.state.store_restored()
        self.state.confirm(self.clock.now + 0.5)
        self.assertEqual(self.state.staleness(), float("inf"))
        self.clock.now += 2.0
        self.state.confirm(self.clock.now)
        self.assertEqual(self.state.staleness(), 0.0)


class FleetStore:
    """A store that some daemons can't reach; counts the others' calls."""

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
    """One daemon's state and confirmer, in a fleet that answers calls."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.state = make_state(asyncio.get_running_loop().time)
        readers = SetReaders(
            name < DOMAINS * READERS,
            turn=name,
            first=0 if name else None,
            others=[name % DOMAINS],
        )
        self.confirmer = Confirmer(
            self.state, self, self, readers, {}, random.Random(name)
        )

    async def confirm(self):
        return await self.fleet.store.confirm(self)

    async def ask_confirmation(self, name, timeout):
        await self.fleet.ask(self, self.fleet.daemons[name])

    async def serve(self):
        """Serve keyed requests, and call others for them."""
        rng = random.Random(f"calls-{self.name}")
        while True:
            await asyncio.sleep(rng.expovariate(self.fleet.requests_a_second))
            peer = rng.choice(self.fleet.daemons)
            await self.fleet.ask(self, peer)
            fresh = await self.confirmer.ensure_fresh()
            self.fleet.note(self, fresh)


class Fleet:
    """Daemons that hear of each other by answers to calls."""

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

    async def run(self, trouble):
        tasks = [
            asyncio.ensure_future(work)
            for daemon in self.daemons
            for work in (daemon.confirmer.run(), daemon.serve())
        ]
        try:
            await trouble(self)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def play(trouble):
    """Return a fleet after some trouble in virtual time."""

    async def main():
        fleet = Fleet()
        await fleet.run(trouble)
        return fleet

    return run_in_virtual_time(main)


class FleetTests(unittest.TestCase):
    def test_a_calm_fleet_asks_the_store_seldom_and_stays_fresh(self):
        """Guards against a question to the store by each daemon."""

        async def calm(fleet):
            await asyncio.sleep(2.0)
            fleet.store.calls = 0
            fleet.stale.clear()
            await asyncio.sleep(40.0)

        fleet = play(calm)
        self.assertEqual(fleet.stale, [])
        self.assertLess(fleet.store.calls, 1.5 * 40.0 / (BOUND_S * 0.25))

    def test_a_fleet_without_requests_asks_no_more_often(self):
        """Guards against readers that ask each for want of calls."""

        async def idle(fleet):
            fleet.requests_a_second = 0.01
            await asyncio.sleep(2.0)
            fleet.store.calls = 0
            await asyncio.sleep(40.0)

        fleet = play(idle)
        self.assertLess(fleet.store.calls, 1.5 * 40.0 / (BOUND_S * 0.25))

    def test_a_store_that_is_away_is_not_asked_without_a_pause(self):
        """Guards against outdated confirmations that count as success."""

        async def away(fleet):
            await asyncio.sleep(2.0)
            fleet.store.unreachable = set(range(FLEET))
            fleet.store.calls = 0
            await asyncio.sleep(9.0)

        self.assertLess(play(away).store.calls, 9.0 * FLEET)

    def test_a_third_without_the_store_goes_on_by_its_peers(self):
        """Guards against daemons that refuse what peers know to be valid."""

        async def partly_away(fleet):
            await asyncio.sleep(2.0)
            fleet.stale.clear()
            fleet.store.unreachable = set(range(0, FLEET, 3))
            await asyncio.sleep(9.0)

        self.assertEqual(play(partly_away).stale, [])

    def test_daemons_cut_off_refuse_inside_the_bound_and_come_back(self):
        """Guards against a revoked key that runs where nobody can tell."""
        cut = set(range(0, FLEET, 4))

        async def cut_off(fleet):
            await asyncio.sleep(2.0)
            fleet.stale.clear()
            fleet.cut = fleet.store.unreachable = cut
            begun = asyncio.get_running_loop().time()
            await asyncio.sleep(BOUND_S)
            fleet.times = [moment - begun for moment, _ in fleet.stale]
            for daemon in (fleet.daemons[name] for name in cut):
                self.assertFalse(daemon.confirmer.is_fresh())
            fleet.cut, fleet.store.unreachable = set(), set()
            await asyncio.sleep(2.5)
            fleet.stale.clear()
            await asyncio.sleep(5.0)

        fleet = play(cut_off)
        self.assertEqual(fleet.stale, [])
        self.assertLessEqual({name for _, name in fleet.stale}, cut)
        self.assertGreater(min(fleet.times), 0.6 * BOUND_S)


if __name__ == "__main__":
    unittest.main()
