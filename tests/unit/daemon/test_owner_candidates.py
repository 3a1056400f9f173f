"""Tests of which owners of a limit are asked, and of what these keep."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_daemon._internal.accounts import LimitOwner, OwnerLimiter
from papayabay_daemon._internal.accounts.candidates import CandidateOwners
from papayabay_daemon._internal.accounts.messages import (
    Outcome,
    TokenReply,
    TokenRequest,
    decode_request,
    encode,
)
from papayabay_daemon._internal.accounts.slots import slot_positions
from papayabay_daemon._internal.interfaces import Member

SMALL = Account("a", None, RateLimit(1.0, 1))
LARGE = Account("a", None, RateLimit(40.0, 40))
LOCAL = Member("local", 1, "127.0.0.1", 1, 2, 3, "near", "region")


class Ring:
    """A ring on which each slot of `LARGE` has an owner of its own."""

    def __init__(self, *domains):
        self.version = 1
        self.lost_count = 0
        self.live_count = 5
        self.entries = {}
        positions = slot_positions(LARGE)
        for number, domain in enumerate(domains):
            member = Member(
                f"owner-{number}", 1, "127.0.0.1", 1, 2, 3, domain, "region"
            )
            entry = SimpleNamespace(member=member, is_reserved=False)
            self.entries[positions[number]] = entry

    def owner_at(self, position):
        return self.entries.get(position)


class CandidateOwnersTest(unittest.TestCase):
    def setUp(self):
        self.ring = Ring("near", "far", "near", "far")
        self.owners = CandidateOwners(LOCAL, self.ring, random.Random(7))

    def slots(self, account=LARGE):
        return tuple(slot for slot, _ in self.owners.draw(account))

    def test_all_orders_with_the_own_domain_first_are_drawn_alike(self):
        """Guards against a slot that runs out of tokens before the others."""
        counts = {}
        for _ in range(4_000):
            order = self.slots()
            counts[order] = counts.get(order, 0) + 1
        expected = {(*n, *f) for n in ((0, 2), (2, 0)) for f in ((1, 3), (3, 1))}
        self.assertEqual(counts.keys(), expected)
        for count in counts.values():
            self.assertAlmostEqual(count, 1_000, delta=150)

    def test_owner_of_another_slot_number_is_not_mixed_up(self):
        for slot, member in self.owners.draw(LARGE):
            self.assertEqual(member.name, f"owner-{slot}")

    def test_change_of_the_ring_is_followed(self):
        """Guards against questions to a dead owner until the next restart."""
        self.slots()
        position = slot_positions(LARGE)[0]
        self.ring.entries[position].is_reserved = True
        self.ring.version += 1
        self.assertNotIn(0, self.slots())

    def test_changed_limit_is_followed(self):
        """Guards against a raised limit of which one slot is used."""
        self.assertEqual(self.slots(SMALL), (0,))
        self.assertEqual(len(self.slots(LARGE)), 4)
        self.assertEqual(self.slots(SMALL), (0,))

    def test_ring_without_owners_gives_no_candidate(self):
        self.ring.entries.clear()
        self.assertEqual(self.slots(), ())


class ExhaustedLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 100.0
        self.waits_ms = [400, 300, 200, 100]
        self.asked = []
        ring = Ring("near", "near", "near", "near")
        self.limiter = OwnerLimiter(
            LOCAL, ring, None, self, random.Random(3), lambda: self.now
        )

    async def request(self, peer, topic, payload, timeout):
        """Answer a token request as the links would."""
        request = decode_request(payload)
        self.asked.append(request.slot)
        wait_ms = self.waits_ms[request.slot]
        if wait_ms is None:
            return encode(TokenReply(Outcome.GRANTED, 1))
        return encode(TokenReply(Outcome.EXHAUSTED, wait_ms=wait_ms))

    async def refused(self, account=LARGE):
        with self.assertRaises(CallError) as raised:
            await self.limiter.acquire(account)
        self.retry_after_ms = raised.exception.retry_after_ms
        return raised.exception.kind

    async def test_retry_after_is_not_before_the_owners_next_token(self):
        """Guards against retries that are refused for the same limit."""
        self.waits_ms = [400] * 4
        times = set()
        for _ in range(50):
            await self.refused()
            times.add(self.retry_after_ms)
        self.assertGreaterEqual(min(times), 400)
        self.assertGreater(len(times), 20)

    async def test_owners_are_not_asked_before_one_has_a_token(self):
        """Guards against messages for each request beyond a limit."""
        for _ in range(50):
            self.assertIs(await self.refused(), ErrorKind.RATE_LIMITED)
        self.assertEqual(sorted(self.asked), [0, 1, 2, 3])

    async def test_owner_is_asked_as_soon_as_it_has_a_token(self):
        """Guards against a limit that can't be used up."""
        await self.refused()
        self.asked.clear()
        self.waits_ms[3] = None
        self.now += 0.1
        await self.limiter.acquire(LARGE)
        self.assertEqual(self.asked, [3])

    async def test_raised_limit_is_used_at_once(self):
        """Guards against refusals by the previous policy's limit."""
        self.waits_ms[0] = 900
        await self.refused(SMALL)
        self.waits_ms[1] = None
        await self.limiter.acquire(LARGE)
        self.assertIn(1, self.asked)

    async def test_owner_without_an_answer_keeps_the_limit_open(self):
        """Guards against refusals as rate-limited for an unknown limit."""
        request = self.request

        async def lose(peer, *args):
            if peer.name == "owner-2":
                raise OSError
            return await request(peer, *args)

        self.request = lose
        await self.refused()
        self.now += 0.09
        lease = self.limiter.lease_of(LARGE)
        self.assertLessEqual(lease.closed_until, self.now)

    async def test_token_request_without_an_answer_ends_in_time(self):
        """Guards against requests that wait for an owner that hangs."""
        self.request = lambda *args: asyncio.Event().wait()
        async with asyncio.timeout(10):
            self.assertIs(await self.refused(), ErrorKind.LIMIT_UNKNOWN)


class LimitOwnerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.accounts = {"a": LARGE}
        self.ring = SimpleNamespace(
            settled_at=0.0, shrunk_at=0.0, version=0, share=1.0,
            is_local=lambda position: True, record_reported_loss=lambda count: None,
        )  # fmt: skip
        self.owner = LimitOwner(
            lambda: SimpleNamespace(accounts=SimpleNamespace(by_name=self.accounts)),
            self.ring,
            SimpleNamespace(handle_requests=lambda topic, handler: None),
            lambda: self.now,
        )

    def rate(self, slot=0):
        """Return the rate of a slot's bucket after a request."""
        self.owner.grant(TokenRequest("a", slot, 1))
        return self.owner.buckets["a", slot].rate

    def outcome(self, slot=0):
        return self.owner.grant(TokenRequest("a", slot, 1)).outcome

    def test_share_of_the_members_is_followed(self):
        """Guards against both sides of a partition granting a whole limit."""
        self.assertEqual(self.rate(), 10.0)
        self.ring.share = 0.5
        self.assertEqual([self.rate(slot) for slot in (0, 1, 0)], [5.0] * 3)
        self.ring.share = 1.0
        self.assertEqual([self.rate(slot) for slot in (0, 1)], [10.0] * 2)

    def test_slot_of_another_daemon_is_not_granted(self):
        """Guards against the same tokens granted by two daemons."""
        self.rate()
        self.ring.is_local = lambda position: False
        self.ring.version += 1
        self.assertIs(self.outcome(), Outcome.NOT_OWNER)

    def test_removed_account_gets_no_token(self):
        self.rate()
        self.accounts.clear()
        self.assertIs(self.outcome(), Outcome.NOT_OWNER)

    def test_slot_beyond_a_lowered_limit_is_not_granted(self):
        self.rate(3)
        self.accounts["a"] = SMALL
        self.assertIs(self.outcome(3), Outcome.NOT_OWNER)
