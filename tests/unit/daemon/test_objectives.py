"""Tests of counting requests against objectives over time windows."""

import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_core.calls import Answer
from papayabay_core.errors import Effect, ErrorKind
from papayabay_daemon._internal.metrics import objectives
from papayabay_daemon._internal.metrics.objectives import (
    HOUR_SECONDS,
    HOURS_KEPT,
    MINUTE_SECONDS,
    MINUTES_KEPT,
    ObjectiveCounters,
)

OBJECTIVE = SimpleNamespace(latency_ms=100)
RULE = SimpleNamespace(objective=OBJECTIVE, path_key="shop/order")
LONGEST_SECONDS = HOUR_SECONDS * HOURS_KEPT
WINDOWS = {"short": 5 * MINUTE_SECONDS, "long": LONGEST_SECONDS}


def refusal(kind, effect=Effect.NOT_RUN):
    """Return an answer of papayabay's own, of the given kind."""
    return Answer(503, kind=kind, effect=effect)


class ObjectiveTests(unittest.TestCase):
    def setUp(self):
        self.time = 1_000 * HOUR_SECONDS
        patch = mock.patch.object(objectives, "now", lambda: self.time)
        patch.start()
        self.addCleanup(patch.stop)
        self.counters = ObjectiveCounters()

    def record(self, answer, elapsed=0.05, rule=RULE):
        self.counters.record(rule, answer, elapsed)

    def total(self, window):
        return self.counters.totals(WINDOWS)["shop/order"][window]

    def test_answers_are_classified_by_outcome(self):
        cases = [
            (Answer(200), 0.05, "good"),
            (Answer(404), 0.05, "good"),
            (Answer(200), 0.2, "slow"),
            (Answer(500), 0.05, "failed"),
            (refusal(ErrorKind.OVERLOADED), 0.05, "refused"),
            (refusal(ErrorKind.RETRIES_SPENT, Effect.UNKNOWN), 0.05, "failed"),
            (refusal(ErrorKind.TARGET_LOST, Effect.UNKNOWN), 0.05, "failed"),
        ]
        for answer, elapsed, name in cases:
            with self.subTest(kind=answer.kind, status=answer.status):
                before = self.total("short")[name] if self.counters.paths else 0
                self.record(answer, elapsed)
                self.assertEqual(self.total("short")[name], before + 1)
        self.assertEqual(sum(self.total("long").values()), len(cases))

    def test_callers_faults_and_paths_without_objective_are_left_out(self):
        self.record(refusal(ErrorKind.KEY_CONFLICT))
        self.record(Answer(200), rule=SimpleNamespace(objective=None, path_key="x"))
        self.assertEqual(self.counters.paths, {})

    def test_requests_drop_out_of_windows_over_time(self):
        self.record(Answer(200))
        self.time += 4 * MINUTE_SECONDS
        self.record(Answer(500))
        self.assertEqual(self.total("short")["good"], 1)
        self.time += MINUTE_SECONDS
        self.assertEqual(self.total("short")["good"], 0)
        self.assertEqual(self.total("short")["failed"], 1)
        self.assertEqual(self.total("long")["good"], 1)
        self.time += LONGEST_SECONDS
        self.assertEqual(sum(self.total("long").values()), 0)

    def test_reused_slots_are_cleared(self):
        """A quiet path must not show failures of six hours ago.

        That happens if nothing is counted for exactly the length of the ring
        buffer and a slot is reused without being cleared.
        """
        self.record(Answer(500))
        self.time += MINUTE_SECONDS * MINUTES_KEPT
        self.record(Answer(200))
        counts = self.total("short")
        self.assertEqual((counts["good"], counts["failed"]), (1, 0))

    def test_clock_that_steps_back_clears_no_counts(self):
        self.record(Answer(200))
        self.time -= 2 * MINUTE_SECONDS
        self.record(Answer(200))
        self.assertEqual(self.total("short")["good"], 2)

    def test_paths_are_bounded(self):
        with mock.patch.object(objectives, "MAX_PATHS", 1):
            self.record(Answer(200))
            other = SimpleNamespace(objective=OBJECTIVE, path_key="shop/other")
            self.record(Answer(200), rule=other)
        self.assertEqual(set(self.counters.paths), {"shop/order"})
        self.assertEqual(self.counters.left_out, 1)
