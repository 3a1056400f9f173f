"""Tests that versions arrive in time when requests to the store go silent."""

import asyncio
import unittest

from tests.unit.daemon.configuration_fleet import play
from tests.unit.daemon.configuration_network import FEED_TIMEOUT_S

IN_FORCE_SECONDS = 2.5
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
    def test_version_of_one_reader_reaches_the_others_at_once(self):
        """A version that the store gave to one reader spread for a second.

        Each reader has it from the store on other days, and announced it to
        its own domain only if it came from there.
        """
        for seed in range(8):
            times = []

            async def scenario(fleet, times=times):
                fleet.sever_store()
                fleet.change()
                await time_until(fleet, any)
                times.append(await time_until(fleet, all))

            play(scenario, 30, 5, seed)
            bound = IN_FORCE_SECONDS - NOTICE_SECONDS
            self.assertLess(max(times), bound, f"seed {seed}")
