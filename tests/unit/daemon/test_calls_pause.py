"""Tests of the refusal of requests that waited during a pause."""

import unittest

from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_daemon._internal.calls.pause import PauseDetector


class PauseDetectorTests(unittest.TestCase):
    def setUp(self):
        self.time = 50.0
        self.detector = PauseDetector(lambda: self.time)

    def check_after(self, seconds):
        self.time += seconds
        self.detector.check()

    def assert_refused_after(self, seconds):
        with self.assertRaises(CallError) as raised:
            self.check_after(seconds)
        self.assertIs(raised.exception.kind, ErrorKind.EXPIRED_UNSENT)
        self.assertIs(raised.exception.answer.effect, Effect.NOT_RUN)

    def test_requests_that_waited_during_a_pause_are_refused(self):
        """Guards against running requests whose callers have left long ago.

        Requests arrive while the process is stopped. They carry no timestamp,
        so when the process resumes and reads them they get a new lifetime.
        """
        self.assert_refused_after(5.0)
        self.assert_refused_after(0.05)
        self.check_after(0.06)

    def test_pause_is_detected_if_the_tick_runs_first(self):
        self.time += 5.0
        self.detector.tick()
        self.assert_refused_after(0.01)

    def test_busy_event_loop_is_not_a_pause(self):
        self.check_after(0.9)
        self.check_after(0.9)
