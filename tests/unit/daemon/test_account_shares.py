"""Tests that scarce capacity is divided max-min among accounts."""

import asyncio
import random
import unittest
from math import inf, nan
from types import SimpleNamespace

import msgspec

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.importance import RANKS
from papayabay_core.policy.accounts import Account, RateLimit
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.accounts import (
    AccountShares,
    DemandReports,
    Identity,
    LimitOwner,
    OwnerLimiter,
    messages,
)
from papayabay_daemon._internal.accounts.messages import Outcome, TokenRequest
from papayabay_daemon._internal.accounts.shares import (
    FACTOR_SECONDS,
    REPORT_SECONDS,
    recent_usages,
)
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.lifetime.ranks import rank_of, scaled_rank
from tests.lib.cluster_fakes import make_settings
from tests.unit.daemon import shares_model
from tests.unit.daemon.account_support import account_policy, rule_of
from tests.unit.daemon.routing_support import member

ACCOUNT = Account("a", None, RateLimit(10.0, 16))
OTHER = Account("b", None, RateLimit(10.0, 16))


def limits_policy(**rates):
    accounts = {n: {"rate_per_s": rate, "burst": 16} for n, rate in rates.items()}
    return Policy(PolicyDocument.model_validate({"accounts": accounts}), 1)


class AccountSharesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.shares = AccountShares(lambda: self.now, lambda: 4)

    def test_a_threshold_divides_max_min(self):
        """Guards against an account that sends more and so gets more."""
        generator = random.Random(3)
        demands, limits = {"a": 600, "b": 100, "c": 300}, {"a": 10, "b": 10, "c": 30}
        ranked = []
        for name, demand in demands.items():
            self.shares.learned(name, 0, demand / limits[name] / 30)
            account = Account(name, None, RateLimit(limits[name], 16))
            for _ in range(demand):
                rank = generator.randrange(RANKS)
                ranked.append((scaled_rank(rank, self.shares.arrived(account)), name))
        served = [name for _, name in sorted(ranked)[:500]]
        exact = shares_model.max_min(demands, limits, 500)
        for name in demands:
            self.assertAlmostEqual(served.count(name), exact[name], delta=25)

    def test_usage_is_averaged_and_expires(self):
        """Guards against an old usage that orders requests for ever."""
        self.shares.learned("a", 0, 3.0)
        self.shares.learned("a", 1, 1.0)
        self.assertEqual(self.shares.arrived(ACCOUNT), 1.0)
        self.now += 2.1
        self.assertLess(self.shares.arrived(ACCOUNT), 0.6)

    def test_an_unknown_account_is_ranked_by_what_it_sends_here(self):
        """Guards against unknown accounts behind, or far ahead of, others."""
        self.shares.daemon_count = lambda: 40
        self.shares.learned("b", 0, 0.6)
        self.assertAlmostEqual(self.shares.arrived(ACCOUNT), 0.3, delta=0.15)
        for _ in range(100):
            self.shares.arrived(ACCOUNT)
        self.now += 0.11
        self.assertGreater(self.shares.arrived(ACCOUNT), 5.0)

    def test_a_lowered_limit_is_in_force_at_once(self):
        """Guards against ranks by the limit that an account had before."""
        self.shares.arrived(ACCOUNT)
        self.shares.learned("a", 0, 1.0)
        self.shares.policy_changed(limits_policy(a=2.0))
        lowered = Account("a", None, RateLimit(2.0, 16))
        self.assertEqual(self.shares.arrived(lowered), 2.5)
        self.shares.policy_changed(limits_policy(b=2.0))
        self.assertEqual(self.shares.accounts, {})

    def test_refusals_are_reported_at_an_interval(self):
        """Guards against a message for each refused request."""
        due = []
        for _ in range(100):
            self.shares.arrived(ACCOUNT)
            due.append(self.shares.refused(ACCOUNT))
            self.now += REPORT_SECONDS / 50
        self.assertEqual(due.count(True), 2)

    def test_refusals_are_counted_by_share(self):
        """Guards against a metric that does not tell who sent too much."""
        self.shares.learned("a", 0, 5.0)
        self.shares.learned("b", 0, 0.5)
        self.shares.refused(ACCOUNT)
        self.shares.refused(OTHER)
        counters = self.shares.counters
        self.assertEqual(counters["refused_beyond_share"], 1)
        self.assertEqual(counters["refused_within_share"], 1)


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.policy = limits_policy(a=40.0, b=40.0)
        ring = SimpleNamespace(
            settled_at=0.0, shrunk_at=0.0, version=0, share=1.0,
            is_local=lambda position: True, record_reported_loss=lambda count: None,
        )  # fmt: skip
        links = SimpleNamespace(handle_requests=lambda topic, handler: None)
        self.owner = LimitOwner(lambda: self.policy, ring, links, lambda: self.now)

    def report(self, account="a", wanted=0, demanded=1):
        request = TokenRequest(account, 0, wanted, demanded=demanded)
        return self.owner.grant(request)

    def test_a_report_takes_no_token(self):
        """Guards against tokens spent on requests that are refused."""
        tokens = [self.report().granted for _ in range(50)]
        self.assertEqual((sum(tokens), self.owner.buckets), (0, {}))

    def test_usage_is_demand_by_the_current_limit(self):
        """Guards against usages by a limit that is no longer in force."""
        for _ in range(200):
            self.now += 0.05
            usage = self.report().usage
        self.assertAlmostEqual(usage, 2.0, delta=0.1)
        self.policy = limits_policy(a=10.0, b=40.0)
        self.assertAlmostEqual(self.report().usage, 8.0, delta=0.7)

    def test_usages_of_other_slots_are_stated_too(self):
        """Guards against entries that know nothing of rare accounts."""
        self.report("b")
        self.assertEqual([one[:2] for one in self.report().others], [("b", 0)])

    def test_without_demand_the_reply_is_as_before(self):
        """Guards against work for the shares where the policy has none."""
        reply = self.report(wanted=1, demanded=0)
        self.assertEqual((reply.usage, reply.others), (0.0, []))
        self.assertEqual(self.owner.demands.rates, {})

    def test_messages_of_older_daemons_are_read(self):
        """Guards against limits that fail while daemons are replaced."""
        request = messages.decode_request(msgspec.msgpack.encode(["a", 0, 1, 0, 0]))
        self.assertEqual(request.demanded, 0)
        reply = messages.decode_reply(msgspec.msgpack.encode([0, 1, 0]))
        self.assertEqual((reply.outcome, reply.usage), (Outcome.GRANTED, 0.0))

    def test_implausible_usages_are_not_read(self):
        """Guards against ranks by NaN and usages of slots that can't exist."""
        for usage, other in ((nan, (0, 1.0)), (inf, (0, 1.0)), (1.0, (-1, 1.0))):
            reply = msgspec.msgpack.encode([0, 1, 0, usage, [("b", *other)]])
            with self.assertRaises(ProtocolError):
                messages.decode_reply(reply)


