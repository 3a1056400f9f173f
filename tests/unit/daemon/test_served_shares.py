"""Paths that an overload shuts out, and paths that it doesn't."""

import asyncio
import itertools
import random
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy.document import Decisions, validate_policy
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.calls.entry import NO_ACCOUNT, EntryCalls
from papayabay_daemon._internal.lifetime.served_shares import (
    MAX_PATHS,
    ServedShares,
)
from papayabay_daemon._internal.lifetime.work_order import WorkOrder
from tests.unit.daemon.admission_support import OK, make_control, run_virtual

CRITICAL = Importance.CRITICAL
ORDER, LIGHT_ORDER, LOOKUP = "s/order", "s/light", "s/lookup"
CLASSES = {ORDER: CRITICAL, LIGHT_ORDER: CRITICAL, LOOKUP: Importance.NORMAL}
MIN_SERVED_SHARE = 0.25
SLOTS = 4
SERVICE_S = 0.02
CAPACITY = SLOTS / SERVICE_S
REFUSAL = error_answer(CallError(ErrorKind.OVERLOADED))


def rule_of(path_key):
    """Return the rule of a path."""
    return SimpleNamespace(
        service="s", path_key=path_key, importance=CLASSES[path_key],
        deadline_ms=1_000, retry_credits=0, idempotent=True, attempts=0,
    )  # fmt: skip


class Entry:
    """An entry and one service with real admission.

    Attributes
    ----------
    served, sent : dict of str to int
        Requests by path.
    """

    def __init__(self, clock, min_served_share):
        self.clock = clock
        self.random = random.Random(5)
        values = {"decisions": {"min_served_share": min_served_share}}
        policy = Policy(validate_policy(values, "test"))
        self.counters = SimpleNamespace(promoted=0)
        components = SimpleNamespace(policy=lambda: policy, counters=self.counters)
        self.entries = EntryCalls(components)
        self.entries.served_shares = ServedShares(clock)
        self.control = make_control(clock, slots=SLOTS)
        self.sent = dict.fromkeys(CLASSES, 0)
        self.served = dict.fromkeys(CLASSES, 0)

    async def run_request(self, path_key):
        """Send one request and count its end."""
        self.sent[path_key] += 1
        incoming = SimpleNamespace(
            service="s", method="GET", path="/", headers=[], body=None,
            deadline_ms=None, idempotency_key="",
        )  # fmt: skip
        rule = rule_of(path_key)
        call = self.entries.create(incoming, rule, str(self.random.random()))
        call.expires_at = self.clock() + 1.0
        try:
            ticket = await self.control.admit(call)
        except CallError as error:
            self.entries.record_end(rule, error_answer(error))
            return
        await asyncio.sleep(SERVICE_S)
        ticket.finish(OK)
        self.served[path_key] += 1
        self.entries.record_end(rule, Answer(200))

    async def run_load(self, rates, seconds):
        """Send Poisson arrivals of each path, in requests a second."""
        tasks = []

        async def send(path_key, rate):
            end = self.clock() + seconds
            while self.clock() < end:
                tasks.append(asyncio.create_task(self.run_request(path_key)))
                await asyncio.sleep(self.random.expovariate(rate))

        await asyncio.gather(*(send(*item) for item in rates.items()))
        await asyncio.gather(*tasks)

    def served_share(self, path_key):
        """Return the share of a path's requests that were served."""
        return self.served[path_key] / self.sent[path_key]


def run(min_served_share, rates, seconds=30.0):
    """Return an entry after a load."""

    async def main(clock):
        entry = Entry(clock, min_served_share)
        await entry.run_load(rates, seconds)
        return entry

    return run_virtual(main)


