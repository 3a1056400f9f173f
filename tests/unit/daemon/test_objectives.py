"""Requests counted against objectives, over windows of time."""

import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_core.calls import Answer
from papayabay_core.errors import Effect, ErrorKind
from papayabay_daemon._internal.metrics import objectives
from papayabay_daemon._internal.metrics.objectives import (
    HOUR,
    HOURS_KEPT,
    MINUTE,
    MINUTES_KEPT,
    ObjectiveCounters,
)

OBJECTIVE = SimpleNamespace(latency_ms=100)
RULE = SimpleNamespace(objective=OBJECTIVE, path_key="shop/order")
LONGEST = HOUR * HOURS_KEPT
WINDOWS = {"short": 5 * MINUTE, "long": LONGEST}


def refusal(kind, effect=Effect.NOT_RUN):
    """Return papayabay's own answer of a kind."""
    return Answer(503, kind=kind, effect=effect)


class ObjectiveTests(unittest.TestCase):
    def setUp(self):
        self.time = 1_000 * HOUR
        patch = mock.patch.object(objectives, "now", lambda: self.time)
        patch.start()
        self.addCleanup(patch.stop)
        self.counters = ObjectiveCounters()

    def note(self, answer, elapsed=0.05, rule=RULE):
        self.counters.record(rule, answer, elapsed)

    def total(self, window):
        return self.counters.totals(WINDOWS)["shop/order"][window]

    def test_each_end_counts_as_what_it_is(self):
        ends = [
            (Answer(200), 0.05, "good"),
            (Answer(404), 0.05, "good"),
            (Answer(200), 0.2, "slow"),
            (Answer(500), 0.05, "failed"),
            (refusal(ErrorKind.OVERLOADED), 0.05, "refused"),
            (refusal(ErrorKind.RETRIES_SPENT, Effect.UNKNOWN), 0.05, "failed"),
            (refusal(ErrorKind.TARGET_LOST, Effect.UNKNOWN), 0.05, "failed"),
        ]
        for answer, elapsed, name in ends:
            with self.subTest(kind=answer.kind, status=answer.status):
                before = self.total("short")[name] if self.counters.paths else 0
                self.note(answer, elapsed)
                self.assertEqual(self.total("short")[name], before + 1)
        self.assertEqual(sum(self.total("long").values()), len(ends))

    def test_callers_faults_and_paths_without_objective_are_left_out(self):
        self.note(refusal(ErrorKind.KEY_CONFLICT))
        self.note(Answer(200), rule=SimpleNamespace(objective=None, path_key="x"))
        self.assertEqual(self.counters.paths, {})

    def test_requests_leave_a_window_as_time_passes(self):
        self.note(Answer(200))
        self.time += 4 * MINUTE
        self.note(Answer(500))
        self.assertEqual(self.total("short")["good"], 1)
        self.time += MINUTE
        self.assertEqual(self.total("short")["good"], 0)
        self.assertEqual(self.total("short")["failed"], 1)
        self.assertEqual(self.total("long")["good"], 1)
        self.time += LONGEST
        self.assertEqual(sum(self.total("long").values()), 0)

    def test_slots_that_come_round_are_empty(self):
        """Symptom: a quiet path shows failures of six hours ago.

        Nothing is counted for exactly as long as the ring is. Cause: the
        slot is used again without being emptied.
        """
        self.note(Answer(500))
        self.time += MINUTE * MINUTES_KEPT
        self.note(Answer(200))
        counts = self.total("short")
        self.assertEqual((counts["good"], counts["failed"]), (1, 0))

    def test_clock_that_steps_back_loses_nothing(self):
        self.note(Answer(200))
        self.time -= 2 * MINUTE
        self.note(Answer(200))
        self.assertEqual(self.total("short")["good"], 2)

    def test_paths_are_bounded(self):
        with mock.patch.object(objectives, "MOST_PATHS", 1):
            self.note(Answer(200))
            other = SimpleNamespace(objective=OBJECTIVE, path_key="shop/other")
            self.note(Answer(200), rule=other)
        self.assertEqual(set(self.counters.paths), {"shop/order"})
        self.assertEqual(self.counters.left_out, 1)
