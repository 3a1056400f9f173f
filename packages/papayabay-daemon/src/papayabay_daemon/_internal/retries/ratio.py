"""Limits this daemon's retries to a share of its first attempts."""

from papayabay_core.utils.clock import now

BURST_TOKENS = 10.0
"""Tokens up to which first attempts fill a bucket."""
FLOOR_TOKENS = 3.0
"""Tokens up to which a bucket is refilled over time."""
FLOOR_TOKENS_PER_SECOND = 0.5
MAX_SERVICES = 4_096


class RetryBucket:
    """Token bucket for the retries of one service."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, at):
        self.tokens = FLOOR_TOKENS
        self.refilled_at = at


class RetryRatio:
    """Limits the retries of each service by a token bucket.

    Each first attempt earns `ratio` of a token. A slow refill over time, up to
    a small floor, lets services with few calls retry too. If policy sets a
    retry budget for a window, the callees' daemons enforce it together
    (`ArrivalBudget`), and nothing is limited here.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    clock : callable
        Seconds.

    Attributes
    ----------
    earned : dict of str to (float or None)
        Part of a token that a first attempt earns, by service, under `policy`;
        None if that limits retries by a window.
    """

    def __init__(self, policy_source, clock=now):
        self.policy_source = policy_source
        self.clock = clock
        self.buckets = {}
        self.policy = None
        self.earned = {}
        self.allowed = 0
        self.refused = 0

    def record_first_attempt(self, service):
        """Earn part of a token for the first attempt of a call."""
        policy = self.policy_source()
        if policy is not self.policy or service not in self.earned:
            self.read_policy(policy, service)
        earned = self.earned[service]
        if earned is None:
            return
        bucket = self.buckets.get(service) or self.bucket(service)
        tokens = bucket.tokens
        if tokens < BURST_TOKENS:
            bucket.tokens = min(BURST_TOKENS, tokens + earned)

    def read_policy(self, policy, service):
        """Read what a service's first attempts earn under a policy."""
        if policy is not self.policy or len(self.earned) >= MAX_SERVICES:
            self.policy = policy
            self.earned = {}
        retries = policy.retries(service)
        self.earned[service] = None if retries.window_ms is not None else retries.ratio

    def allow(self, service):
        """Spend a token for a retry; return False if there is none."""
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
        """Add the tokens earned by time, up to `FLOOR_TOKENS`."""
        at = self.clock()
        earned = (at - bucket.refilled_at) * FLOOR_TOKENS_PER_SECOND
        bucket.refilled_at = at
        if bucket.tokens < FLOOR_TOKENS:
            bucket.tokens = min(FLOOR_TOKENS, bucket.tokens + earned)

    def bucket(self, service):
        """Return the bucket of a service, evicting the oldest if needed."""
        found = self.buckets.get(service)
        if found is None:
            if len(self.buckets) >= MAX_SERVICES:
                del self.buckets[next(iter(self.buckets))]
            found = self.buckets[service] = RetryBucket(self.clock())
        return found
