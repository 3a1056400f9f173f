"""Tests of the work that paths take of scarce services, hop by hop."""

import asyncio
import math
import unittest
from types import SimpleNamespace

from papayabay_core.calls import Answer, LoadState
from papayabay_core.errors import ErrorKind
from papayabay_core.importance import ADMIT_ALL
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.calls import run_counts, work
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.work import WorkModel
from papayabay_daemon._internal.routing import path_work
from tests.unit.daemon.admission_support import (
    SHED,
    in_virtual_time,
    make_call,
    make_control,
)
from tests.unit.daemon.routing_support import RoutingCase, target_answer

DESK = "desk/list"
VAULT = "vault/read"
SCARCE = 70_000


def policy_of(**decisions):
    return Policy(validate_policy({"decisions": decisions}, "test"))


class WorkModelTest(unittest.TestCase):
    def setUp(self):
        self.below = {}
        router = SimpleNamespace(
            path_services=lambda name, key: self.below.get(key, {})
        )
        self.policy = policy_of(equals="work")
        self.counts = RunCounts()
        self.model = WorkModel(router, lambda: self.policy, self.counts)
        self.now = 100.0

    def work_ms(self, level=ADMIT_ALL, path_key=DESK):
        self.now += 2 * work.CACHE_TTL_S
        return self.model.work_ms(path_key, 50.0, level, self.now)

    def run_ended(self, called, status=200, downstream_failed=False):
        live = SimpleNamespace(
            call=SimpleNamespace(path_key=DESK),
            called_paths=called,
            downstream_failed=downstream_failed,
        )
        self.counts.run_ended(live, Answer(status))

    def test_calls_of_a_run_add_up(self):
        """Guards against figures of one call for a run that makes eight.

        Two calls, each with four calls to the scarce service, count eight
        times its slot time; a set of children would count it once.
        """
        self.below = {VAULT: {"room": 4 * 54.0}}
        for _ in range(3):
            self.run_ended({VAULT: 2})
        self.assertEqual(self.work_ms(), {"room": 432.0})
        self.assertEqual(self.work_ms(SCARCE), {"room": 432.0, "desk": 50.0})

    def test_failed_runs_do_not_lower_the_mean(self):
        """Guards against a path that looks light because it is refused."""
        self.below = {VAULT: {"room": 54.0}}
        self.run_ended({VAULT: 8})
        for _ in range(20):
            self.run_ended({VAULT: 1}, status=503)
            self.run_ended({VAULT: 1}, downstream_failed=True)
        self.assertEqual(self.work_ms(), {"room": 432.0})

    def test_service_stays_scarce_for_a_while(self):
        """Guards against an order that changes between two refusals."""
        self.assertEqual(self.work_ms(SCARCE, "room/turn"), {"room": 50.0})
        self.assertEqual(self.work_ms(ADMIT_ALL, "room/turn"), {"room": 50.0})
        self.now += work.SCARCE_HOLD_S
        self.assertEqual(self.work_ms(ADMIT_ALL, "room/turn"), {})

    def test_nothing_is_reported_by_default(self):
        """Guards against larger answers where the policy does not ask."""
        self.policy = policy_of()
        self.below = {VAULT: {"room": 54.0}}
        self.run_ended({VAULT: 1})
        self.assertEqual(self.work_ms(SCARCE), {})

    def test_amounts_and_tables_are_bounded(self):
        """Guards against two paths that raise each other's sums forever."""
        self.below = {VAULT: {f"s{n}": 1e300 * n for n in range(1, 12)}}
        self.run_ended({VAULT: 2})
        reported = self.work_ms()
        self.assertEqual(len(reported), 8)
        self.assertEqual(reported["s11"], work.MAX_WORK_MS)
        for number in range(2 * run_counts.MAX_PATHS):
            self.counts.record(f"desk/{number}", {f"vault/{number}": 1}, True)
            self.counts.record(DESK, {f"vault/{number}": 100}, True)
        paths = self.counts.paths
        self.assertEqual(len(paths), run_counts.MAX_PATHS)
        self.assertLessEqual(len(paths[DESK].calls), run_counts.MAX_CHILDREN)

    def test_runs_that_all_fail_keep_the_mean(self):
        """Guards against a path that looks light after a long failure."""
        self.below = {VAULT: {"room": 54.0}}
        self.run_ended({VAULT: 8})
        for _ in range(20 * run_counts.DECAY_RUNS):
            self.run_ended({VAULT: 1}, status=503)
        self.assertEqual(self.work_ms(), {"room": 432.0})


class PathWorkTest(RoutingCase):
    def report(self, upstream, work_ms):
        load = LoadState(limit=10, work_ms=work_ms)
        self.run_attempt(upstream, target_answer(load))

    def path_work(self):
        return self.table.path_work("stock", "stock/look")

    def test_upstreams_without_work_count_as_none(self):
        """Guards against the figure of the only upstream that is scarce."""
        for _ in range(100):
            for number, upstream in enumerate(self.upstreams):
                self.report(upstream, {} if number % 2 else {"room": 400.0})
        self.assertAlmostEqual(self.path_work(), 200.0, delta=25.0)
        self.assertEqual(self.path_work(), self.services()["room"])

    def services(self):
        return self.table.path_services("stock", "stock/look")

    def test_figures_expire(self):
        """Guards against an order by figures of a daemon that is lost."""
        self.report(self.upstreams[0], {"room": 400.0})
        self.at += path_work.WORK_TTL_S
        self.assertEqual(self.path_work(), 400.0)
        self.at += 0.01
        self.assertEqual((self.path_work(), self.services()), (0.0, {}))
        self.report(self.upstreams[0], {"desk": 30.0})
        self.assertEqual(self.services(), {"desk": 30.0})

    def test_end_of_the_scarcity_is_forgotten(self):
        """Guards against an order by services that have room again."""
        self.report(self.upstreams[0], {"room": 400.0})
        for _ in range(100):
            self.report(self.upstreams[1], {})
        self.assertEqual((self.path_work(), self.services()), (0.0, {}))

    def test_implausible_amounts_are_ignored(self):
        """Guards against a NaN of one peer that stays in the average."""
        self.report(self.upstreams[0], {"a": math.nan, "b": -1.0, "c": 2.0})
        self.report(self.upstreams[0], {"a": math.inf, "c": 2.0})
        self.assertEqual(self.services(), {"c": 2.0})


class WorkCounterTest(unittest.TestCase):
    @in_virtual_time
    async def test_lost_slot_time_is_counted_by_class(self, clock):
        """Guards against work for lost requests that no metric shows."""
        control = make_control(clock)
        left = Answer(499, kind=ErrorKind.CALLER_LEFT)
        for outcome in (Answer(200), SHED, None, left):
            ticket = await control.admit(make_call(clock))
            await asyncio.sleep(0.25)
            ticket.finish(outcome)
        counters = control.work_counters.plain()
        self.assertEqual(counters["run_ms"]["normal"], 1_000)
        self.assertEqual(counters["lost_ms"]["normal"], 750)
        self.assertEqual(counters["run_ms"]["critical"], 0)
