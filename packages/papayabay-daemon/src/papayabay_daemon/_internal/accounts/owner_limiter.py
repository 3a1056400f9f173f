"""Takes tokens from the keepers of a limit."""

import asyncio
import math
from dataclasses import dataclass, field

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.accounts.messages import (
    TOPIC,
    Outcome,
    TokenRequest,
    decode_reply,
    encode,
)
from papayabay_daemon._internal.accounts.slots import slot_positions

ASK_SECONDS = 0.15
"""How long one keeper has to answer: many round trips between domains."""
AVOID_SECONDS = 0.5
"""How long a keeper that did not answer is not asked again."""
LEASE_SECONDS = 0.25
"""How long tokens may be kept here, and for how much of the recent load they
are asked for in advance."""
RATE_SECONDS = 1.0
"""Time over which that load is averaged."""
MAX_WAIT_MS = 100
"""How long a request waits for a token that is due, rather than come back."""
MAX_HOLD_SECONDS = 1.0
"""How long a keeper without tokens is not asked again at most."""
MIN_RETRY_MS = 50
UNKNOWN_RETRY_MS = 300


@dataclass(slots=True)
class Lease:
    """What is known here of one account's limit.

    Attributes
    ----------
    tokens : int
        Granted in advance.
    expires_at : float
        When those are lost.
    asked_at : float
        When a token was last requested.
    rate : float
        Recent demand here, tokens per second.
    exhausted_until : dict of int to float
        By slot, when its keeper is asked again.
    retry_ms : int
        Retry-After of the last keeper without tokens.
    """

    tokens: int = 0
    expires_at: float = 0.0
    asked_at: float = float("-inf")
    rate: float = 0.0
    exhausted_until: dict[int, float] = field(default_factory=dict)
    retry_ms: int = 0

    def note_wanted(self, moment):
        """Note that a token is wanted."""
        weight = math.exp((self.asked_at - moment) / RATE_SECONDS)
        self.rate = self.rate * weight + 1.0 / RATE_SECONDS
        self.asked_at = moment

    def take(self, moment):
        """Return whether a token that was granted before could be taken."""
        if not self.tokens or moment > self.expires_at:
            return False
        self.tokens -= 1
        return True

    def keep(self, tokens, moment):
        """Keep tokens that were granted in advance."""
        kept = self.tokens if moment <= self.expires_at else 0
        self.tokens = kept + tokens
        self.expires_at = moment + LEASE_SECONDS

    def shortest_wait(self, moment):
        """Return the seconds until some keeper is asked again, 0 for none."""
        waits = [until - moment for until in self.exhausted_until.values()]
        return min((wait for wait in waits if wait > 0.0), default=0.0)


class OwnerLimiter:
    """A `Limiter` that asks the keepers of each limit.

    Keepers of the own failure domain come first. One that is exhausted is not
    asked again before it has a token, so that an account far beyond its limit
    costs nobody else much.

    Parameters
    ----------
    local : Member
    ring : OwnerRing
    keeper : LimitOwner
        Asked directly where a slot falls to this daemon.
    links : Links
    random : random.Random
    clock : callable
        Seconds.
    """

    def __init__(self, local, ring, keeper, links, random, clock=now):
        self.local = local
        self.ring = ring
        self.keeper = keeper
        self.links = links
        self.random = random
        self.clock = clock
        self.leases = {}
        self.avoided = {}
        self.counters = dict.fromkeys(("asked", "unanswered", "in_advance"), 0)

    async def acquire(self, account):
        """Take a token; see `Limiter`."""
        lease = self.lease_of(account)
        moment = self.clock()
        lease.note_wanted(moment)
        if lease.take(moment):
            self.counters["in_advance"] += 1
            return
        if not await self.ask_keepers(account, lease):
            self.refuse(lease)

    def refund(self, account):
        """Keep a token for the next request of the account that comes soon."""
        self.lease_of(account).keep(1, self.clock())

    async def ask_keepers(self, account, lease):
        """Return whether one of the keepers granted a token, once it is due.

        Only the last of them is asked for a token that is not there yet.
        """
        keepers = self.keepers_to_ask(account, lease)
        for number, (slot, member) in enumerate(keepers, 1):
            max_wait_ms = MAX_WAIT_MS if number == len(keepers) else 0
            tokens = wanted_tokens(lease)
            request = TokenRequest(
                account.name, slot, tokens, max_wait_ms, self.ring.lost
            )
            reply = await self.ask(member, request)
            if self.settle(lease, slot, reply):
                await asyncio.sleep(reply.wait_ms / 1_000)
                return True
        return False

    def settle(self, lease, slot, reply):
        """Process a keeper's reply; return whether it granted a token."""
        if reply is None or reply.outcome is Outcome.NOT_KEPT:
            return False
        moment = self.clock()
        if reply.outcome is Outcome.EXHAUSTED:
            hold = min(reply.wait_ms / 1_000, MAX_HOLD_SECONDS)
            lease.exhausted_until[slot] = moment + hold
            lease.retry_ms = reply.wait_ms
            return False
        lease.exhausted_until.pop(slot, None)
        lease.keep(reply.granted - 1, moment)
        return True

    def refuse(self, lease):
        """Refuse a request that got no token; raises `CallError`."""
        spread = self.random.uniform(0.5, 1.5)
        if not lease.shortest_wait(self.clock()):
            retry_ms = int(UNKNOWN_RETRY_MS * spread)
            raise CallError(ErrorKind.LIMIT_UNKNOWN, retry_after_ms=retry_ms)
        retry_ms = int(max(MIN_RETRY_MS, lease.retry_ms) * spread)
        raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=retry_ms)

    def lease_of(self, account):
        """Return what is known of an account's limit."""
        lease = self.leases.get(account.name)
        if lease is None:
            lease = self.leases[account.name] = Lease()
        return lease

    def keepers_to_ask(self, account, lease):
        """Return the slots that may have tokens, with their keepers."""
        moment = self.clock()
        positions = slot_positions(account)
        places = [self.ring.owner_at(position) for position in positions]
        found = [
            (slot, place.member)
            for slot, place in enumerate(places)
            if place is not None
            and not place.is_free
            and lease.exhausted_until.get(slot, 0.0) <= moment
            and self.avoided.get(place.member.name, 0.0) <= moment
        ]
        self.random.shuffle(found)
        domain = self.local.failure_domain
        found.sort(key=lambda item: item[1].failure_domain != domain)
        return found

    async def ask(self, member, request):
        """Return a keeper's `TokenReply`, or None when it did not answer."""
        if member is self.local:
            return self.keeper.grant(request)
        self.counters["asked"] += 1
        payload = encode(request)
        try:
            async with asyncio.timeout(ASK_SECONDS):
                answer = await self.links.request(member, TOPIC, payload, ASK_SECONDS)
            return decode_reply(answer)
        except (ProtocolError, OSError, TimeoutError):
            self.counters["unanswered"] += 1
            self.avoid(member)
            return None

    def avoid(self, member):
        """Don't ask a member for a while."""
        moment = self.clock()
        self.avoided = {
            name: until for name, until in self.avoided.items() if until > moment
        }
        self.avoided[member.name] = moment + AVOID_SECONDS

    def policy_changed(self, policy):
        """Forget accounts that policy no longer names."""
        known = policy.accounts.by_name
        self.leases = {name: use for name, use in self.leases.items() if name in known}


def wanted_tokens(lease):
    """Return for how many requests to ask: this one, and soon to come."""
    return 1 + int(lease.rate * LEASE_SECONDS)
