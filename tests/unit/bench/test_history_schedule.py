import unittest

from papayabay_bench.history.schedule import (
    SUBJECTS,
    UnknownFault,
    draw_schedule,
    validate_kinds,
)

SEEDS = range(40)


class ScheduleTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.drawn = [draw_schedule(seed) for seed in SEEDS]

    def test_a_seed_gives_the_same_schedule_again(self):
        self.assertEqual([draw_schedule(seed) for seed in SEEDS[:5]], self.drawn[:5])

    def test_seeds_differ_and_two_faults_come_at_once(self):
        self.assertGreater(len(set(self.drawn)), len(SEEDS) * 3 // 4)
        pairs = [s.faults for s in self.drawn if len(s.faults) > 1]
        self.assertTrue(
            any(
                two[1].start_seconds < two[0].start_seconds + two[0].duration_seconds
                for two in pairs
            )
        )

    def test_faults_of_one_subject_never_overlap(self):
        for schedule in self.drawn:
            subjects = [fault.subject for fault in schedule.faults]
            self.assertEqual(len(subjects), len(set(subjects)))

    def test_only_listed_kinds_are_drawn(self):
        for seed in SEEDS:
            kinds = {fault.kind for fault in draw_schedule(seed, ("kill",)).faults}
            self.assertEqual(kinds, {"kill"})

    def test_unknown_kinds_are_refused_by_name(self):
        self.assertEqual(validate_kinds([]), tuple(SUBJECTS))
        with self.assertRaisesRegex(UnknownFault, "flood; known faults: store-down"):
            validate_kinds(["kill", "flood"])


if __name__ == "__main__":
    unittest.main()
