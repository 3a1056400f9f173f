"""Tests of the schedules that are drawn from seeds."""

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
        cls.schedules = [draw_schedule(seed) for seed in SEEDS]

    def test_schedule_of_a_seed_is_reproducible(self):
        self.assertEqual(
            [draw_schedule(seed) for seed in SEEDS[:5]], self.schedules[:5]
        )

    def test_schedules_differ_and_faults_can_overlap(self):
        self.assertGreater(len(set(self.schedules)), len(SEEDS) * 3 // 4)
        multiple = [s.faults for s in self.schedules if len(s.faults) > 1]
        self.assertTrue(
            any(
                two[1].start_seconds < two[0].start_seconds + two[0].duration_seconds
                for two in multiple
            )
        )

    def test_each_subject_has_at_most_one_fault(self):
        for schedule in self.schedules:
            subjects = [fault.subject for fault in schedule.faults]
            self.assertEqual(len(subjects), len(set(subjects)))

    def test_only_requested_kinds_are_drawn(self):
        for seed in SEEDS:
            kinds = {fault.kind for fault in draw_schedule(seed, ("kill",)).faults}
            self.assertEqual(kinds, {"kill"})

    def test_error_names_the_unknown_kind(self):
        self.assertEqual(validate_kinds([]), tuple(SUBJECTS))
        with self.assertRaisesRegex(UnknownFault, "flood; known faults: store-down"):
            validate_kinds(["kill", "flood"])


if __name__ == "__main__":
    unittest.main()
