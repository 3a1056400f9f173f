import random
import unittest
from types import SimpleNamespace

from papayabay_core.importance import RANKS, Importance
from papayabay_daemon._internal.lifetime import (
    entry_deadline,
    per_hop_rank,
    rank_of,
)
from papayabay_daemon._internal.lifetime.ranks import Priority


class DeadlineTests(unittest.TestCase):
    def test_requested_time_only_shortens_the_deadline(self):
        rule = SimpleNamespace(deadline_ms=2_000)
        requested = (None, 500, 10**12, 0, -5)
        timeouts = [entry_deadline(rule, requested_ms) for requested_ms in requested]
        self.assertEqual(timeouts, [2.0, 0.5, 2.0, 0.0, 0.0])


class PriorityTests(unittest.TestCase):
    def test_promotion_never_worsens_a_critical_request(self):
        """Guards against critical requests that lose their good rank."""
        for importance, path_class, rank, expected in (
            (Importance.SHEDDABLE, Importance.SHEDDABLE, 9, 700),
            (Importance.CRITICAL, Importance.NORMAL, 9, 700),
            (Importance.CRITICAL, Importance.CRITICAL, 9, 9),
            (Importance.CRITICAL, Importance.CRITICAL, 9_000, 700),
        ):
            promoted = Priority(importance, path_class, rank).promoted(700)
            critical = Importance.CRITICAL
            self.assertEqual(promoted, Priority(critical, critical, expected))


class RankTests(unittest.TestCase):
    def test_ranks_are_stable_and_uniform(self):
        ranks = [rank_of(f"key{n}") for n in range(4_000)]
        self.assertEqual(ranks, [rank_of(f"key{n}") for n in range(4_000)])
        self.assertTrue(all(0 <= rank < RANKS for rank in ranks))
        self.assertAlmostEqual(sum(ranks) / 4_000 / RANKS, 0.5, delta=0.03)

    def test_per_hop_ranks_are_random(self):
        rng = random.Random(1)
        ranks = {per_hop_rank(rng) for _ in range(50)}
        self.assertGreater(len(ranks), 40)
        self.assertTrue(all(0 <= rank < RANKS for rank in ranks))
