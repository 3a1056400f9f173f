"""When a refused caller is told to come back."""

FIRST_MS = 200
LAST_MS = 5_000
GROWTH = 0.5
CALM_S = 1.0
JITTER = 0.5


class RetryAfter:
    """Estimates the end of the overload from how long it has lasted.

    An overload that has lasted long is expected to last longer; one that
    just began may be a burst. The jitter keeps clients from returning in
    step.
    """

    def __init__(self, inputs):
        self.began_at = 0.0
        self.refused_at = float("-inf")
        self.reconfigure(inputs)

    def reconfigure(self, inputs):
        """Take over other decisions."""
        self.random = inputs.random
        self.enabled = inputs.decisions.retry_after

    def record_refusal(self, now):
        """Note a refusal and return its milliseconds; 0 when switched off."""
        if now - self.refused_at > CALM_S:
            self.began_at = now
        self.refused_at = now
        if not self.enabled:
            return 0
        lasted_ms = (now - self.began_at) * 1_000
        wait = min(LAST_MS, FIRST_MS + GROWTH * lasted_ms)
        return int(wait * self.random.uniform(1 - JITTER, 1 + JITTER))
