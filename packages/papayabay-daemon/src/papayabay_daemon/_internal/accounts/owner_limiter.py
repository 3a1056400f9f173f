"""Requests tokens from the daemons that own the slots of a rate limit."""

import asyncio
import math
from dataclasses import dataclass, field

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.policy.accounts import Account
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.accounts.candidates import CandidateOwners
from papayabay_daemon._internal.accounts.messages import (
    TOPIC,
    Outcome,
    TokenRequest,
    decode_reply,
    encode,
)
from papayabay_daemon._internal.accounts.shares import AccountShares
from papayabay_daemon._internal.accounts.slots import slot_count
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout

REQUEST_TIMEOUT_SECONDS = 0.15
"""Time-out of a token request; many round trips between failure domains."""
UNRESPONSIVE_SECONDS = 0.5
"""How long no requests are sent to an owner that did not answer."""
LEASE_SECONDS = 0.25
"""TTL of tokens that were granted in advance; also the period of recent
demand for which they are requested."""
RATE_AVERAGING_SECONDS = 1.0
"""Time constant of the moving average of the demand."""
MAX_WAIT_MS = 100
"""Longest time that a request waits here for a reserved token; beyond that it
is refused with a Retry-After."""
MAX_EXHAUSTED_SECONDS = 1.0
"""Longest time that no requests are sent to an owner without tokens."""
MIN_RETRY_MS = 50
"""Shortest Retry-After of a request over the limit, before jitter."""
UNKNOWN_RETRY_MS = 300
"""Retry-After, before jitter, while no owner can say whether the limit is
exhausted."""


@dataclass(slots=True)
class Lease:
    """Tokens and state of one account's limit at this daemon.

    Attributes
    ----------
    tokens : int
        Tokens granted in advance.
    expires_at : float
        When those tokens expire.
    last_demand_at : float
        When a token was last needed here.
    demand_rate : float
        Moving average of the demand here, tokens per second.
    exhausted_until : dict of int to float
        By slot, the time until which its owner is not asked again.
    retry_ms : int
        Retry-After in the latest reply of an owner without tokens.
    closed_until : float
        Until when no slot of the limit of `closed_for` has a token.
    closed_for : Account or None
    """

    tokens: int = 0
    expires_at: float = 0.0
    last_demand_at: float = float("-inf")
    demand_rate: float = 0.0
    exhausted_until: dict[int, float] = field(default_factory=dict)
    retry_ms: int = 0
    closed_until: float = 0.0
    closed_for: Account | None = None

    def record_demand(self, moment):
        """Count a request that needs a token in the demand rate."""
        weight = math.exp((self.last_demand_at - moment) / RATE_AVERAGING_SECONDS)
        self.demand_rate = self.demand_rate * weight + 1.0 / RATE_AVERAGING_SECONDS
        self.last_demand_at = moment

    def take(self, moment):
        """Take a token granted in advance; return whether there was one."""
        if not self.tokens or moment > self.expires_at:
            return False
        self.tokens -= 1
        return True

    def add(self, tokens, moment):
        """Add tokens granted in advance, and renew the TTL of all."""
        unexpired = self.tokens if moment <= self.expires_at else 0
        self.tokens = unexpired + tokens
        self.expires_at = moment + LEASE_SECONDS

    def close(self, account):
        """Set until when no slot has a token, once all are exhausted."""
        known = self.exhausted_until
        times = [known.get(slot, 0.0) for slot in range(slot_count(account.limit))]
        self.closed_until = min(times)
        self.closed_for = account

    def exhausted_seconds(self, moment):
        """Return the shortest wait for an exhausted slot; 0 without one."""
        waits = [until - moment for until in self.exhausted_until.values()]
        return min((wait for wait in waits if wait > 0.0), default=0.0)


NO_LEASE = Lease()
"""Used where it does not matter whether a slot is exhausted."""


