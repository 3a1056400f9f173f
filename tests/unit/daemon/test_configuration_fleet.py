"""Tests that versions reach all daemons in time, in simulated fleets."""

import asyncio
import unittest

from tests.unit.daemon.configuration_fleet import (
    CONTACT_S,
    change_often,
    play,
    random_faults,
)
from tests.unit.daemon.configuration_network import BUSY, SILENT

SEEDS = range(12)


class TimelinessTests(unittest.TestCase):
    def assert_in_time(self, fleet):
        shape = f"{len(fleet.names)} daemons, seed {fleet.seed}"
        self.assertEqual(fleet.late[:3], [], f"{len(fleet.late)} late; {shape}")
        for daemon in fleet.daemons.values():
            self.assertEqual(daemon.versions, sorted(set(daemon.versions)))

    def test_versions_arrive_in_time_without_disruption(self):
        self.assert_in_time(play(lambda fleet: change_often(fleet, 20.0)))

    def test_daemons_catch_up_soon_after_a_one_way_partition(self):
        """Daemons stayed behind for seconds after a one-way partition.

        They received offers all the time, so that the backoff of their failed
        requests grew, and it went on after the partition.
        """

        async def scenario(fleet):
            cut = fleet.cut(fleet.names[::3], 11.0, one_way=True)
            await asyncio.gather(cut, change_often(fleet, 20.0))

        for seed in range(5):
            self.assert_in_time(play(scenario, seed=seed))

    def test_daemon_whose_packets_are_lost_reads_the_store_itself(self):
        """A daemon that only received packets relied on unreachable readers.

        It counted as in contact with the others, although none of its
        requests reached them.
        """

        async def scenario(fleet):
            name = next(n for n in fleet.names if n not in fleet.readers())
            cut = fleet.cut([name], 20.0, one_way=True, store=False)
            sending = asyncio.ensure_future(cut)
            await asyncio.sleep(5.0)
            fleet.change()
            await asyncio.sleep(3.0)
            self.assertEqual(fleet.daemons[name].version, fleet.version)
            await sending

        play(scenario)

    def test_others_read_when_the_store_turns_all_readers_away(self):
        """No daemon got a version while the store refused only the readers.

        Readers were selected among the members that are alive, whether or not
        the store answered them.
        """

        async def scenario(fleet):
            away = fleet.turn_away(fleet.readers(), 30.0, BUSY)
            await asyncio.gather(away, change_often(fleet, 24.0))

        for size, domains in ((4, 2), (15, 3), (16, 4), (62, 4)):
            self.assert_in_time(play(scenario, size, domains))

    def test_others_read_when_the_store_does_not_answer_any_reader(self):
        """Readers noticed only after 11 s that the store had gone silent.

        They all waited for changes since the same moment, so that no answer
        was due earlier.
        """

        async def scenario(fleet):
            fleet.change()
            await asyncio.sleep(1.0)
            away = fleet.turn_away(fleet.readers(), 30.0, SILENT)
            await asyncio.gather(away, change_often(fleet, 24.0))

        for size, domains in ((4, 2), (15, 3), (16, 4)):
            self.assert_in_time(play(scenario, size, domains))

    def test_one_daemon_that_the_store_answers_is_found_in_time(self):
        """Pairs of substitutes failed one after another, a second each."""

        async def scenario(fleet):
            fleet.change()
            await asyncio.sleep(1.0)
            away = fleet.turn_away(fleet.names[:-1], 30.0, SILENT)
            await asyncio.gather(away, change_often(fleet, 24.0, 3.0))

        self.assert_in_time(play(scenario, 62))

    def test_daemon_that_restarts_without_the_store_is_told_of_members(self):
        """A daemon that restarted without the store knew nobody for seconds.

        Others pinged it, but told it nothing of themselves, so that it could
        not request the version that they offered. Seed 63 of the random
        faults, with 30 daemons, showed it.
        """

        async def scenario(fleet):
            name = fleet.names[3]
            away = asyncio.ensure_future(fleet.turn_away([name], 20.0, SILENT))
            await asyncio.sleep(1.0)
            await fleet.restart(name)
            await asyncio.sleep(CONTACT_S)
            self.assertEqual(fleet.daemons[name].version, fleet.version)
            await away

        for seed in range(5):
            play(scenario, seed=seed)
        self.assert_in_time(play(random_faults, 30, seed=63))

    def test_versions_arrive_in_time_under_random_faults(self):
        """Versions came late when several disruptions overlapped."""
        for seed in SEEDS:
            size, domains = ((2, 1), (6, 3), (16, 4))[seed % 3]
            self.assert_in_time(play(random_faults, size, domains, seed))
