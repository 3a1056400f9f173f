import random
import unittest
from types import SimpleNamespace

from papayabay_core.importance import RANKS, Importance
from papayabay_daemon._internal.lifetime import (
    entry_deadline,
    per_hop_rank,
    rank_of,
)
from papayabay_daemon._internal.lifetime.ranks import effective_priority


class DeadlineTests(unittest.TestCase):
    def test_requested_time_only_shortens_the_deadline(self):
        rule = SimpleNamespace(deadline_ms=2_000)
        requested = (None, 500, 10**12, 0, -5)
        timeouts = [entry_deadline(rule, requested_ms) for requested_ms in requested]
        self.assertEqual(timeouts, [2.0, 0.5, 2.0, 0.0, 0.0])


class EffectivePriorityTests(unittest.TestCase):
    def test_a_share_of_every_class_is_treated_as_critical(self):
        """Guards against promoted requests that all get the best ranks."""
        kept = [
            effective_priority(Importance.SHEDDABLE, rank, 0.125)
            for rank in range(RANKS)
        ]
        critical = [rank for level, rank in kept if level is Importance.CRITICAL]
        self.assertEqual(len(critical), RANKS // 8)
        self.assertEqual((min(critical), max(critical)), (0, RANKS - 8))

    def test_other_requests_keep_class_and_rank(self):
        for importance in Importance:
            for rank in (0, 1, RANKS - 1):
                priority = effective_priority(importance, rank, 0.0)
                self.assertEqual(priority, (importance, rank))
        critical = effective_priority(Importance.CRITICAL, 5, 0.5)
        self.assertEqual(critical, (Importance.CRITICAL, 5))


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
