"""The token bucket of a rate limit."""

MAX_RETRY_SECONDS = 5.0
"""How far ahead the retries of refused requests are spread."""


class TokenBucket:
    """A token bucket; empty at first.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    depth : float
        Most tokens that the bucket holds.
    now : float
        Time from which tokens are added, seconds.
    """

    __slots__ = ("depth", "next_retry_at", "rate", "refilled_at", "tokens")

    def __init__(self, rate, depth, now):
        self.rate = rate
        self.depth = depth
        self.tokens = 0.0
        self.refilled_at = now
        self.next_retry_at = now

    def reconfigure(self, rate, depth, now):
        """Change rate and depth; tokens beyond the new depth are dropped."""
        if (rate, depth) == (self.rate, self.depth):
            return
        self.refill(now)
        self.rate = rate
        self.depth = depth
        self.tokens = min(self.tokens, depth)

    def refill(self, now):
        """Add the tokens that are due since the last refill."""
        elapsed = now - self.refilled_at
        if elapsed <= 0.0:
            return
        self.refilled_at = now
        tokens = self.tokens + elapsed * self.rate
        self.tokens = tokens if tokens < self.depth else self.depth

    def take(self, now, wanted=1):
        """Take up to so many tokens; return how many were taken.

        More than one is taken only while the bucket is more than half full:
        tokens granted in advance may go unused while others are refused.

        Parameters
        ----------
        now : float
        wanted : int
        """
        self.refill(now)
        if self.tokens < 1.0:
            return 0
        spare = int(self.tokens - self.depth / 2)
        taken = max(1, min(wanted, spare))
        self.tokens -= taken
        return taken

    def refund(self):
        """Return a token that was not used."""
        self.tokens = min(self.depth, self.tokens + 1.0)

    def reserve(self, now, max_wait):
        """Reserve a token that becomes available soon.

        Parameters
        ----------
        now : float
        max_wait : float
            Seconds.

        Returns
        -------
        float or None
            Seconds until the token may be used; None if none becomes
            available within `max_wait`.
        """
        self.refill(now)
        wait = max(0.0, (1.0 - self.tokens) / self.rate)
        if wait > max_wait:
            return None
        self.tokens -= 1.0
        return wait

    def next_retry_delay(self, now):
        """Return the seconds after which a refused request should be retried.

        Each refused request gets the time of a different token, so that
        requests that were refused together are retried at the rate of the
        limit.
        """
        first = now + (1.0 - self.tokens) / self.rate
        due = max(first, self.next_retry_at)
        self.next_retry_at = min(due + 1.0 / self.rate, now + MAX_RETRY_SECONDS)
        return due - now
