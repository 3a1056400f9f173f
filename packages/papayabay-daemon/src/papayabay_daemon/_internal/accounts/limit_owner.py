"""Grants tokens of the rate limit slots that this daemon owns."""

from papayabay_core.utils.clock import now, whole_ms
from papayabay_daemon._internal.accounts.buckets import TokenBucket
from papayabay_daemon._internal.accounts.demand import SlotDemands
from papayabay_daemon._internal.accounts.messages import (
    TOPIC,
    Outcome,
    TokenReply,
    decode_request,
    encode,
)
from papayabay_daemon._internal.accounts.slots import slot_limit, slot_positions

NOT_OWNER = TokenReply(Outcome.NOT_OWNER)
REPORTED = TokenReply(Outcome.GRANTED)


class LimitOwner:
    """Holds a token bucket for each slot that this daemon owns.

    Buckets are kept in memory only. A new bucket is filled only from the time
    at which the ring of this process settled or last lost an entry, whichever
    is later, so that a restart or a change of owner doesn't grant the same
    tokens twice.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    ring : OwnerRing
    links : Links
    clock : callable
        Seconds.

    Attributes
    ----------
    buckets : dict of (str, int) to TokenBucket
        By account and slot.
    configured : dict of (str, int) to Account
        By account and slot, the account by whose limit and `share` the bucket
        is configured, and whose slot this daemon owns.
    share : float
        The `OwnerRing.share` of those.
    is_leaving : bool
        Whether this daemon shuts down and grants no more tokens.
    demands : SlotDemands
        Empty while the policy divides no capacity among accounts.
    counters : dict of str to int
    """

    def __init__(self, policy_source, ring, links, clock=now):
        self.policy_source = policy_source
        self.ring = ring
        self.clock = clock
        self.buckets = {}
        self.configured = {}
        self.share = 1.0
        self.demands = SlotDemands(self.slot_rate)
        self.ring_version = 0
        self.is_leaving = False
        self.counters = dict.fromkeys(("granted", "exhausted", "not_kept"), 0)
        links.handle_requests(TOPIC, self.handle_request)

    async def handle_request(self, payload, peer):
        """Return the encoded reply to a peer's token request."""
        request = decode_request(payload)
        return encode(self.grant(request))

    def grant(self, request):
        """Return the `TokenReply` to a `TokenRequest`."""
        self.ring.record_reported_loss(request.lost)
        account = self.policy_source().accounts.by_name.get(request.account)
        if not self.may_grant(account, request.slot):
            self.counters["not_kept"] += 1
            return NOT_OWNER
        reply = self.token_reply(account, request)
        if not request.demanded:
            return reply
        return self.with_usages(reply, request)

    def with_usages(self, reply, request):
        """Count reported demand; return the reply with the slots' usages."""
        key = request.account, request.slot
        moment = self.clock()
        self.demands.record(key, request.demanded, moment, self.owned_since())
        return TokenReply(
            reply.outcome,
            reply.granted,
            reply.wait_ms,
            self.demands.usage(key, moment),
            self.demands.others(key, moment),
        )

    def slot_rate(self, name):
        """Return the requests a second that each slot of an account grants."""
        account = self.policy_source().accounts.by_name.get(name)
        if account is None or account.limit is None:
            return 0.0
        return slot_limit(account.limit, self.ring.share).rate_per_s

    def token_reply(self, account, request):
        """Return the reply without usages; no token for a mere report."""
        if not request.wanted:
            return REPORTED
        bucket = self.bucket_of(account, request.slot)
        moment = self.clock()
        taken = bucket.take(moment, request.wanted)
        if taken:
            self.counters["granted"] += taken
            return TokenReply(Outcome.GRANTED, taken)
        wait = bucket.reserve(moment, request.max_wait_ms / 1_000)
        if wait is not None:
            self.counters["granted"] += 1
            return TokenReply(Outcome.GRANTED, 1, whole_ms(wait))
        self.counters["exhausted"] += 1
        return TokenReply(
            Outcome.EXHAUSTED, wait_ms=whole_ms(bucket.next_retry_delay(moment))
        )

    def may_grant(self, account, slot):
        """Return whether this daemon owns a slot and its ring has settled."""
        self.evict_buckets()
        if self.ring.settled_at is None or self.is_leaving or account is None:
            return False
        known = self.configured.get((account.name, slot))
        return known is account or self.owns(account, slot)

    def evict_buckets(self):
        """Drop the buckets of slots that other daemons own after a change."""
        if self.ring_version == self.ring.version:
            return
        self.ring_version = self.ring.version
        self.configured.clear()
        accounts = self.policy_source().accounts.by_name
        for name, slot in list(self.buckets):
            if not self.owns(accounts.get(name), slot):
                del self.buckets[name, slot]
        self.demands.evict(lambda key: self.owns(accounts.get(key[0]), key[1]))

    def owns(self, account, slot):
        """Return whether a slot exists and this daemon owns it."""
        if account is None or account.limit is None:
            return False
        positions = slot_positions(account)
        return slot < len(positions) and self.ring.is_local(positions[slot])

    def owned_since(self):
        """Return since when this daemon may own a slot that is new to it."""
        return max(self.ring.settled_at, self.ring.shrunk_at)

    def bucket_of(self, account, slot):
        """Return a slot's bucket, with rate and depth of the current limit."""
        share = self.ring.share
        if share != self.share:
            self.share = share
            self.configured.clear()
        key = account.name, slot
        bucket = self.buckets.get(key)
        if self.configured.get(key) is account:
            return bucket
        limit = slot_limit(account.limit, share)
        if bucket is None:
            bucket = TokenBucket(limit.rate_per_s, limit.depth, self.owned_since())
            self.buckets[key] = bucket
        bucket.reconfigure(limit.rate_per_s, limit.depth, self.clock())
        self.configured[key] = account
        return bucket
