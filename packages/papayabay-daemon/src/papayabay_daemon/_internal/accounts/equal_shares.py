"""Divides each limit into equal parts, one for each daemon."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now, whole_ms
from papayabay_daemon._internal.accounts.buckets import TokenBucket


class EqualShareLimiter:
    """A `Limiter` that asks nobody: each daemon has the same part.

    It needs no message, and serves an account little whose requests enter by
    few daemons, or come seldom to each.

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
        """Take a token; see `Limiter`."""
        bucket = self.bucket_of(account)
        moment = self.clock()
        if not bucket.take(moment):
            retry_ms = whole_ms(bucket.retry_s(moment))
            raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=retry_ms)

    def refund(self, account):
        """Give a token back; see `Limiter`."""
        self.bucket_of(account).refund()

    def bucket_of(self, account):
        """Return the bucket of an account's part."""
        count = len(self.members.live()) + self.members.lost_count()
        rate = account.limit.rate_per_s / count
        depth = max(1.0, account.limit.burst / count)
        bucket = self.buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate, depth, self.started_at)
            self.buckets[account.name] = bucket
        bucket.change(rate, depth, self.clock())
        return bucket

    def policy_changed(self, policy):
        """Forget accounts that policy no longer names."""
        known = policy.accounts.by_name
        self.buckets = {key: kept for key, kept in self.buckets.items() if key in known}
