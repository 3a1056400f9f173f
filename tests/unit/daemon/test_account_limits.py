"""Rate limits of client accounts across a simulated fleet."""

import asyncio
import os
import random
import unittest

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.accounts import RateLimits, messages
from papayabay_daemon._internal.accounts.buckets import TokenBucket
from papayabay_daemon._internal.accounts.slots import slot_limit, slot_positions
from tests.unit.daemon import limits_fleet as fleets

MAX_LOST_CALM = 0.01
MAX_LOST = 0.05
"""Shares of requests that may be refused below the limit."""
FAULT_SEEDS = (9, 41, 115, 280)
"""Runs in which processes start during a partition. The ring of such a process
took the members on its side for all members."""
RANDOM_RUNS = int(os.environ.get("PAPAYABAY_LIMIT_SEEDS", "4"))
"""Random runs per test run; 300 when run by hand."""


def run_scenario(scenario, size, **settings):
    return fleets.run_scenario(
        scenario, size, a=fleets.LIMIT, b=fleets.LIMIT, **settings
    )


class FleetTests(unittest.TestCase):
    def assert_within_limit(self, fleet, account="a"):
        self.assertLessEqual(fleet.most_in_window(account), fleet.bound(account))

    def test_a_fleet_without_faults_refuses_little_below_the_limit(self):
        """Guards against tokens that are lost in shares too small to use."""
        for size in (2, 62, 195):
            fleet = run_scenario(fleets.calm, size)
            self.assert_within_limit(fleet)
            self.assertLess(fleet.lost_share("a"), MAX_LOST_CALM)

    def test_a_small_limit_can_be_used_up(self):
        """Guards against slots too shallow for small bursts of requests."""
        for size in (2, 62):
            fleet = fleets.run_scenario(fleets.at_the_limit, size, a=(6.0, 6))
            self.assert_within_limit(fleet)
            self.assertLess(fleet.lost_share("a"), MAX_LOST)

    def test_an_account_can_use_its_limit_through_one_entry(self):
        """Guards against an entry that grants only its own share."""
        fleet = run_scenario(fleets.one_entry, 62)
        self.assertLess(fleet.lost_share("a"), MAX_LOST_CALM)

    def test_traffic_may_move_between_entries(self):
        """Guards against shares that adapt to the load too slowly."""
        fleet = run_scenario(fleets.alternating_entries, 62)
        self.assert_within_limit(fleet)
        self.assertLess(fleet.lost_share("a"), MAX_LOST)

    def test_an_account_over_its_limit_affects_no_other(self):
        """Guards against owners that are busy refusing one account."""
        for size in (2, 62, 195):
            fleet = run_scenario(fleets.over_limit, size)
            self.assert_within_limit(fleet)
            self.assertLess(fleet.lost_share("a"), MAX_LOST)
            self.assertLess(fleet.lost_share("b"), MAX_LOST_CALM)

    def test_without_one_owner_the_others_grant_enough(self):
        """Guards against a limit that depends on a single daemon."""
        fleet = run_scenario(fleets.owner_killed, 62)
        self.assert_within_limit(fleet)
        self.assertLess(fleet.lost_share("a"), MAX_LOST)

    def test_a_restart_of_all_daemons_does_not_renew_limits(self):
        """Guards against buckets that are full after a power failure."""
        for size in (2, 62, 195):
            self.assert_within_limit(run_scenario(fleets.all_killed, size))

    def test_limits_are_granted_soon_after_all_daemons_restart(self):
        """Guards against limits that stay unknown long after a restart."""
        fleet = run_scenario(fleets.all_restarted, 62)
        self.assert_within_limit(fleet)
        self.assertLess(fleet.lost_share("a"), 0.05)

    def test_a_partition_does_not_double_a_limit(self):
        """Guards against owners on each side that grant the whole limit."""
        for size in (62, 195):
            self.assert_within_limit(run_scenario(fleets.partitioned, size))

    def test_a_lowered_limit_holds_at_once(self):
        """Guards against tokens that accumulated under the higher limit."""
        self.assert_within_limit(run_scenario(fleets.limit_lowered, 62))

    def test_random_faults_never_exceed_the_limit(self):
        """Guards against combinations and sequences of faults."""
        for seed in {*FAULT_SEEDS, *range(RANDOM_RUNS)}:
            size = random.Random(seed).choice((2, 7, 24))
            with self.subTest(seed=seed):
                fleet = run_scenario(random_scenario(seed), size, seed=seed)
                self.assert_within_limit(fleet)
                self.assert_within_limit(fleet, "b")


