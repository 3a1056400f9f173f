"""Tests of the order of equals by their work, with strict order beside it."""

import asyncio
import itertools
import random
import unittest
from collections import Counter
from types import SimpleNamespace

import logbook

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError
from papayabay_core.importance import RANKS, Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.work import WorkModel
from papayabay_daemon._internal.lifetime import work_order
from papayabay_daemon._internal.lifetime.ranks import rank_of, scaled_rank
from papayabay_daemon._internal.lifetime.work_order import WorkOrder
from papayabay_daemon._internal.routing import RoutingTable
from tests.unit.daemon.admission_support import make_call, make_control, run_virtual
from tests.unit.daemon.routing_support import member

HEAVY, LIGHT = "s/book", "s/look"
KINDS = {HEAVY: (0.43, 800.0), LIGHT: (0.14, 70.0)}
"""Slot seconds of a request, and requests a second."""
WARM_UP_S = 3.0


class WorkOrderTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.order = WorkOrder(lambda: self.now)

    def factor(self, path_key, work_ms, importance=Importance.NORMAL):
        return self.order.factor(importance, path_key, work_ms)

    def test_lighter_paths_of_a_class_get_smaller_factors(self):
        """Guards against first place for a path that nothing is known of."""
        self.assertEqual(self.factor(HEAVY, 430.0), 1.0)
        self.assertEqual(self.factor(LIGHT, 43.0), 0.1)
        self.assertEqual(self.factor(LIGHT, 43.0, Importance.CRITICAL), 1.0)
        self.assertEqual(self.factor(LIGHT, 0.0), 1.0)

    def test_refused_path_still_counts_as_the_heaviest(self):
        """Guards against an order that ends when the heavy path is refused.

        A path that is wholly refused brings no answers, so the router soon
        has no figure of it.
        """
        self.factor(HEAVY, 430.0)
        self.now += work_order.WORK_TTL_S - 0.2
        self.assertEqual(self.factor(LIGHT, 43.0), 0.1)
        self.now += 0.4
        self.assertEqual(self.factor(LIGHT, 43.0), 1.0)

    def test_change_of_the_order_is_logged_once(self):
        """Guards against an order of refusals that no operator can see."""
        with logbook.TestHandler() as handler:
            for path_key, work_ms in ((HEAVY, 430.0), (LIGHT, 43.0), (LIGHT, 0.0)):
                self.now += work_order.WORK_TTL_S / 2 + 0.1
                for _ in range(9):
                    self.factor(path_key, work_ms)
        begins, ends = (record.message for record in handler.records)
        self.assertIn("by the work of 2 paths, at most 430 ms", begins)
        self.assertIn("by rank alone again", ends)

    def test_table_is_bounded(self):
        """Guards against a table that grows with the paths of the policy."""
        for number in range(2 * work_order.MAX_PATHS):
            self.factor(f"s/{number}", 1.0)
        paths = self.order.classes[Importance.NORMAL].paths
        self.assertEqual(len(paths), work_order.MAX_PATHS)


class EntryTest(unittest.TestCase):
    incoming = SimpleNamespace(
        service="s", method="GET", path="/", headers=[], body=None, deadline_ms=None,
        idempotency_key="",
    )  # fmt: skip

    def flow(self, **decisions):
        policy = Policy(validate_policy({"decisions": decisions}, "test"))
        work = {HEAVY: 430.0, LIGHT: 43.0}
        router = SimpleNamespace(path_work=lambda service, key: work.get(key, 0.0))
        counters = SimpleNamespace(promoted=0)
        components = SimpleNamespace(
            policy=lambda: policy, router=router, counters=counters
        )
        return CallFlow(components, None, None, None, None, None, None)

    def rule(self, path_key):
        return SimpleNamespace(
            service="s", path_key=path_key, importance=Importance.NORMAL,
            deadline_ms=2_000, retry_credits=0, idempotent=True, attempts=0,
        )  # fmt: skip

    def priority(self, path_key, short=False, **decisions):
        flow = self.flow(min_served_share=1.0, **decisions)
        flow.entries.served_shares = SimpleNamespace(falls_short=lambda *path: short)
        for key in (HEAVY, path_key):
            call = flow.entries.create(self.incoming, self.rule(key), "id")
        return call.importance, call.rank

    def test_rank_is_scaled_by_the_work_of_the_path(self):
        """Guards against an entry that orders by work when it must not."""
        rank = rank_of("id")
        self.assertEqual(self.priority(LIGHT), (1, rank))
        self.assertEqual(self.priority(LIGHT, equals="work"), (1, int(rank * 0.1)))
        self.assertEqual(self.priority(HEAVY, equals="work"), (1, rank))
        self.assertEqual(self.priority("s/new", equals="work"), (1, rank))
        promoted = self.priority(LIGHT, short=True, equals="work")
        self.assertEqual(promoted, (0, rank))

    def test_refused_request_is_logged_with_its_work(self):
        """Guards against refusals whose reason the decision log lacks."""
        fields = self.flow(equals="work").entries.work_fields(self.rule(LIGHT))
        self.assertEqual(fields, {"work_ms": 43.0})
        self.assertEqual(self.flow().entries.work_fields(self.rule(LIGHT)), {})


