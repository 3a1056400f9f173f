"""Tests of the rate limit that a target states in its answers."""

import asyncio
import random
import unittest
from bisect import bisect_left

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_daemon._internal.target.dialect import TargetReport
from tests.unit.daemon.admission_support import (
    OK,
    admit_or_kind,
    in_virtual_time,
    make_call,
    make_control,
    make_inputs,
    settle,
    start_admit,
    train,
)

SLOTS = 36
SERVICE_S = 0.22
WINDOW_S = 4.0
SEEDS = range(20)


def allowed(rate):
    """Return how many calls the platform allows in a window."""
    return 1.5 * rate * WINDOW_S + 5


def most_in_window(times):
    ends = (bisect_left(times, moment + WINDOW_S) for moment in times)
    return max((end - begin for begin, end in enumerate(ends)), default=0)


class Target:
    """A target that states a limit in each answer, and its callers.

    Attributes
    ----------
    started : list of float
        When it got each call.
    """

    def __init__(self, clock, control, rate):
        self.clock = clock
        self.control = control
        self.rate = rate
        self.started = []
        self.refused = []
        self.served = dict.fromkeys(Importance, 0)

    async def call(self, importance=Importance.NORMAL, lifetime=5.0):
        control = self.control
        made = make_call(self.clock, importance, lifetime=lifetime)
        try:
            ticket = await control.admit(made)
        except CallError as error:
            self.refused.append(error)
            return
        sent_at = self.clock()
        self.started.append(sent_at)
        await asyncio.sleep(SERVICE_S)
        if control is self.control:
            control.record_report(TargetReport(self.rate), sent_at)
        ticket.finish(OK)
        self.served[importance] += 1

    async def call_often(self, per_s, seconds, rng=None):
        rng = rng or random.Random(1)
        end = self.clock() + seconds
        async with asyncio.TaskGroup() as group:
            while self.clock() < end:
                await asyncio.sleep(rng.expovariate(per_s))
                importance = rng.choice((Importance.CRITICAL, Importance.NORMAL))
                group.create_task(self.call(importance))


