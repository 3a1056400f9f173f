"""Divides each rate limit into equal shares, one per daemon."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now, whole_ms
from papayabay_daemon._internal.accounts.buckets import TokenBucket


class EqualShareLimiter:
    """A `Limiter` by which each daemon grants an equal share on its own.

    It sends no messages. An account gets much less than its limit if its
    requests enter through few daemons, or seldom through each.

    Parameters
    ----------
    members : Membership
        Besides `Members`: `lost_count`.
    clock : callable
        Seconds.
    """

    def __init__(self, members, clock=now):
        self.members = members
        self.clock = clock
        self.started_at = clock()
        self.buckets = {}

    async def acquire(self, account):
        """Take a token for one request; see `Limiter`."""
        bucket = self.bucket_of(account)
        moment = self.clock()
        if not bucket.take(moment):
            retry_ms = whole_ms(bucket.next_retry_delay(moment))
            raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=retry_ms)

    def refund(self, account):
        """Return an unused token; see `Limiter`."""
        self.bucket_of(account).refund()

    def bucket_of(self, account):
        """Return the bucket of this daemon's share of an account's limit."""
        count = len(self.members.live()) + self.members.lost_count()
        rate = account.limit.rate_per_s / count
        depth = max(1.0, account.limit.burst / count)
        bucket = self.buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate, depth, self.started_at)
            self.buckets[account.name] = bucket
        bucket.reconfigure(rate, depth, self.clock())
        return bucket

    def policy_changed(self, policy):
        """Drop the buckets of accounts that are no longer in the policy."""
        known = policy.accounts.by_name
        self.buckets = {
            name: bucket for name, bucket in self.buckets.items() if name in known
        }
