"""Grants the tokens of the limits that this daemon keeps."""

from papayabay_core.utils.clock import now, whole_ms
from papayabay_daemon._internal.accounts.buckets import TokenBucket
from papayabay_daemon._internal.accounts.messages import (
    TOPIC,
    Outcome,
    TokenReply,
    decode_request,
    encode,
)
from papayabay_daemon._internal.accounts.slots import slot_limit, slot_positions

NOT_KEPT = TokenReply(Outcome.NOT_KEPT)


class LimitOwner:
    """Keeps a bucket for each slot of a limit that falls to this daemon.

    Buckets are in memory only. A new one holds no more than has come since
    the ring of this process settled and a place on it was last given up, so
    that a limit is not granted twice over a restart or a succession.

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
    counters : dict of str to int
    """

    def __init__(self, policy_source, ring, links, clock=now):
        self.policy_source = policy_source
        self.ring = ring
        self.clock = clock
        self.buckets = {}
        self.ring_version = 0
        self.is_leaving = False
        self.counters = dict.fromkeys(("granted", "exhausted", "not_kept"), 0)
        links.handle_requests(TOPIC, self.answer)

    async def answer(self, payload, peer):
        """Answer a peer's question for tokens."""
        request = decode_request(payload)
        return encode(self.grant(request))

    def grant(self, request):
        """Return the `TokenReply` to a `TokenRequest`."""
        self.ring.note_lost(request.lost)
        account = self.policy_source().accounts.by_name.get(request.account)
        if not self.may_grant(account, request.slot):
            self.counters["not_kept"] += 1
            return NOT_KEPT
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
        return TokenReply(Outcome.EXHAUSTED, wait_ms=whole_ms(bucket.retry_s(moment)))

    def may_grant(self, account, slot):
        """Return whether this daemon keeps a slot, and grants by now."""
        self.drop_lost()
        is_active = self.ring.settled_at is not None and not self.is_leaving
        return is_active and self.is_own(account, slot)

    def drop_lost(self):
        """Forget buckets of slots that fall to other daemons by now."""
        if self.ring_version == self.ring.version:
            return
        self.ring_version = self.ring.version
        accounts = self.policy_source().accounts.by_name
        for name, slot in list(self.buckets):
            if not self.is_own(accounts.get(name), slot):
                del self.buckets[name, slot]

    def is_own(self, account, slot):
        """Return whether a slot exists and falls to this daemon."""
        if account is None or account.limit is None:
            return False
        positions = slot_positions(account)
        return slot < len(positions) and self.ring.falls_here(positions[slot])

    def bucket_of(self, account, slot):
        """Return a slot's bucket, as the limit in force wants it."""
        wanted = slot_limit(account.limit, self.ring.share)
        key = account.name, slot
        bucket = self.buckets.get(key)
        if bucket is None:
            since = max(self.ring.settled_at, self.ring.shrunk_at)
            bucket = TokenBucket(wanted.rate_per_s, wanted.depth, since)
            self.buckets[key] = bucket
        bucket.change(wanted.rate_per_s, wanted.depth, self.clock())
        return bucket