class RateLimitTests(unittest.TestCase):
    @in_virtual_time
    async def test_limit_holds_in_each_window_and_is_used(self, clock):
        """A target got several times the rate that it had stated."""
        for rate in (0.5, 3.2, 6.2, 40.0):
            control = make_control(clock, slots=SLOTS)
            await train(control, clock, SERVICE_S)
            target = Target(clock, control, rate)
            control.record_report(TargetReport(rate), clock())
            await target.call_often(4 * rate + 10, 20.0)
            self.assertLessEqual(most_in_window(target.started), allowed(rate))
            self.assertGreater(len(target.started), 0.85 * rate * 20.0)
            served = target.served
            self.assertGreater(
                served[Importance.CRITICAL], 0.8 * sum(served.values()), rate
            )

    @in_virtual_time
    async def test_restarts_of_the_daemon_do_not_raise_the_rate(self, clock):
        """A daemon that starts beside a target in need forwarded all calls."""
        for seed in SEEDS:
            rng = random.Random(seed)
            rate = rng.uniform(0.3, 20.0)
            make = {"slots": SLOTS, "awaits_report": True}
            target = Target(clock, make_control(clock, **make), rate)
            calls = asyncio.ensure_future(target.call_often(3 * rate + 20, 40.0, rng))
            while not calls.done():
                await asyncio.sleep(rng.uniform(4.0, 12.0))
                target.control = make_control(clock, **make)
            self.assertLessEqual(
                most_in_window(target.started), allowed(rate), f"seed {seed}"
            )

    @in_virtual_time
    async def test_only_later_calls_raise_or_end_a_limit(self, clock):
        """A late answer of an earlier state ended a limit."""
        control = make_control(clock, slots=SLOTS)
        limit = control.rate_limit
        sent_before = clock()
        await asyncio.sleep(1.0)
        control.record_report(TargetReport(3.0), clock())
        for rate in (None, 8.0):
            control.record_report(TargetReport(rate), sent_before)
            self.assertEqual(limit.rate, 3.0)
        control.record_report(TargetReport(2.0), sent_before)
        self.assertEqual(limit.rate, 2.0)
        await asyncio.sleep(1.0)
        control.record_report(TargetReport(8.0), clock())
        self.assertEqual(limit.rate, 8.0)
        await asyncio.sleep(1.0)
        control.record_report(TargetReport(None), clock())
        self.assertIsNone(limit.rate)

    @in_virtual_time
    async def test_limit_of_zero_lets_a_call_through_now_and_then(self, clock):
        """A limit that lets nothing through would never be seen to end."""
        control = make_control(clock, slots=SLOTS)
        target = Target(clock, control, 0.0)
        control.record_report(TargetReport(0.0), clock())
        await target.call_often(20.0, 60.0)
        self.assertGreater(len(target.started), 3)
        self.assertLessEqual(most_in_window(target.started), allowed(0.0))

    @in_virtual_time
    async def test_limit_ends_with_the_process_that_stated_it(self, clock):
        control = make_control(clock, slots=SLOTS)
        control.record_report(TargetReport(1.0), clock())
        await asyncio.sleep(1.0)
        inputs = make_inputs(clock, slots=SLOTS, announced_at=clock())
        control.reconfigure(inputs)
        self.assertIsNone(control.rate_limit.rate)
        for _ in range(SLOTS):
            await control.admit(make_call(clock))

    @in_virtual_time
    async def test_refused_calls_come_back_when_the_rate_allows_it(self, clock):
        """Refused callers came back together, or before there was room."""
        control = make_control(clock, slots=SLOTS)
        await train(control, clock, SERVICE_S)
        control.record_report(TargetReport(0.5), clock())
        made = make_call(clock, lifetime=1.0)
        with self.assertRaises(CallError) as caught:
            await control.admit(made)
        self.assertIs(caught.exception.kind, ErrorKind.OVERLOADED)
        self.assertGreaterEqual(caught.exception.retry_after_ms, 1_500)
        await asyncio.sleep(1.0)
        control.record_report(TargetReport(10.0), clock())
        self.assertEqual(control.rate_limit.rate, 10.0)
        target = Target(clock, control, 10.0)
        await asyncio.gather(*(target.call(lifetime=0.25) for _ in range(30)))
        times = sorted(error.retry_after_ms for error in target.refused)
        self.assertGreaterEqual(len(times), 28)
        self.assertGreater(times[-1], 100 * 0.8 * len(times))

    @in_virtual_time
    async def test_limited_target_announces_the_slots_that_it_can_use(self, clock):
        """Callers chose a limited target as often as any other."""
        control = make_control(clock, slots=SLOTS)
        await train(control, clock, SERVICE_S)
        self.assertEqual(control.load("p").limit, SLOTS)
        control.record_report(TargetReport(10.0), clock())
        self.assertEqual(control.load("p").limit, 3)

    @in_virtual_time
    async def test_any_scheme_keeps_the_limit(self, clock):
        for scheme in ("dagor", "codel", "gradient", "static", "open"):
            control = make_control(clock, scheme, slots=SLOTS)
            control.record_report(TargetReport(3.0), clock())
            target = Target(clock, control, 3.0)
            await target.call_often(30.0, 12.0)
            self.assertLessEqual(most_in_window(target.started), allowed(3.0), scheme)

    @in_virtual_time
    async def test_cancelled_call_leaves_the_limit_in_force(self, clock):
        control = make_control(clock, slots=SLOTS)
        control.record_report(TargetReport(2.0), clock())
        waiting = start_admit(control, make_call(clock))
        await settle()
        waiting.cancel()
        await settle()
        self.assertIsInstance(
            await admit_or_kind(control, make_call(clock, lifetime=0.1)), ErrorKind
        )
