"""Token buckets of rate limits."""

MAX_RETRY_SECONDS = 5.0


class TokenBucket:
    """Tokens that come at a rate, up to a depth; empty at first.

    Parameters
    ----------
    rate : float
        Tokens a second.
    depth : float
        Tokens that it holds at most.
    at : float
        Time from which on tokens come.
    """

    __slots__ = ("depth", "rate", "refilled_at", "returns_at", "tokens")

    def __init__(self, rate, depth, at):
        self.rate = rate
        self.depth = depth
        self.tokens = 0.0
        self.refilled_at = at
        self.returns_at = at

    def change(self, rate, depth, at):
        """Go on with another rate and depth, if they are others."""
        if (rate, depth) == (self.rate, self.depth):
            return
        self.refill(at)
        self.rate = rate
        self.depth = depth
        self.tokens = min(self.tokens, depth)

    def refill(self, at):
        """Add the tokens that have come since the last time."""
        passed = max(0.0, at - self.refilled_at)
        self.refilled_at = max(at, self.refilled_at)
        self.tokens = min(self.depth, self.tokens + passed * self.rate)

    def take(self, at, wanted=1):
        """Return how many tokens of those wanted were taken.

        More than one only while more than half of them are left.

        Parameters
        ----------
        at : float
        wanted : int
        """
        self.refill(at)
        if self.tokens < 1.0:
            return 0
        spare = int(self.tokens - self.depth / 2)
        taken = max(1, min(wanted, spare))
        self.tokens -= taken
        return taken

    def refund(self):
        """Put back a token that was not used."""
        self.tokens = min(self.depth, self.tokens + 1.0)

    def reserve(self, at, max_wait):
        """Take a token that is due soon.

        Parameters
        ----------
        at : float
        max_wait : float
            Seconds.

        Returns
        -------
        float or None
            Seconds until it may be used; None when none is due by then.
        """
        self.refill(at)
        wait = max(0.0, (1.0 - self.tokens) / self.rate)
        if wait > max_wait:
            return None
        self.tokens -= 1.0
        return wait

    def retry_s(self, at):
        """Return when one who got no token had better come back, seconds.

        Each is given the time of another token, so that those who were
        refused together come back at the rate of the limit.
        """
        first = at + (1.0 - self.tokens) / self.rate
        due = max(first, self.returns_at)
        self.returns_at = min(due + 1.0 / self.rate, at + MAX_RETRY_SECONDS)
        return due - at