def random_scenario(seed):
    """Return a scenario with random kills, partitions, starts and load."""
    rng = random.Random(f"day-{seed}")

    async def scenario(fleet):
        names = list(fleet.members)
        sending = [
            asyncio.ensure_future(
                fleet.send(
                    account, fleets.USUAL_RATE * rng.choice((0.5, 1, 2, 8)), 25.0
                )
            )
            for account in ("a", "b")
        ]
        for _ in range(6):
            await asyncio.sleep(rng.uniform(0.3, 5.0))
            some = rng.sample(names, rng.randint(1, len(names)))
            kind = rng.choice(("kill", "cut", "heal", "start"))
            if kind == "kill":
                fleet.kill([name for name in some if name in fleet.daemons])
            elif kind == "cut":
                fleet.partition(some)
            elif kind == "heal":
                fleet.partition([])
            else:
                fleet.start([name for name in names if name not in fleet.daemons])
        await asyncio.gather(*sending)

    return scenario


class RefusalTests(unittest.TestCase):
    def test_retry_after_of_a_limit_is_passed_on(self):
        """Guards against callers that come back before the limit allows it."""

        class Exhausted:
            async def acquire(self, account):
                raise CallError(ErrorKind.RATE_LIMITED, retry_after_ms=4_000)

        policy = Policy(PolicyDocument(), 1)
        limits = RateLimits(lambda: policy, {"keepers": Exhausted()})
        with self.assertRaises(CallError) as raised:
            asyncio.run(limits.acquire(Account("a", None, RateLimit(1.0, 1))))
        self.assertEqual(limits.uses["a"].limited, 1)
        self.assertEqual(raised.exception.retry_after_ms, 4_000)

    def test_no_bucket_tells_a_time_before_its_next_token(self):
        """Guards against retries that are refused for the same limit."""
        rng = random.Random(3)
        for _ in range(200):
            bucket = TokenBucket(rng.choice((0.1, 1.0, 30.0)), rng.choice((1, 9)), 0.0)
            moment = rng.uniform(0.0, 1.0)
            bucket.take(moment)
            if bucket.tokens < 1.0:
                delay = bucket.next_retry_delay(moment)
                self.assertTrue(bucket.take(moment + delay + 1e-9))


class BucketTests(unittest.TestCase):
    def test_it_starts_empty_and_never_exceeds_its_depth(self):
        bucket = TokenBucket(10.0, 5.0, 100.0)
        self.assertEqual(bucket.take(100.0), 0)
        taken = [bucket.take(200.0) for _ in range(6)]
        self.assertEqual(taken, [1, 1, 1, 1, 1, 0])

    def test_tokens_in_advance_come_from_the_upper_half(self):
        """Guards against tokens that go unused while others are refused."""
        bucket = TokenBucket(10.0, 8.0, 0.0)
        self.assertEqual([bucket.take(100.0, 3) for _ in range(4)], [3, 1, 1, 1])

    def test_a_token_that_is_available_soon_is_reserved(self):
        """Guards against a waiting request that loses its token to another."""
        bucket = TokenBucket(10.0, 5.0, 0.0)
        waits = [bucket.reserve(0.0, 0.25) for _ in range(3)]
        self.assertEqual([round(wait, 3) for wait in waits[:2]], [0.1, 0.2])
        self.assertIsNone(waits[2])
        self.assertEqual(bucket.take(0.2), 0)

    def test_refused_requests_are_retried_at_the_rate_of_the_limit(self):
        """Guards against callers that all retry at the same time."""
        bucket = TokenBucket(10.0, 5.0, 0.0)
        waits = [round(bucket.next_retry_delay(0.0), 3) for _ in range(4)]
        self.assertEqual(waits, [0.1, 0.2, 0.3, 0.4])

    def test_a_clock_that_goes_back_adds_no_tokens(self):
        bucket = TokenBucket(10.0, 5.0, 0.0)
        bucket.take(1.0)
        bucket.take(0.5)
        self.assertLessEqual(bucket.tokens, 5.0)
        self.assertEqual(bucket.refilled_at, 1.0)


class SlotTests(unittest.TestCase):
    def test_slots_add_up_to_the_limit(self):
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
    def test_messages_round_trip(self):
        request = messages.TokenRequest("a", 3, 2)
        encoded = messages.encode(request)
        self.assertEqual(messages.decode_request(encoded), request)
        reply = messages.TokenReply(messages.Outcome.EXHAUSTED, wait_ms=70)
        self.assertEqual(messages.decode_reply(messages.encode(reply)), reply)

    def test_malformed_requests_are_rejected(self):
        """Guards against malformed bytes from a peer that end a task."""
        malformed = (b"", b"\x00", messages.encode(["a", -1, 1]), messages.encode([1]))
        for payload in malformed:
            with self.assertRaises(ProtocolError):
                messages.decode_request(payload)


if __name__ == "__main__":
    unittest.main()
