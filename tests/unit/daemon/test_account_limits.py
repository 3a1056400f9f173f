"""Rate limits of client accounts over a whole fleet, in virtual time."""

import asyncio
import os
import random
import unittest
from types import SimpleNamespace

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_core.policy.document import Objective, PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.accounts import RateLimits, messages
from papayabay_daemon._internal.accounts.buckets import TokenBucket
from papayabay_daemon._internal.accounts.slots import slot_limit, slot_positions
from tests.unit.daemon import limits_fleet as fleets

LOST_WHEN_CALM = 0.01
LOST_WHEN_JUMPING = 0.05
SEEDS_OF_FAULTS = (9, 41, 115, 280)
"""Processes that start while they are cut off, and take a side for all."""
DRAWN_DAYS = int(os.environ.get("PAPAYABAY_LIMIT_SEEDS", "4"))
"""Drawn days that a run plays; 300 by hand."""


def play(scenario, size, **settings):
    return fleets.play(scenario, size, a=fleets.LIMIT, b=fleets.LIMIT, **settings)


class FleetTests(unittest.TestCase):
    def assert_held(self, fleet, account="a"):
        self.assertLessEqual(fleet.most_in_window(account), fleet.bound(account))

    def test_a_calm_fleet_refuses_nothing_below_the_limit(self):
        """Guards against limits that are lost in many small parts."""
        for size in (2, 62, 195):
            fleet = play(fleets.calm, size)
            self.assert_held(fleet)
            self.assertLess(fleet.lost("a"), LOST_WHEN_CALM)

    def test_an_account_of_few_requests_may_use_its_limit(self):
        """Guards against slots too shallow to hold what comes in a moment."""
        for size in (2, 62):
            fleet = fleets.play(fleets.at_the_limit, size, a=(6.0, 6))
            self.assert_held(fleet)
            self.assertLess(fleet.lost("a"), LOST_WHEN_JUMPING)

    def test_an_account_may_use_one_entry_only(self):
        """Guards against an entry that may grant its own part alone."""
        fleet = play(fleets.small, 62)
        self.assertLess(fleet.lost("a"), LOST_WHEN_CALM)

    def test_traffic_may_jump_between_entries(self):
        """Guards against parts that follow the load too slowly."""
        fleet = play(fleets.jumping, 62)
        self.assert_held(fleet)
        self.assertLess(fleet.lost("a"), LOST_WHEN_JUMPING)

    def test_an_account_beyond_its_limit_holds_up_no_other(self):
        """Guards against keepers that are busy with one account's refusals."""
        for size in (2, 62, 195):
            fleet = play(fleets.hot, size)
            self.assert_held(fleet)
            self.assertLess(fleet.lost("a"), LOST_WHEN_JUMPING)
            self.assertLess(fleet.lost("b"), LOST_WHEN_CALM)

    def test_without_one_keeper_the_others_grant_enough(self):
        """Guards against an account that depends on one daemon."""
        fleet = play(fleets.keeper_killed, 62)
        self.assert_held(fleet)
        self.assertLess(fleet.lost("a"), LOST_WHEN_JUMPING)

    def test_a_restart_of_all_grants_no_limit_anew(self):
        """Guards against buckets that are full after a loss of power."""
        for size in (2, 62, 195):
            self.assert_held(play(fleets.all_killed, size))

    def test_a_restart_of_all_costs_little_more_than_its_time(self):
        """Guards against limits that can't be checked long after a restart."""
        fleet = play(fleets.all_restarted, 62)
        self.assert_held(fleet)
        self.assertLess(fleet.lost("a"), 0.05)

    def test_a_partition_grants_no_limit_twice(self):
        """Guards against a keeper on each side that grants all of it."""
        for size in (62, 195):
            self.assert_held(play(fleets.parted, size))

    def test_a_lower_limit_holds_from_its_version_on(self):
        """Guards against tokens that were saved up by a higher limit."""
        self.assert_held(play(fleets.lowered, 62))

    def test_no_window_of_any_day_is_beyond_the_limit(self):
        """Guards against troubles that come together or in series."""
        for seed in {*SEEDS_OF_FAULTS, *range(DRAWN_DAYS)}:
            size = random.Random(seed).choice((2, 7, 24))
            with self.subTest(seed=seed):
                fleet = play(drawn_day(seed), size, seed=seed)
                self.assert_held(fleet)
                self.assert_held(fleet, "b")


