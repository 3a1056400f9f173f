"""Limit on the rate of calls that the target states in its answers."""

import math

import logbook

from papayabay_daemon._internal.accounts.buckets import (
    MAX_RETRY_SECONDS,
    TokenBucket,
)

BURST_SECONDS = 0.25
"""Time of the rate that may be used at once, in addition to one call."""
MIN_RATE_PER_S = 0.1
"""Lowest rate that is applied. Only an answer tells that a limit has ended, so
a target that takes nothing still gets a call now and then."""
UNREPORTED_CALLS = 3
"""Calls in flight until the first answer of a target that may have started
before this daemon, and may have stated a limit to the daemon's predecessor."""
log = logbook.Logger("papayabay.admission")


class RateLimit:
    """The rate limit of the target beside this daemon.

    All calls to the target pass through this daemon, so the limit holds for
    the whole fleet without any agreement between daemons.

    A limit takes effect with the answer that states it. Answers can be read
    out of order; so only the answer to a call that was sent after the limit
    came into effect raises or ends it.

    Parameters
    ----------
    inputs : AdmissionInputs

    Attributes
    ----------
    rate : float or None
        Calls per second; None without a limit.
    changed_at : float
        When the rate in effect was first stated.
    is_reported : bool
        Whether an answer of this target's process was received, or none is
        needed as the process is new.
    is_unlimited : bool
        Whether `is_open` is always true; most targets never state a limit.
    """

    def __init__(self, inputs):
        self.announced_at = None
        self.reconfigure(inputs)

    def reconfigure(self, inputs):
        """Apply a changed announcement; another process has no limit yet."""
        if inputs.announced_at == self.announced_at:
            return
        self.announced_at = inputs.announced_at
        self.is_reported = not inputs.awaits_report
        self.set_rate(None, inputs.announced_at)

    def set_rate(self, rate, now):
        """Set the rate; a bucket for a new limit is empty at first."""
        if rate is None:
            self.bucket = None
        else:
            depth = 1.0 + rate * BURST_SECONDS
            if self.bucket is None:
                self.bucket = TokenBucket(rate, depth, now)
            else:
                self.bucket.reconfigure(rate, depth, now)
        self.rate = rate
        self.changed_at = now
        self.is_unlimited = rate is None and self.is_reported

    def record_report(self, rate, sent_at, now):
        """Apply the rate in an answer.

        Parameters
        ----------
        rate : float or None
            Calls per second; None if the answer states no limit.
        sent_at : float
            When the answered call was sent.
        now : float
        """
        self.is_reported = True
        previous = self.rate
        rate = None if rate is None else max(rate, MIN_RATE_PER_S)
        if rate == previous:
            self.is_unlimited = rate is None
            return
        is_lower = rate is not None and (previous is None or rate < previous)
        if not is_lower and sent_at <= self.changed_at:
            return
        self.set_rate(rate, now)
        if previous is None:
            log.notice("the target limits itself to {:g} calls per second", rate)
        elif rate is None:
            log.notice("the target no longer limits its rate of calls")

    def is_open(self, in_flight, now):
        """Return whether another call may be passed to the target now."""
        if self.bucket is None:
            return self.is_reported or in_flight < UNREPORTED_CALLS
        self.bucket.refill(now)
        return self.bucket.tokens >= 1.0

    def use(self, now):
        """Record that a call is passed to the target."""
        if self.bucket is not None:
            self.bucket.refill(now)
            self.bucket.tokens -= 1.0

    def seconds_until_open(self, now):
        """Return the seconds until the next call may be passed on."""
        if self.bucket is None:
            return 0.0
        self.bucket.refill(now)
        return max(0.0, 1.0 - self.bucket.tokens) / self.rate

    def retry_delay(self, waiting, now):
        """Return the seconds after which a refused call should come back.

        Calls that are refused together are spread over the rate.

        Parameters
        ----------
        waiting : int
            Calls that are queued before it.
        now : float
        """
        if self.bucket is None:
            return 0.0
        self.bucket.refill(now)
        delay = self.bucket.next_retry_delay(now) + waiting * self.call_interval()
        return min(delay, MAX_RETRY_SECONDS)

    def call_interval(self):
        """Return the mean seconds between two calls; 0 without a limit."""
        return 0.0 if self.rate is None else 1.0 / self.rate

    def usable_slots(self, slots, service_s):
        """Return how many of some slots the rate can keep in use, at least 1.

        Callers' daemons compare the load of upstreams with it, so that they
        choose others first.
        """
        if self.rate is None:
            return slots
        return min(slots, max(1, math.ceil(self.rate * service_s)))
