"""Retry-after time for refused callers."""

MIN_DELAY_MS = 200
MAX_DELAY_MS = 5_000
GROWTH = 0.5
"""Delay added per time that the overload has lasted."""
OVERLOAD_GAP_S = 1.0
"""Time without a refusal after which the next one starts a new overload."""
JITTER = 0.5
"""Largest random change of the delay, as a share of it."""


class RetryAfter:
    """Computes the retry-after time from the duration of the overload.

    An overload that has lasted long is expected to last longer; one that
    just began may be a burst. Jitter keeps clients from retrying in
    lockstep.
    """

    def __init__(self, inputs):
        self.began_at = 0.0
        self.refused_at = float("-inf")
        self.reconfigure(inputs)

    def reconfigure(self, inputs):
        """Apply changed policy decisions."""
        self.random = inputs.random
        self.enabled = inputs.decisions.retry_after

    def record_refusal(self, now):
        """Record a refusal; return its retry-after ms, 0 if disabled."""
        if now - self.refused_at > OVERLOAD_GAP_S:
            self.began_at = now
        self.refused_at = now
        if not self.enabled:
            return 0
        lasted_ms = (now - self.began_at) * 1_000
        delay_ms = min(MAX_DELAY_MS, MIN_DELAY_MS + GROWTH * lasted_ms)
        return int(delay_ms * self.random.uniform(1 - JITTER, 1 + JITTER))