class ScarceService:
    """An entry and one scarce service with real admission and routing."""

    def __init__(self, clock, way, capacity_share, seed):
        self.clock, self.way, self.random = clock, way, random.Random(seed)
        equals = "rank" if way == "rank" else "work"
        policy = Policy(validate_policy({"decisions": {"equals": equals}}, "test"))
        demand = sum(seconds * rate for seconds, rate in KINDS.values())
        slots = round(capacity_share * demand)
        self.control = make_control(clock, slots=slots)
        self.target = member("u", slots=slots)
        listed = [self.target]
        members = SimpleNamespace(local=member("here"), upstreams=lambda name: listed)
        self.router = RoutingTable(members, lambda: policy, self.random, clock)
        work = WorkModel(self.router, lambda: policy, RunCounts())
        self.control.set_work_source(work.work_ms)
        self.order = WorkOrder(clock)
        self.arrived, self.served = Counter(), Counter()

    def rank(self, path_key):
        rank = self.random.randrange(RANKS)
        work_ms = self.router.path_work("s", path_key)
        factor = self.order.factor(Importance.NORMAL, path_key, work_ms)
        if self.way == "strict":
            return (rank + (factor >= 1.0) * RANKS) // len(KINDS)
        return scaled_rank(rank, factor)

    async def request(self, path_key):
        started = self.clock()
        call = make_call(
            self.clock, rank=self.rank(path_key), lifetime=2.0, path=path_key
        )
        counted = started >= WARM_UP_S
        self.arrived[path_key] += counted
        try:
            self.router.choose(call, ())
        except CallError:
            return
        self.router.started(self.target, call)
        answer = Answer(200)
        try:
            ticket = await self.control.admit(call)
            await asyncio.sleep(KINDS[path_key][0])
            ticket.finish(answer)
            self.served[path_key] += counted
        except CallError as error:
            answer = Answer(503, kind=error.kind)
        answer.load = self.control.load(path_key)
        self.router.ended(self.target, call, answer, self.clock() - started)

    async def run(self, seconds):
        async with asyncio.TaskGroup() as group:
            for path_key in KINDS:
                group.create_task(self.arrivals(group, path_key, seconds))
        self.control.close()
        return {key: self.served[key] / self.arrived[key] for key in KINDS}

    async def arrivals(self, group, path_key, seconds):
        while self.clock() < seconds:
            group.create_task(self.request(path_key))
            await asyncio.sleep(self.random.expovariate(KINDS[path_key][1]))


def served_shares(way, capacity_share, seed=11, seconds=12.0):
    """Return the served share of each kind, by way of ordering equals."""
    return run_virtual(
        lambda clock: ScarceService(clock, way, capacity_share, seed).run(seconds)
    )


class ComparisonTest(unittest.TestCase):
    def test_light_requests_are_served_before_heavy_ones(self):
        """Guards against a service that is full of the heaviest requests.

        The service has capacity for 60 in 100 of its demand. By rank alone,
        equal shares of both kinds are served. The light kind takes 3 in 100
        of the demand, and nearly all of it fits.
        """
        by_rank, scaled = served_shares("rank", 0.6), served_shares("work", 0.6)
        self.assertLess(by_rank[LIGHT], 0.75)
        self.assertGreater(scaled[LIGHT], 0.95)
        self.assertGreater(scaled[HEAVY], by_rank[HEAVY] - 0.05)


if __name__ == "__main__":
    for share, way in itertools.product((0.6, 0.2), ("rank", "work", "strict")):
        runs = [served_shares(way, share, seed, 30.0) for seed in range(10)]
        for key in KINDS:
            shares = sorted(round(run[key], 3) for run in runs)
            print(share, way, key, f"{sum(shares) / len(shares):.3f}", shares)