def drawn_day(seed):
    """Return a scenario of drawn kills, cuts, starts and loads."""
    drawn = random.Random(f"day-{seed}")

    async def day(fleet):
        names = list(fleet.members)
        sending = [
            asyncio.ensure_future(
                fleet.send(account, fleets.USUAL * drawn.choice((0.5, 1, 2, 8)), 25.0)
            )
            for account in ("a", "b")
        ]
        for _ in range(6):
            await asyncio.sleep(drawn.uniform(0.3, 5.0))
            some = drawn.sample(names, drawn.randint(1, len(names)))
            kind = drawn.choice(("kill", "cut", "heal", "start"))
            if kind == "kill":
                fleet.kill([name for name in some if name in fleet.daemons])
            elif kind == "cut":
                fleet.cut(some)
            elif kind == "heal":
                fleet.cut([])
            else:
                fleet.start([name for name in names if name not in fleet.daemons])
        await asyncio.gather(*sending)

    return day


class RefusalTests(unittest.TestCase):
    def refused(self, retry_ms, latency_ms):
        class Exhausted:
            async def acquire(self, account):
                raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=retry_ms)

        policy = Policy(PolicyDocument(), 1)
        limits = RateLimits(lambda: policy, {"keepers": Exhausted()}, random.Random(1))
        account = Account("a", None, RateLimit(1.0, 1))
        objective = latency_ms and Objective(good_share=0.9, latency_ms=latency_ms)
        with self.assertRaises(CallError) as raised:
            asyncio.run(limits.acquire(account, SimpleNamespace(objective=objective)))
        self.assertEqual(limits.uses["a"].limited, 1)
        return raised.exception.retry_after_ms

    def test_a_caller_comes_back_while_an_answer_may_be_in_time(self):
        """Guards against repeats that are let in when they are late."""
        self.assertTrue(75 <= self.refused(4_000, 300) <= 150)
        self.assertEqual(self.refused(90, 300), 90)
        self.assertEqual(self.refused(4_000, None), 4_000)


class BucketTests(unittest.TestCase):
    def test_it_is_empty_at_first_and_never_above_its_depth(self):
        bucket = TokenBucket(10.0, 5.0, 100.0)
        self.assertEqual(bucket.take(100.0), 0)
        taken = [bucket.take(200.0) for _ in range(6)]
        self.assertEqual(taken, [1, 1, 1, 1, 1, 0])

    def test_tokens_in_advance_come_from_what_is_plenty(self):
        """Guards against tokens that lie idle while others are refused."""
        bucket = TokenBucket(10.0, 8.0, 0.0)
        self.assertEqual([bucket.take(100.0, 3) for _ in range(4)], [3, 1, 1, 1])

    def test_a_token_that_is_due_soon_is_reserved(self):
        """Guards against a wait after which another takes the token."""
        bucket = TokenBucket(10.0, 5.0, 0.0)
        waits = [bucket.reserve(0.0, 0.25) for _ in range(3)]
        self.assertEqual([round(wait, 3) for wait in waits[:2]], [0.1, 0.2])
        self.assertIsNone(waits[2])
        self.assertEqual(bucket.take(0.2), 0)

    def test_refused_ones_come_back_at_the_rate_of_the_limit(self):
        """Guards against callers that all come back at the same moment."""
        bucket = TokenBucket(10.0, 5.0, 0.0)
        waits = [round(bucket.retry_s(0.0), 3) for _ in range(4)]
        self.assertEqual(waits, [0.1, 0.2, 0.3, 0.4])

    def test_a_clock_that_goes_back_grants_nothing(self):
        bucket = TokenBucket(10.0, 5.0, 0.0)
        bucket.take(1.0)
        bucket.take(0.5)
        self.assertLessEqual(bucket.tokens, 5.0)
        self.assertEqual(bucket.refilled_at, 1.0)


class SlotTests(unittest.TestCase):
    def test_slots_are_together_the_limit(self):
        limits = RateLimit(48.0, 48), RateLimit(20.0, 17), RateLimit(1.0, 1)
        for limit in limits:
            account = Account("a", None, limit)
            count = len(slot_positions(account))
            slot = slot_limit(limit, 1.0)
            self.assertAlmostEqual(slot.rate_per_s * count, limit.rate_per_s)
            self.assertAlmostEqual(slot.depth * count, limit.burst)

    def test_a_limit_without_burst_still_grants(self):
        self.assertEqual(slot_limit(RateLimit(2.0, 0), 1.0).depth, 1.0)


class MessageTests(unittest.TestCase):
    def test_messages_survive_their_way(self):
        request = messages.TokenRequest("a", 3, 2)
        encoded = messages.encode(request)
        self.assertEqual(messages.decode_request(encoded), request)
        reply = messages.TokenReply(messages.Outcome.EXHAUSTED, wait_ms=70)
        self.assertEqual(messages.decode_reply(messages.encode(reply)), reply)

    def test_malformed_ones_are_refused(self):
        """Guards against a peer's bytes that end a task."""
        wrong = (b"", b"\x00", messages.encode(["a", -1, 1]), messages.encode([1]))
        for payload in wrong:
            with self.assertRaises(ProtocolError):
                messages.decode_request(payload)


if __name__ == "__main__":
    unittest.main()
