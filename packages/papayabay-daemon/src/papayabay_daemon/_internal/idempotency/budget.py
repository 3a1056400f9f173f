"""Adaptive rate limit for this daemon's writes to the platform's table."""

import random

from papayabay_core.errors import CallError, ErrorKind

MAX_RATE = 1_000.0
"""Writes per second; far above the table's capacity, so that there is in
effect no limit until the table refuses a write."""
MIN_RATE = 0.2
"""Writes per second that are always allowed, to notice that the table has
recovered."""
RATE_INCREASE = 2.0
"""Writes per second by which the rate grows in each second."""
RATE_DECREASE_FACTOR = 0.5
WINDOW_SECONDS = 1.0
"""Refusals within one window lower the rate once: they are one sign of
overload."""
MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 10_000


class WriteBudget:
    """Token bucket with additive increase and multiplicative decrease.

    Outcomes are always written and only counted; first claims get the tokens
    that remain. An outcome that is not written leaves its key blocked, but a
    claim that is refused costs only a call that its caller can retry.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.rate = MAX_RATE
        self.tokens = MAX_RATE * WINDOW_SECONDS
        self.refilled_at = self.window_started_at = clock()
        self.window_writes = self.previous_writes = 0
        self.decreased_at = None

    def admit(self):
        """Take a token for a first claim.

        Raises
        ------
        CallError
            STORE_UNAVAILABLE, with `retry_after_ms`, if there is no token.
        """
        if not self.has_token():
            raise self.unavailable("too many keys are being claimed")
        self.tokens -= 1.0
        self.window_writes += 1

    def has_token(self):
        """Return whether a deferrable write may be made now."""
        self.refill()
        return self.tokens >= 1.0

    def spend(self):
        """Count a write.

        Writes that cannot wait may overdraw the bucket, by at most one
        window's worth of tokens.
        """
        self.refill()
        self.tokens = max(self.tokens - 1.0, -self.capacity())
        self.window_writes += 1

    def record_refusal(self):
        """Lower the rate because the table refused a write."""
        self.refill()
        now = self.clock()
        if self.decreased_at is not None and now - self.decreased_at < WINDOW_SECONDS:
            return
        self.decreased_at = now
        # The allowed rate may be far above the rate in use. Half of it would
        # still be no limit, and the table would stay overloaded.
        recent_rate = max(self.window_writes, self.previous_writes) / WINDOW_SECONDS
        self.rate = max(min(self.rate, recent_rate) * RATE_DECREASE_FACTOR, MIN_RATE)
        self.tokens = min(self.tokens, 0.0)

    def refill(self):
        """Add the tokens and the rate gained since the last refill.

        Also starts a new window when the current one has ended.
        """
        now = self.clock()
        elapsed = max(now - self.refilled_at, 0.0)
        self.refilled_at = now
        self.rate = min(self.rate + RATE_INCREASE * elapsed, MAX_RATE)
        self.tokens = min(self.tokens + self.rate * elapsed, self.capacity())
        if now - self.window_started_at >= WINDOW_SECONDS:
            is_adjacent = now - self.window_started_at < 2 * WINDOW_SECONDS
            self.previous_writes = self.window_writes if is_adjacent else 0
            self.window_writes = 0
            self.window_started_at = now

    def capacity(self):
        """Return the most tokens that the bucket holds."""
        return max(self.rate * WINDOW_SECONDS, 1.0)

    def unavailable(self, detail):
        """Return the error for a refused claim, with a jittered delay."""
        wait_ms = (1.0 - self.tokens) / self.rate * 1_000
        wait_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        retry_after_ms = int(wait_ms * random.uniform(1.0, 2.0))
        return CallError(ErrorKind.STORE_UNAVAILABLE, detail, retry_after_ms)
