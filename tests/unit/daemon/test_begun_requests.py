"""Requests that have begun keep their room; others are refused early."""

import asyncio
import unittest

from papayabay_core.calls import LoadState
from papayabay_core.errors import ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance, level_of
from tests.unit.daemon.admission_support import (
    OK,
    in_virtual_time,
    make_call,
    make_control,
    settle,
    start_admit,
    train,
)
from tests.unit.daemon.routing_support import (
    CRITICAL_ONLY,
    RoutingCase,
    call,
    target_answer,
)

CRITICAL, NORMAL, SHEDDABLE = Importance
ADMIT_NONE = -1


class AdmissionTests(unittest.TestCase):
    @in_virtual_time
    async def test_closed_path_refuses_new_requests_only(self, clock):
        """Guards against requests that a level of below refuses halfway."""
        control = make_control(clock, slots=4, queue_order="due")
        new, begun = make_call(clock, NORMAL), make_call(clock, NORMAL)
        begun.depth = 1
        control.set_downstream_source(lambda: {new.path_key: ADMIT_NONE})
        (await control.admit(begun)).finish(None)
        refused = start_admit(control, new)
        await settle()
        self.assertEqual(refused.result(), ErrorKind.OVERLOADED)

    @in_virtual_time
    async def test_objective_that_cannot_be_met_does_not_bound_the_wait(self, clock):
        """Guards against refusals below saturation for a short objective."""
        control = make_control(clock, slots=1, queue_order="due")
        await train(control, clock, 0.2, calls=3)
        running = await control.admit(make_call(clock))
        waiting = []
        for _ in range(2):
            one = make_call(clock, CRITICAL)
            one.due_at = clock() + 0.05
            waiting.append(start_admit(control, one))
        await settle()
        self.assertFalse(any(one.done() for one in waiting))
        running.finish(OK)
        for one in waiting:
            (await one).finish(OK)

    @in_virtual_time
    async def test_long_queue_of_begun_requests_lowers_the_threshold(self, clock):
        """Guards against a threshold that stays open while nothing is refused.

        Calls of begun requests wait where others would be refused, and only
        refusals lowered an open threshold.
        """
        control = make_control(clock, slots=1, queue_order="due")
        await control.admit(make_call(clock))
        waiting = []
        for _ in range(80):
            one = make_call(clock, SHEDDABLE)
            one.depth = 1
            waiting.append(start_admit(control, one))
        await settle()
        for _ in range(4):
            await asyncio.sleep(0.1)
            level = control.scheme.level(clock())
        self.assertLess(level, ADMIT_ALL)
        for one in waiting:
            one.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    @in_virtual_time
    async def test_begun_request_does_not_lengthen_the_wait_of_others(self, clock):
        """Guards against new requests that wait as long as a worse call."""
        control = make_control(clock, slots=1, queue_order="due")
        await train(control, clock, 0.02)
        await control.admit(make_call(clock))
        begun = make_call(clock, SHEDDABLE, depth=1)
        new = [make_call(clock, NORMAL, rank=number) for number in range(100)]
        waiting = [start_admit(control, one) for one in (begun, *new)]
        await settle()
        max_calls = control.inputs.settings.queue_max_ms / 20
        self.assertLessEqual(control.scheme.queue.size, max_calls + 1)
        self.assertFalse(waiting[0].done())
        for one in waiting:
            one.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    @in_virtual_time
    async def test_lost_calls_below_the_target_time_lower_the_threshold(self, clock):
        """Guards against requests that begin and are lost in a short queue.

        Served by rank, a queue shorter than its target holds the worst calls
        only; a threshold with a surplus for it stayed open.
        """
        control = make_control(clock, slots=4, queue_order="due", queue_target_ms=50)
        for _ in range(4):
            await control.admit(make_call(clock))
        threshold = control.scheme.threshold
        for _ in range(20):
            threshold.current(clock())
            await asyncio.sleep(0.11)
        for number in range(120):
            threshold.record_arrival(level_of(SHEDDABLE, number * 500), clock())
        for _ in range(100):
            threshold.record_served(clock())
        threshold.record_refusal(SHEDDABLE)
        await asyncio.sleep(0.11)
        self.assertLess(threshold.current(clock()), level_of(SHEDDABLE, 55_000))


class RoutingTests(RoutingCase):
    def setUp(self):
        super().setUp()
        self.set_policy(queue_order="due")

    def set_levels(self, level):
        begun = call()
        begun.depth = 1
        load = LoadState(limit=10, admit_level=level)
        for upstream in self.upstreams:
            self.run_attempt(upstream, target_answer(load), a_call=begun)

    def test_calls_of_begun_requests_are_sent_at_any_level(self):
        """Guards against begun requests that their caller's daemon refuses."""
        self.set_levels(CRITICAL_ONLY)
        begun = call()
        begun.depth = 2
        self.assertTrue(self.table.has_other(begun, ()))
        self.assertFalse(self.table.has_other(call(), ()))

    def test_levels_hold_back_critical_requests_until_they_expire(self):
        """Guards against entries with few answers that admit all of them."""
        self.set_levels(ADMIT_NONE)
        self.at += 0.4
        self.assertFalse(self.table.has_other(call(CRITICAL), ()))
        self.at += 0.7
        self.assertTrue(self.table.has_other(call(CRITICAL), ()))
