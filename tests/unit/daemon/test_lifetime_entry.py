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
    def test_wish_only_shortens(self):
        rule = SimpleNamespace(deadline_ms=2_000)
        wishes = (None, 500, 10**12, 0, -5)
        lives = [entry_deadline(rule, wish) for wish in wishes]
        self.assertEqual(lives, [2.0, 0.5, 2.0, 0.0, 0.0])


class StandingTests(unittest.TestCase):
    def test_a_part_of_every_class_stands_with_the_critical_ones(self):
        """Look-ups were refused whole for as long as an overload lasted.

        Orders alone could fill what was left of a service; each look-up was
        of a lower class than all of them, and 5 in 100 were served.
        """
        kept = [
            effective_priority(Importance.SHEDDABLE, rank, 0.125)
            for rank in range(RANKS)
        ]
        critical = [rank for level, rank in kept if level is Importance.CRITICAL]
        self.assertEqual(len(critical), RANKS // 8)
        self.assertEqual((min(critical), max(critical)), (0, RANKS - 8))

    def test_nothing_else_changes(self):
        for importance in Importance:
            for rank in (0, 1, RANKS - 1):
                stands = effective_priority(importance, rank, 0.0)
                self.assertEqual(stands, (importance, rank))
        critical = effective_priority(Importance.CRITICAL, 5, 0.5)
        self.assertEqual(critical, (Importance.CRITICAL, 5))


class RankTests(unittest.TestCase):
    def test_stable_and_even(self):
        ranks = [rank_of(f"key{n}") for n in range(4_000)]
        self.assertEqual(ranks, [rank_of(f"key{n}") for n in range(4_000)])
        self.assertTrue(all(0 <= rank < RANKS for rank in ranks))
        self.assertAlmostEqual(sum(ranks) / 4_000 / RANKS, 0.5, delta=0.03)

    def test_per_hop_rank_varies(self):
        rng = random.Random(1)
        ranks = {per_hop_rank(rng) for _ in range(50)}
        self.assertGreater(len(ranks), 40)
        self.assertTrue(all(0 <= rank < RANKS for rank in ranks))