class OlderOwner:
    """Links to an owner of the release before demand was reported.

    It refuses a request for no token, and its replies state no usage.
    """

    def __init__(self):
        self.requests = []

    async def request(self, peer, topic, payload, timeout):
        account, slot, wanted, *_ = msgspec.msgpack.decode(payload)
        self.requests.append(wanted)
        if not wanted:
            raise ProtocolError("malformed token message")
        return msgspec.msgpack.encode([0, wanted, 0])


class OlderOwnerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        entry = SimpleNamespace(member=member("older"), is_reserved=False)
        ring = SimpleNamespace(
            live_count=2, lost_count=0, version=0, owner_at=lambda position: entry
        )
        self.links = OlderOwner()
        self.shares = AccountShares(lambda: self.now, lambda: 2)
        self.limiter = OwnerLimiter(
            member("here"), ring, None, self.links, random.Random(1),
            lambda: self.now, self.shares,
        )  # fmt: skip

    def test_a_reply_without_a_usage_does_not_count_as_no_demand(self):
        """Guards against the best rank for all accounts of older owners."""
        for _ in range(20):
            self.shares.arrived(ACCOUNT)
        asyncio.run(self.limiter.acquire(ACCOUNT))
        self.now += FACTOR_SECONDS
        self.assertEqual(recent_usages(self.shares.accounts["a"], self.now), [])
        self.assertGreater(self.shares.arrived(ACCOUNT), 0.5)

    def test_an_owner_that_reads_no_reports_still_grants_tokens(self):
        """Guards against unknown limits while daemons are replaced."""
        self.shares.arrived(ACCOUNT)
        asyncio.run(self.limiter.report_demand(ACCOUNT))
        asyncio.run(self.limiter.acquire(ACCOUNT))
        self.assertEqual([bool(one) for one in self.links.requests], [False, True])


