"""Tests that versions arrive in time when requests to the store go silent."""

import asyncio
import unittest

from tests.unit.daemon.configuration_fleet import play
from tests.unit.daemon.configuration_network import FEED_TIMEOUT_S

IN_FORCE_SECONDS = 2.5
SHAPES = (2, 2), (2, 1), (4, 2), (6, 3), (16, 4)
"""Daemons and failure domains."""
WAITS = (6.0, 3.4, 9.3, 12.1, 4.7, 7.5, 5.2, 10.8)
"""Seconds before each change, so that the changes hit the waits anywhere."""
NOTICE_SECONDS = 10.0 / 6 + FEED_TIMEOUT_S
"""Longest time from a change until a reader notices that its request is lost:
the next wait ends within 1.67 s, and the request fails after its timeout."""


async def time_until(fleet, condition):
    """Return the seconds until any or all daemons have the newest version."""
    started = fleet.clock()
    while not condition(one.version == fleet.version for one in fleet.daemons.values()):
        await asyncio.sleep(0.01)
    return fleet.clock() - started


class SpreadTests(unittest.TestCase):
    def assert_spread_in_time(self, sever, size, domains):
        """Check how long a version takes from one reader to all daemons.

        Parameters
        ----------
        sever : callable
            Called with the fleet before the version is written.
        """
        for seed in range(8):
            times = []

            async def scenario(fleet, times=times):
                sever(fleet)
                fleet.sever_store()
                fleet.change()
                await time_until(fleet, any)
                times.append(await time_until(fleet, all))

            play(scenario, size, domains, seed)
            bound = IN_FORCE_SECONDS - NOTICE_SECONDS
            self.assertLess(max(times), bound, f"{size} daemons, seed {seed}")

    def test_version_of_one_reader_reaches_the_others_at_once(self):
        """A version that the store gave to one reader spread for a second.

        Each reader has it from the store on other days, and announced it to
        its own domain only if it came from there.
        """
        self.assert_spread_in_time(lambda fleet: None, 30, 5)

    def test_version_passes_daemons_with_silent_links_in_time(self):
        """A push and a pull took a second each when their link was silent."""
        for size, domains in SHAPES:
            self.assert_spread_in_time(lambda fleet: fleet.sever_links(), size, domains)


class SilentStoreTests(unittest.TestCase):
    def play_all_shapes(self, prepare):
        """Measure changes at which all open requests to the store go silent.

        Parameters
        ----------
        prepare : callable
            Coroutine function that is awaited before each of them.
        """
        for size, domains in SHAPES:
            times = []

            async def scenario(fleet, times=times):
                for wait in WAITS:
                    await asyncio.sleep(wait)
                    await prepare(fleet)
                    fleet.sever_store()
                    fleet.change()
                    times.append(round(await time_until(fleet, all), 2))

            play(scenario, size, domains)
            self.assertLess(max(times), IN_FORCE_SECONDS, f"{size}: {times}")

    def test_version_arrives_in_time_after_each_silence(self):
        """Readers waited in step after one had got a version from the other.

        It counted its next wait from the failure of its request, a second
        after the version, and the other reader from the version.
        """

        async def prepare(fleet):
            pass

        self.play_all_shapes(prepare)

    def test_version_arrives_in_time_after_a_silence_without_a_change(self):
        """Readers waited in step after each had lost a request.

        The first waits after a failure differ by as much as the failures did.
        """

        async def prepare(fleet):
            fleet.sever_store()
            await asyncio.sleep(25.0)

        self.play_all_shapes(prepare)