class ServedSharesTest(unittest.TestCase):
    def test_lookups_are_served_while_orders_alone_are_an_overload(self):
        """Guards against lookups that are all refused for a whole overload."""
        rates = {ORDER: 2.0 * CAPACITY, LOOKUP: 0.3 * CAPACITY}
        strict, entry = run(0.0, rates), run(MIN_SERVED_SHARE, rates)
        self.assertLess(strict.served_share(LOOKUP), 0.02)
        total = sum(entry.served.values()) / sum(entry.sent.values())
        self.assertGreater(entry.served_share(LOOKUP), 0.8 * MIN_SERVED_SHARE * total)
        lost_orders = strict.served[ORDER] - entry.served[ORDER]
        self.assertLess(lost_orders, 1.5 * entry.served[LOOKUP])

    def test_orders_go_first_while_no_path_falls_short(self):
        """Guards against orders that are refused for lookups served anyway."""
        rates = {ORDER: 0.5 * CAPACITY, LOOKUP: 0.8 * CAPACITY}
        entry = run(MIN_SERVED_SHARE, rates)
        self.assertGreater(entry.served_share(LOOKUP), 0.4)
        self.assertEqual(entry.served_share(ORDER), 1.0)
        self.assertEqual(entry.counters.promoted, 0)

    def test_heavy_path_is_not_shut_out_by_lighter_ones(self):
        """Guards against orders that wait behind all lighter ones."""
        entry = run(MIN_SERVED_SHARE, {}, seconds=0.0)
        decisions = Decisions(equals="work", min_served_share=MIN_SERVED_SHARE)
        work = {ORDER: 400.0, LIGHT_ORDER: 40.0}
        router = SimpleNamespace(path_work=lambda service, key: work[key])
        entry.entries.components.router = router
        ticks = itertools.count()
        entry.entries.work_order = WorkOrder(lambda: 0.2 * next(ticks))
        rules = [rule_of(path_key) for path_key in (LIGHT_ORDER, ORDER)]

        def ranks(rank):
            return [
                entry.entries.priority(rule, NO_ACCOUNT, CRITICAL, rank, decisions).rank
                for rule in rules
            ]

        ranks(8_000)
        self.assertEqual(ranks(8_000), [800, 8_000])
        for _ in range(50):
            entry.entries.served_shares.record(LIGHT_ORDER, Answer(200))
            entry.entries.served_shares.record(ORDER, REFUSAL)
        self.assertEqual(ranks(8_000), [800, 3_200])
        self.assertEqual(ranks(40_000), [4_000, 40_000])

    def test_only_ends_that_priority_could_prevent_count(self):
        """Guards against orders refused for a path whose service is down."""
        shares = ServedShares(clock=lambda: 10.0)
        for _ in range(50):
            shares.record(ORDER, Answer(200))
            shares.record(LOOKUP, error_answer(CallError(ErrorKind.TARGET_LOST)))
        self.assertFalse(shares.falls_short(LOOKUP, MIN_SERVED_SHARE))
        for _ in range(50):
            shares.record(LOOKUP, REFUSAL)
        self.assertTrue(shares.falls_short(LOOKUP, MIN_SERVED_SHARE))
        self.assertFalse(shares.falls_short(ORDER, MIN_SERVED_SHARE))

    def test_a_path_is_judged_by_its_recent_requests(self):
        """Guards against promotions long after an overload has ended."""
        moment = [0.0]
        shares = ServedShares(clock=lambda: moment[0])
        for path_key, answer in ((ORDER, Answer(200)), (LOOKUP, REFUSAL)) * 50:
            shares.record(path_key, answer)
        self.assertTrue(shares.falls_short(LOOKUP, MIN_SERVED_SHARE))
        moment[0] = 60.0
        self.assertFalse(shares.falls_short(LOOKUP, MIN_SERVED_SHARE))

    def test_table_is_bounded(self):
        """Guards against a table that grows with the paths of the policy."""
        shares = ServedShares()
        for number in range(2 * MAX_PATHS):
            shares.record(f"s/{number}", REFUSAL)
        self.assertEqual(len(shares.paths), MAX_PATHS)


if __name__ == "__main__":
    unittest.main()