class OwnerLimiter:
    """A `Limiter` that requests tokens from the owners of a limit's slots.

    Owners in the local failure domain are tried first. An owner that is
    exhausted is not asked again before it has a token, so that an account far
    over its limit causes little load on other daemons.

    Parameters
    ----------
    local : Member
    ring : OwnerRing
    owner : LimitOwner
        Called directly for the slots that this daemon owns.
    links : Links
    random : random.Random
    clock : callable
        Seconds.
    shares : AccountShares or None
        Its pending demand is reported with token requests. It has none while
        the policy divides no capacity among accounts.
    """

    def __init__(self, local, ring, owner, links, random, clock=now, shares=None):
        self.local = local
        self.ring = ring
        self.owner = owner
        self.links = links
        self.random = random
        self.clock = clock
        self.shares = shares or AccountShares(clock, lambda: ring.live_count)
        self.candidates = CandidateOwners(local, ring, random)
        self.leases = {}
        self.unresponsive_until = {}
        self.counters = dict.fromkeys(("asked", "unanswered", "in_advance"), 0)

    async def acquire(self, account):
        """Take a token for one request; see `Limiter`."""
        lease = self.lease_of(account)
        moment = self.clock()
        lease.record_demand(moment)
        if lease.take(moment):
            self.counters["in_advance"] += 1
            return
        if moment < lease.closed_until and lease.closed_for is account:
            self.refuse(lease)
        if not await self.request_token(account, lease):
            self.refuse(lease)

    def refund(self, account):
        """Return a token to the lease, for the account's next request."""
        self.lease_of(account).add(1, self.clock())

    async def request_token(self, account, lease):
        """Try the owners in turn; return whether one granted a token.

        Returns once the token may be used. Only the last owner is asked to
        reserve a token that is not available yet.
        """
        candidates = self.candidate_owners(account, lease)
        for number, (slot, member) in enumerate(candidates, 1):
            max_wait_ms = MAX_WAIT_MS if number == len(candidates) else 0
            tokens = tokens_to_request(lease)
            reply = await self.ask(account, slot, member, tokens, max_wait_ms)
            if self.process_reply(account, lease, slot, reply):
                if reply.wait_ms:
                    await asyncio.sleep(reply.wait_ms / 1_000)
                return True
        return False

    async def ask(self, account, slot, member, tokens, max_wait_ms):
        """Request tokens, report pending demand, and learn stated usages."""
        shares = self.shares
        demanded = shares.take_pending(account.name)
        lost = self.ring.lost_count
        request = TokenRequest(account.name, slot, tokens, max_wait_ms, lost, demanded)
        reply = await self.send(member, request)
        if not demanded:
            return reply
        if reply is None or reply.outcome is Outcome.NOT_OWNER:
            shares.restore_pending(account.name, demanded)
            return reply
        # Owners of older releases grant tokens, but state no usage.
        if reply.usage:
            shares.learned(account.name, slot, reply.usage)
        if reply.others:
            shares.learned_others(reply.others)
        return reply

    async def report_demand(self, account):
        """Report pending demand to the owner of a slot drawn at random.

        Owners in other failure domains are drawn as often, so that the demand
        is spread evenly over the slots.
        """
        candidates = self.candidate_owners(account, NO_LEASE)
        share = len(candidates) / slot_count(account.limit)
        self.shares.set_reachable(account.name, share)
        if candidates:
            slot, member = self.random.choice(candidates)
            await self.ask(account, slot, member, 0, 0)

    def process_reply(self, account, lease, slot, reply):
        """Update a lease from a reply; return whether a token was granted."""
        if reply is None or reply.outcome is Outcome.NOT_OWNER:
            return False
        moment = self.clock()
        if reply.outcome is Outcome.EXHAUSTED:
            pause = min(reply.wait_ms / 1_000, MAX_EXHAUSTED_SECONDS)
            lease.exhausted_until[slot] = moment + pause
            lease.retry_ms = reply.wait_ms
            lease.close(account)
            return False
        lease.exhausted_until.pop(slot, None)
        lease.add(reply.granted - 1, moment)
        return True

    def refuse(self, lease):
        """Refuse a request that got no token; raises `CallError`.

        The jitter only lengthens the delay: a retry before the token is due
        would be refused again.
        """
        jitter = self.random.uniform(1.0, 1.5)
        if not lease.exhausted_seconds(self.clock()):
            retry_ms = int(UNKNOWN_RETRY_MS * jitter)
            raise CallError(ErrorKind.LIMIT_UNKNOWN, retry_after_ms=retry_ms)
        retry_ms = int(max(MIN_RETRY_MS, lease.retry_ms) * jitter)
        raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=retry_ms)

    def lease_of(self, account):
        """Return the account's `Lease`; creates it if needed."""
        lease = self.leases.get(account.name)
        if lease is None:
            lease = self.leases[account.name] = Lease()
        return lease

    def candidate_owners(self, account, lease):
        """Return pairs of slot and owner to try, in order.

        Left out are slots that are exhausted or reserved for a dead member,
        and owners that did not answer recently.
        """
        candidates = self.candidates.draw(account)
        if not lease.exhausted_until and not self.unresponsive_until:
            return candidates
        moment = self.clock()
        return [
            (slot, member)
            for slot, member in candidates
            if lease.exhausted_until.get(slot, 0.0) <= moment
            and self.unresponsive_until.get(member.name, 0.0) <= moment
        ]

    async def send(self, member, request):
        """Return an owner's `TokenReply`, or None if it did not answer."""
        if member is self.local:
            return self.owner.grant(request)
        self.counters["asked"] += 1
        payload = encode(request)
        try:
            with CallTimeout(REQUEST_TIMEOUT_SECONDS):
                answer = await self.links.request(
                    member, TOPIC, payload, REQUEST_TIMEOUT_SECONDS
                )
            return decode_reply(answer)
        except (ProtocolError, OSError, TimeoutError) as error:
            self.counters["unanswered"] += 1
            # Owners of older releases answer a mere report with an error, and
            # grant tokens none the less.
            if request.wanted or not isinstance(error, ProtocolError):
                self.mark_unresponsive(member)
            return None

    def mark_unresponsive(self, member):
        """Send no requests to a member for `UNRESPONSIVE_SECONDS`."""
        moment = self.clock()
        self.unresponsive_until = {
            name: until
            for name, until in self.unresponsive_until.items()
            if until > moment
        }
        self.unresponsive_until[member.name] = moment + UNRESPONSIVE_SECONDS

    def policy_changed(self, policy):
        """Drop the leases of accounts that are no longer in the policy."""
        known = policy.accounts.by_name
        self.leases = {
            name: lease for name, lease in self.leases.items() if name in known
        }


def tokens_to_request(lease):
    """Return how many tokens to request: one, and the demand expected soon."""
    return 1 + int(lease.demand_rate * LEASE_SECONDS)
