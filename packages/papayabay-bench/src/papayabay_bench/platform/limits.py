"""Token buckets that keep the stand-in to the platform's rates."""

import time

WRITES_PER_SECOND = 400
READS_PER_SECOND = 2_000


class TokenBucket:
    """A rate limit with one second's worth of burst.

    Parameters
    ----------
    rate : float
        Tokens per second, and the most that are kept.
    """

    def __init__(self, rate):
        self.rate = rate
        self.tokens = float(rate)
        self.filled_at = time.monotonic()

    def take(self, count=1):
        """Take tokens and return True, or False when there are too few."""
        at = time.monotonic()
        gained = (at - self.filled_at) * self.rate
        self.tokens = min(self.rate, self.tokens + gained)
        self.filled_at = at
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
