"""Tests of the order of equals by their work, with strict order beside it."""

import asyncio
import itertools
import random
import unittest
from types import SimpleNamespace

import logbook

from papayabay_core.calls import Answer, Call
from papayabay_core.errors import CallError
from papayabay_core.importance import RANKS, Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.work import WorkModel
from papayabay_daemon._internal.lifetime import work_order
from papayabay_daemon._internal.lifetime.ranks import rank_of, scaled_rank
from papayabay_daemon._internal.lifetime.work_order import WorkOrder
from papayabay_daemon._internal.routing import RoutingTable
from tests.unit.daemon.admission_support import make_control, run_virtual
from tests.unit.daemon.routing_support import member

HEAVY, LIGHT = "room/book", "room/look"
KINDS = {HEAVY: (0.43, 800.0), LIGHT: (0.14, 70.0)}
"""Slot seconds of a request, and requests a second."""
DEMAND = sum(seconds * rate for seconds, rate in KINDS.values())


class WorkOrderTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.order = WorkOrder(lambda: self.now)

    def factor(self, path_key, work_ms, importance=Importance.NORMAL):
        return self.order.factor(importance, path_key, work_ms)

    def test_lighter_paths_of_a_class_get_smaller_factors(self):
        """Guards against light requests refused as often as heavy ones."""
        self.assertEqual(self.factor(HEAVY, 430.0), 1.0)
        self.assertEqual(self.factor(LIGHT, 43.0), 0.1)
        self.assertEqual(self.factor(LIGHT, 43.0, Importance.CRITICAL), 1.0)

    def test_unknown_work_changes_nothing(self):
        """Guards against first place for a path that nothing is known of."""
        self.factor(HEAVY, 430.0)
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
            self.now += work_order.WORK_TTL_S
            self.factor(LIGHT, 0.0)
        self.assertEqual(
            [record.message for record in handler.records],
            [
                "normal requests are ordered by the work of 2 paths, at most 430 ms",
                "normal requests are ordered by rank alone again",
            ],
        )

    def test_table_is_bounded(self):
        """Guards against a table that grows with the paths of the policy."""
        for number in range(2 * work_order.MAX_PATHS):
            self.factor(f"room/{number}", 1.0)
        paths = self.order.classes[Importance.NORMAL].paths
        self.assertEqual(len(paths), work_order.MAX_PATHS)


class EntryTest(unittest.TestCase):
    def entry_call(self, path_key="room/look", **decisions):
        policy = Policy(validate_policy({"decisions": decisions}, "test"))
        router = SimpleNamespace(
            path_work=lambda service, key: {HEAVY: 430.0, LIGHT: 43.0}.get(key, 0.0)
        )
        components = SimpleNamespace(policy=lambda: policy, router=router)
        flow = CallFlow(components, None, None, None, None, None, None)
        for key in (HEAVY, path_key):
            call = flow.entry_call(INCOMING, rule_of(key), "id")
        return call

    def test_rank_is_scaled_by_the_work_of_the_path(self):
        """Guards against an entry that leaves the order to chance."""
        rank = rank_of("id")
        self.assertEqual(self.entry_call().rank, rank)
        scaled = self.entry_call(equals="work")
        self.assertEqual((scaled.rank, scaled.importance), (int(rank * 0.1), 1))
        self.assertEqual(self.entry_call(HEAVY, equals="work").rank, rank)
        self.assertEqual(self.entry_call("room/new", equals="work").rank, rank)

    def test_requests_treated_as_critical_keep_their_rank(self):
        """Guards against light requests that crowd out kept ones."""
        kept = self.entry_call(equals="work", kept_share=1.0)
        self.assertEqual((kept.rank, kept.importance), (rank_of("id"), 0))


INCOMING = SimpleNamespace(
    service="room", method="GET", path="/", headers=[], body=None,
    deadline_ms=None, idempotency_key="",
)  # fmt: skip


def rule_of(path_key):
    return SimpleNamespace(
        service="room", path_key=path_key, importance=Importance.NORMAL,
        deadline_ms=2_000, retry_credits=0, idempotent=True, attempts=0,
    )  # fmt: skip


class ScarceService:
    """An entry and one scarce service with real admission and routing."""

    def __init__(self, clock, way, capacity_share, seed):
        self.clock = clock
        self.way = way
        self.random = random.Random(seed)
        decisions = {"equals": "rank" if way == "rank" else "work"}
        self.policy = Policy(validate_policy({"decisions": decisions}, "test"))
        slots = round(capacity_share * DEMAND)
        self.control = make_control(clock, slots=slots)
        target = member("u", slots=slots)
        target.service = "room"
        members = SimpleNamespace(
            local=member("here"), upstreams=lambda service, listed=[target]: listed
        )
        self.router = RoutingTable(members, lambda: self.policy, self.random, clock)
        model = WorkModel(self.router, lambda: self.policy)
        self.control.set_work_source(model.work_ms)
        self.order = WorkOrder(clock)
        self.arrived = dict.fromkeys(KINDS, 0)
        self.served = dict.fromkeys(KINDS, 0)
        self.target = target

    def rank(self, path_key):
        rank = self.random.randrange(RANKS)
        work_ms = self.router.path_work("room", path_key)
        factor = self.order.factor(Importance.NORMAL, path_key, work_ms)
        if self.way == "strict":
            return (rank + (factor >= 1.0) * RANKS) // len(KINDS)
        return scaled_rank(rank, factor)

    async def request(self, path_key, counted):
        call = Call("id", "room", "GET", "/", [], None, Importance.NORMAL,
                    self.rank(path_key), 0, self.clock() + 2.0, 0,
                    path_key=path_key)  # fmt: skip
        self.arrived[path_key] += counted
        try:
            self.router.choose(call, ())
        except CallError:
            return
        started = self.clock()
        self.router.started(self.target, call)
        try:
            ticket = await self.control.admit(call)
            await asyncio.sleep(KINDS[path_key][0])
            answer = Answer(200)
            ticket.finish(answer)
            self.served[path_key] += counted
        except CallError as error:
            answer = Answer(503, kind=error.kind)
        answer.load = self.control.load(path_key)
        self.router.ended(self.target, call, answer, self.clock() - started)

    async def run(self, seconds, warm_up):
        async with asyncio.TaskGroup() as group:
            for path_key, (_, rate) in KINDS.items():
                group.create_task(
                    self.arrivals(group, path_key, rate, seconds, warm_up)
                )
        self.control.close()
        return {key: self.served[key] / self.arrived[key] for key in KINDS}

    async def arrivals(self, group, path_key, rate, seconds, warm_up):
        for number in itertools.count():
            await asyncio.sleep(self.random.expovariate(rate))
            at = self.clock()
            if at >= seconds:
                return
            group.create_task(self.request(path_key, at >= warm_up), name=f"{number}")


def served_shares(way, capacity_share, seed=11, seconds=12.0, warm_up=3.0):
    """Return the served share of each kind, by way of ordering equals."""
    return run_virtual(
        lambda clock: ScarceService(clock, way, capacity_share, seed).run(
            seconds, warm_up
        )
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
    for capacity_share, way in itertools.product(
        (0.6, 0.2), ("rank", "work", "strict")
    ):
        runs = [served_shares(way, capacity_share, seed, 30.0) for seed in range(10)]
        for key in KINDS:
            shares = [round(run[key], 3) for run in runs]
            print(capacity_share, way, key, f"{sum(shares) / len(shares):.3f}", shares)
