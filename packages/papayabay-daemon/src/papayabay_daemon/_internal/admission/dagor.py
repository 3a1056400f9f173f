"""DAGOR admission: a threshold that follows the queueing time."""

from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.admission.fifo import FifoScheme
from papayabay_daemon._internal.admission.queues import (
    BUCKET_SHIFT,
    BUCKETS,
    bucket_of,
)

WINDOW_S = 1.0
WINDOW_CALLS = 2_000
DECREASE = 0.05
INCREASE = 0.01


class Dagor(FifoScheme):
    """Admits levels up to a threshold into a first-in, first-out queue.

    Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC
    '18. A window ends after a second or 2,000 calls, whichever comes first.
    If its mean queueing time is above the target, 5 % fewer calls are to be
    admitted in the next window, else 1 % more. The histogram of arrivals by
    level gives the threshold that admits about this number.
    """

    def __init__(self, control):
        super().__init__(control)
        self.threshold = BUCKETS - 1
        self.arrivals = [0] * BUCKETS
        self.window_end = 0.0
        self.calls = self.admitted = self.granted_calls = 0
        self.total_wait_s = 0.0

    def refuses(self, call, now):
        """Refuse calls whose level is above the threshold."""
        if now >= self.window_end or self.calls >= WINDOW_CALLS:
            self.end_window(now)
        bucket = bucket_of(call.level)
        self.calls += 1
        self.arrivals[bucket] += 1
        if bucket > self.threshold:
            return True
        self.admitted += 1
        return False

    def granted(self, waited_s, now):
        """Record the queueing time of a call that got a slot."""
        self.granted_calls += 1
        self.total_wait_s += waited_s

    def level(self, now):
        """Return the threshold by which callers' daemons refuse early."""
        if now >= self.window_end:
            self.end_window(now)
        if self.threshold >= BUCKETS - 1:
            return ADMIT_ALL
        return ((self.threshold + 1) << BUCKET_SHIFT) - 1

    def end_window(self, now):
        target = self.control.inputs.settings.queue_target_ms / 1_000
        if self.granted_calls and self.total_wait_s / self.granted_calls > target:
            self.lower()
        else:
            self.raise_threshold()
        self.arrivals = [0] * BUCKETS
        self.calls = self.admitted = self.granted_calls = 0
        self.total_wait_s = 0.0
        self.window_end = now + WINDOW_S

    def lower(self):
        wanted = self.admitted * (1 - DECREASE)
        expected = self.admitted
        while self.threshold > 0 and expected > wanted:
            expected -= self.arrivals[self.threshold]
            self.threshold -= 1

    def raise_threshold(self):
        wanted = self.admitted * (1 + INCREASE)
        expected = self.admitted
        while self.threshold < BUCKETS - 1 and expected <= wanted:
            self.threshold += 1
            expected += self.arrivals[self.threshold]