class EntryTest(unittest.TestCase):
    def enter(self, way):
        """Enter a request of an account with usage 1.0; return its rank."""
        policy = account_policy(small={"rate_per_s": 10, "burst": 16})
        decisions = msgspec.structs.replace(policy.decisions, account_shares=way)
        shares = AccountShares()
        shares.learned("small", 0, 1.0)
        parts = SimpleNamespace(
            policy=lambda: SimpleNamespace(decisions=decisions),
            settings=make_settings("d1"),
            demand_reports=SimpleNamespace(shares=shares),
        )
        flow = CallFlow(parts, None, None, None, None, None, None)
        identity = Identity(policy.accounts.by_name["small"], "digest")
        incoming = SimpleNamespace(
            deadline_ms=None, idempotency_key="", service="svc", method="GET",
            path="/read", headers=[], body=Body(),
        )  # fmt: skip
        return flow.entries.create(incoming, rule_of(policy), "r", identity).rank

    def test_the_policy_key_decides(self):
        """Guards against changed ranks with the default."""
        self.assertEqual(self.enter("none"), rank_of("r"))
        self.assertEqual(self.enter("max-min"), rank_of("r") // 2)

    def test_refusals_for_load_are_reported(self):
        """Guards against demand that is invisible as it is refused early."""
        reported = []

        async def report_demand(account):
            reported.append(account.name)

        async def ended(result):
            if isinstance(result, CallError):
                raise result
            return result

        async def main():
            limiter = SimpleNamespace(report_demand=report_demand)
            results = (
                Answer(200),
                CallError(ErrorKind.RATE_LIMITED),
                Answer(503, kind=ErrorKind.OVERLOADED, effect=Effect.NOT_RUN),
                CallError(ErrorKind.OVERLOADED),
            )
            for number, result in enumerate(results):
                account = Account(f"a{number}", None, RateLimit(10.0, 16))
                shares = AccountShares()
                shares.arrived(account)
                reports = DemandReports(shares, limiter)
                await asyncio.gather(
                    reports.watch(account, ended(result)), return_exceptions=True
                )
                await asyncio.sleep(0)

        asyncio.run(main())
        self.assertEqual(reported, ["a2", "a3"])


class FleetTest(unittest.TestCase):
    def test_owners_place_less_with_the_wrong_accounts(self):
        """Guards against shares by what one of many entries happens to see."""
        misplaced = {
            way: shares_model.run_shares(62, way, seconds=3.0).error(3.0)
            for way in ("none", "own-view", "owners")
        }
        self.assertLess(misplaced["own-view"], misplaced["none"])
        self.assertLess(misplaced["owners"], misplaced["own-view"] / 2)

    def test_demand_is_known_where_all_requests_are_refused(self):
        """Guards against demand that only token requests report."""
        fleet = shares_model.run_shares(8, "owners", seconds=2.0, overload=1e9)
        moment = next(iter(fleet.daemons.values())).limiter.clock()
        for daemon in fleet.daemons.values():
            shares = daemon.limiter.shares
            known = shares.accounts["a3"]
            self.assertTrue(recent_usages(known, moment))
            self.assertAlmostEqual(shares.usage_of(known, moment), 7.5 / 1.6, delta=2.0)

    def test_a_lost_owner_and_a_lowered_limit_are_followed(self):
        """Guards against an order by figures of a lost owner or old limit."""
        for event in (shares_model.kill_owner, shares_model.lower_limit):
            none, *owners = (
                shares_model.run_shares(size, way, event, seconds=3.0).error(2.0)
                for size, way in ((2, "none"), (2, "owners"), (30, "owners"))
            )
            self.assertLess(max(owners), none / 2)


if __name__ == "__main__":
    unittest.main()
