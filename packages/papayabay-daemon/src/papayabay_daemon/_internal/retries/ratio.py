"""The share of calls that may be repeats, per service."""

from papayabay_core.utils.clock import now

BURST_TOKENS = 10.0
FLOOR_TOKENS = 3.0
FLOOR_TOKENS_PER_SECOND = 0.5
MAX_SERVICES = 4_096


class RetryBucket:
    """Tokens for the repeats of one service."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, at):
        self.tokens = FLOOR_TOKENS
        self.refilled_at = at


class RetryRatio:
    """Keeps this daemon's repeats to a small share of its first attempts.

    Each first attempt earns `ratio` of a token. A slow refill over time, up
    to a small floor, lets services with few calls repeat one as well. Where
    policy sets a budget for a window, the callees' daemons keep to it
    together (`ArrivalBudget`), and nothing is counted here.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    clock : callable
        Seconds.
    """

    def __init__(self, policy_source, clock=now):
        self.policy_source = policy_source
        self.clock = clock
        self.buckets = {}
        self.allowed = 0
        self.refused = 0

    def record_first_attempt(self, service):
        """Note the first attempt of a call."""
        retries = self.policy_source().retries(service)
        if retries.window_ms is not None:
            return
        bucket = self.bucket(service)
        earned = retries.ratio
        bucket.tokens = min(max(BURST_TOKENS, bucket.tokens), bucket.tokens + earned)

    def allow(self, service):
        """Spend a token for a repeat; return False when there is none."""
        if self.policy_source().retries(service).window_ms is not None:
            return True
        bucket = self.bucket(service)
        self.refill(bucket)
        if bucket.tokens < 1.0:
            self.refused += 1
            return False
        bucket.tokens -= 1.0
        self.allowed += 1
        return True

    def refill(self, bucket):
        """Add what time has earned, up to the floor."""
        at = self.clock()
        earned = (at - bucket.refilled_at) * FLOOR_TOKENS_PER_SECOND
        bucket.refilled_at = at
        if bucket.tokens < FLOOR_TOKENS:
            bucket.tokens = min(FLOOR_TOKENS, bucket.tokens + earned)

    def bucket(self, service):
        """Return the bucket of a service; beyond the bound the oldest goes."""
        found = self.buckets.get(service)
        if found is None:
            if len(self.buckets) >= MAX_SERVICES:
                del self.buckets[next(iter(self.buckets))]
            found = self.buckets[service] = RetryBucket(self.clock())
        return found
