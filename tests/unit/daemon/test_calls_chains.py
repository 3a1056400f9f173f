"""Tests of the model of downstream calls, learned from runs of paths."""

import unittest
from unittest import mock

from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.calls import chains, run_counts
from papayabay_daemon._internal.calls.chains import ChainModel
from papayabay_daemon._internal.calls.run_counts import RunCounts

PATH = "shop/order"
STOCK = "stock/take"
PRICES = "prices/look up"


class FakeRouter:
    """Returns fixed levels by path key and records the requests."""

    def __init__(self, levels):
        self.levels = levels
        self.requested_levels = set()

    def path_level(self, service, path_key):
        self.requested_levels.add((service, path_key))
        return self.levels[path_key]


class ChainTests(unittest.TestCase):
    def setUp(self):
        self.router = FakeRouter({STOCK: 500, PRICES: 70})
        self.counts = RunCounts()
        self.model = ChainModel(self.router, self.counts)

    def run_path(self, times, *called, path_key=PATH):
        for _ in range(times):
            self.counts.record(path_key, dict.fromkeys(called, 1), True)

    def level(self):
        return self.model.level_below(PATH)

    def test_path_with_few_runs_has_no_level(self):
        self.assertEqual(self.level(), ADMIT_ALL)
        self.run_path(chains.MIN_RUNS - 1, STOCK)
        self.assertEqual(self.level(), ADMIT_ALL)
        self.run_path(1, STOCK)
        self.assertEqual(self.level(), 500)

    def test_calls_of_the_first_runs_count_before_any_has_ended(self):
        """Guards against seconds of overload below a fleet that has started.

        A run takes up to a second. Until 8 of them had ended, no path took
        over the level of the services below, and whole trees were begun that
        were refused there.
        """
        self.counts.call_started(PATH, STOCK)
        self.assertEqual(self.level(), 500)
        self.assertEqual(self.model.closed_paths(), {PATH: 500})

    def test_usual_calls_of_a_peer_count_before_any_run_has_ended(self):
        """Guards against a restarted daemon that admits what is refused."""
        self.counts.adopt(PATH, 8, {STOCK: 4, PRICES: 3})
        self.assertEqual(self.level(), 500)

    def test_rare_call_of_the_first_runs_does_not_count_for_long(self):
        self.counts.call_started(PATH, PRICES)
        self.run_path(chains.MIN_RUNS - 1, STOCK)
        self.assertEqual(self.level(), 70)
        self.run_path(1, STOCK)
        self.assertEqual(self.level(), 500)
        self.counts.call_started(PATH, PRICES)
        self.assertEqual(self.level(), 500)

    def test_lowest_level_of_the_usual_children_counts(self):
        self.run_path(10, STOCK, PRICES)
        self.assertEqual(self.level(), 70)
        self.assertEqual(
            self.router.requested_levels, {("stock", STOCK), ("prices", PRICES)}
        )

    def test_rare_child_does_not_count(self):
        """Guards against refusing a path whose usual services are idle.

        One run in four calls a busy service. If children counted whatever
        their share, the path would take over that service's level.
        """
        self.run_path(30, STOCK)
        self.run_path(10, STOCK, PRICES)
        self.assertEqual(self.level(), 500)

    def test_children_no_longer_called_are_evicted(self):
        self.run_path(run_counts.DECAY_RUNS - 1, PRICES)
        self.assertEqual(self.level(), 70)
        self.run_path(run_counts.DECAY_RUNS * 8, STOCK)
        self.assertEqual(self.level(), 500)
        self.assertNotIn(PRICES, self.counts.paths[PATH].callers)

    def test_paths_without_calls_leave_room_for_others(self):
        """Guards against a path whose work is unknown for ever.

        A service has as many paths without outgoing calls as the table takes,
        and they are called first.
        """
        for number in range(run_counts.MAX_PATHS):
            self.run_path(1, path_key=f"shop/{number}")
        self.run_path(chains.MIN_RUNS, STOCK)
        self.assertEqual(self.level(), 500)
        self.assertEqual(self.counts.paths[PATH].calls, {STOCK: chains.MIN_RUNS})
        self.assertEqual(len(self.counts.paths), run_counts.MAX_PATHS)

    def test_memory_is_bounded(self):
        for number in range(run_counts.DECAY_RUNS):
            self.counts.record(PATH, {f"service/{number}": 1}, True)
        self.assertEqual(self.counts.paths[PATH].callers, {})
        self.assertEqual(self.counts.paths[PATH].runs, run_counts.DECAY_RUNS // 2)
        with mock.patch.object(run_counts, "MAX_PATHS", 2):
            for path_key in ("shop/second", "shop/third"):
                self.run_path(1, STOCK, path_key=path_key)
            self.run_path(1, STOCK)
        self.assertEqual(set(self.counts.paths), {PATH, "shop/second"})
        self.assertEqual(self.counts.paths[PATH].callers, {STOCK: 1})
