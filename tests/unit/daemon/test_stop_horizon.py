"""Which calls are begun while a daemon stops."""

import unittest
from random import Random

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.lifetime.stop_horizon import (
    BOUND_RATIO,
    BOUNDS_S,
    LATE_SHARE_ONCE,
    WINDOW_SECONDS,
    StopHorizon,
)
from tests.unit.daemon.door_fakes import FakeClock

DRAIN_S = 5.0
CALLS = 1_000


class StopHorizonTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.horizon = StopHorizon(self.clock)
        chance = Random(3)
        self.durations = [chance.uniform(0.1, 3.0) for _ in range(CALLS)]
        for elapsed in self.durations:
            self.horizon.durations.record("svc/slow", elapsed)
            self.horizon.durations.record("svc/fast", 0.2)

    def is_begun(self, path_key, idempotent=False, lifetime=9.0):
        try:
            self.horizon.check(path_key, idempotent, lifetime)
        except CallError as error:
            self.assertIs(error.kind, ErrorKind.LEAVING)
            return False
        return True

    def last_begun_s(self, path_key, idempotent=False):
        """Return how long after the start of a stop a call is begun."""
        self.horizon.begin(DRAIN_S)
        started = self.clock.time
        while self.is_begun(path_key, idempotent):
            self.clock.time += 0.01
        return self.clock.time - started

    def test_without_a_stop_every_call_is_begun(self):
        self.assertTrue(self.is_begun("svc/slow"))

    def test_call_that_would_be_cut_off_is_not_begun(self):
        """Guards against orders that run and are cut off at the stop."""
        left = DRAIN_S - self.last_begun_s("svc/slow")
        longer = sum(elapsed > left for elapsed in self.durations)
        self.assertLessEqual(longer / CALLS, LATE_SHARE_ONCE)

    def test_call_that_ends_in_time_is_begun(self):
        """Guards against callers refused who would have been served."""
        left = DRAIN_S - self.last_begun_s("svc/slow")
        self.assertLess(left, 3.0 * BOUND_RATIO + 0.02)
        self.setUp()
        left = DRAIN_S - self.last_begun_s("svc/fast")
        self.assertLess(left, 0.2 * BOUND_RATIO + 0.02)

    def test_call_that_may_be_repeated_is_begun_longer(self):
        for _ in range(CALLS // 10):
            self.horizon.durations.record("svc/fast", 3.0)
        once = self.last_begun_s("svc/fast")
        self.clock.time = 0.0
        repeatable = self.last_begun_s("svc/fast", idempotent=True)
        self.assertGreater(repeatable, once)

    def test_call_whose_deadline_comes_first_is_begun(self):
        self.horizon.begin(1.0)
        self.assertFalse(self.is_begun("svc/slow", lifetime=1.1))
        self.assertTrue(self.is_begun("svc/slow", lifetime=0.9))

    def test_path_without_recent_calls_is_begun(self):
        """Guards against refusals by durations of an overload long ago."""
        self.clock.time += 2 * WINDOW_SECONDS
        self.horizon.begin(0.1)
        self.assertTrue(self.is_begun("svc/slow"))
        self.assertTrue(self.is_begun("svc/unknown"))

    def test_durations_beyond_all_bounds_are_counted(self):
        self.horizon.durations.record("svc/endless", 10 * BOUNDS_S[-1])
        self.horizon.begin(DRAIN_S)
        self.assertFalse(self.is_begun("svc/endless"))


if __name__ == "__main__":
    unittest.main()
