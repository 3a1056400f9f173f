"""The share of calls that may be repeats, per service."""

from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.retries.window import RepeatWindow

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
    to a small floor, lets services with few calls repeat one as well.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    clock : callable
        Seconds.
    members : callable or None
        Returns how many daemons share what is left beside the ratio.
    """

    def __init__(self, policy_source, clock=now, members=None):
        self.policy_source = policy_source
        self.clock = clock
        self.members = members or (lambda: 1)
        self.windows = {}
        self.buckets = {}
        self.allowed = 0
        self.refused = 0

    def first_attempt(self, service):
        """Note the first attempt of a call."""
        retries = self.policy_source().retries(service)
        if retries.window_ms is not None:
            self.window(service).first_attempt(retries)
            return
        bucket = self.bucket(service)
        earned = retries.ratio
        bucket.tokens = min(max(BURST_TOKENS, bucket.tokens), bucket.tokens + earned)

    def repeated_above(self, service):
        """Note a call of a run that was a repeat; it earns nothing."""
        retries = self.policy_source().retries(service)
        if retries.window_ms is not None:
            self.window(service).repeated(retries)

    def allow(self, service, importance=Importance.CRITICAL):
        """Spend a token for a repeat; return False when there is none."""
        retries = self.policy_source().retries(service)
        if retries.window_ms is not None:
            return self.allow_in_window(service, retries, importance)
        bucket = self.bucket(service)
        self.refill(bucket)
        if bucket.tokens < 1.0:
            self.refused += 1
            return False
        bucket.tokens -= 1.0
        self.allowed += 1
        return True

    def allow_in_window(self, service, retries, importance):
        """Count a repeat if the share of the window's budget has room."""
        window = self.window(service)
        allowed = window.allow(retries, self.members(), importance)
        self.allowed += allowed
        self.refused += not allowed
        return allowed

    def window(self, service):
        """Return the window of a service."""
        return entry(self.windows, service, lambda: RepeatWindow(self.clock))

    def refill(self, bucket):
        """Add what time has earned, up to the floor."""
        at = self.clock()
        earned = (at - bucket.refilled_at) * FLOOR_TOKENS_PER_SECOND
        bucket.refilled_at = at
        if bucket.tokens < FLOOR_TOKENS:
            bucket.tokens = min(FLOOR_TOKENS, bucket.tokens + earned)

    def bucket(self, service):
        """Return the bucket of a service."""
        return entry(self.buckets, service, lambda: RetryBucket(self.clock()))


def entry(entries, service, make):
    """Return the entry of a service, a new one if need be; the oldest goes."""
    found = entries.get(service)
    if found is None:
        if len(entries) >= MAX_SERVICES:
            del entries[next(iter(entries))]
        found = entries[service] = make()
    return found
