import unittest

from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_daemon._internal.calls.pause import PauseDetector


class PauseDetectorTests(unittest.TestCase):
    def setUp(self):
        self.at = 50.0
        self.detector = PauseDetector(lambda: self.at)

    def check_after(self, seconds):
        self.at += seconds
        self.detector.check()

    def refused_after(self, seconds):
        with self.assertRaises(CallError) as raised:
            self.check_after(seconds)
        self.assertIs(raised.exception.kind, ErrorKind.EXPIRED_UNSENT)
        self.assertIs(raised.exception.answer.effect, Effect.NOT_RUN)

    def test_requests_that_waited_through_a_pause(self):
        """A resumed entry ran requests whose callers had long left.

        Symptom: targets work for nobody after a VM was suspended. Sequence:
        requests come while the process is stopped, it resumes and reads
        them with a fresh life. Cause: they carry no time of their own.
        """
        self.refused_after(5.0)
        self.refused_after(0.05)
        self.check_after(0.06)

    def test_also_when_the_tick_comes_first(self):
        self.at += 5.0
        self.detector.tick()
        self.refused_after(0.01)

    def test_a_busy_moment_is_no_pause(self):
        self.check_after(0.9)
        self.check_after(0.9)
