"""The level up to which the retry budget carries call trees."""

import unittest
from types import SimpleNamespace

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.admission.rejections import MIN_CALLS, Rejections
from papayabay_daemon._internal.admission.repeat_level import RepeatLevel
from tests.unit.daemon.repeat_fleet import RepeatFleet


def disrupted_fleet(enabled, seconds=8.0):
    """Return a fleet whose targets refuse 55 in 100 calls for some seconds."""
    fleet = RepeatFleet(enabled)
    fleet.run(20.0)
    fleet.counts.clear()
    fleet.rejected_share = 0.55
    fleet.run(seconds)
    return fleet


class RepeatLevelTests(unittest.TestCase):
    def test_trees_above_the_level_are_refused_before_they_run(self):
        """Failure: the budget is spread over all trees, and most fail."""
        without, limited = disrupted_fleet(False).counts, disrupted_fleet(True).counts
        self.assertEqual(without["tree refused"], 0)
        self.assertLess(limited["lost calls"], 0.3 * without["lost calls"])
        self.assertGreater(limited["tree completed"], without["tree completed"])
        self.assertEqual(limited["single refused"], 0)

    def test_level_opens_within_a_second_of_the_end(self):
        """Failure: trees are refused although the targets have recovered."""
        fleet = disrupted_fleet(True)
        self.assertTrue(all(level.level < ADMIT_ALL for level in fleet.levels))
        fleet.rejected_share = 0.0
        fleet.run(1.0)
        self.assertEqual([level.level for level in fleet.levels], [ADMIT_ALL] * 4)

    def test_budget_that_carries_all_calls_limits_none(self):
        """Failure: calls are refused below saturation, at a few refusals."""
        fleet = RepeatFleet(True)
        fleet.run(20.0)
        fleet.rejected_share = 0.08
        fleet.run(20.0)
        self.assertEqual(fleet.counts["tree refused"], 0)

    def test_share_is_unknown_before_enough_calls(self):
        """Failure: a daemon that has just started refuses by chance."""
        rejections = Rejections()
        for expected in (0.0, 1.0):
            for _ in range(MIN_CALLS - 1 if not expected else 1):
                rejections.record(True)
            rejections.end_period()
            self.assertEqual(rejections.share(), expected)

    def test_unknown_budget_sets_no_level(self):
        """Failure: a policy without a window counts as a budget of 0."""
        fleet = disrupted_fleet(True)
        level = fleet.levels[0]
        level.budget = lambda importance: None
        fleet.run(0.2)
        self.assertIsNone(level.position)
        self.assertEqual(level.closed({"a": 5}, fleet.at), {"a": 5})

    def test_paths_that_are_no_longer_called_are_evicted(self):
        """Failure: paths of former calls keep new ones out of the table."""
        level = RepeatLevel()
        at = 1_000.0
        for number in range(MAX_PATH_LEVELS):
            for _ in range(1_000):
                call = SimpleNamespace(level=0, depth=1, path_key=f"old/{number}")
                level.record_arrival(call, at)
        for _ in range(300):
            at += 0.1
            call = SimpleNamespace(level=0, depth=1, path_key="new/path")
            level.record_arrival(call, at)
        self.assertEqual(list(level.paths), ["new/path"])
        level.record_end(False, at + 60.0)
        self.assertEqual(level.paths, {})

    def test_level_follows_the_depth_of_the_latest_calls(self):
        """Failure: calls of long ago decide whether a path gets a level."""
        level = RepeatLevel()
        at = 1_000.0
        for depth, published in ((1, True), (0, False), (1, True)):
            for _ in range(1_000):
                at += 0.01
                call = SimpleNamespace(level=0, depth=depth, path_key="path")
                level.record_arrival(call, at)
            level.set_position(1.0, at)
            self.assertEqual("path" in level.path_levels, published)


if __name__ == "__main__":
    unittest.main()
