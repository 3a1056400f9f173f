"""Admission by rank at all depths, bounded by the slack of requests."""

import asyncio
import unittest
from bisect import insort
from random import Random

from papayabay_core.errors import ErrorKind
from papayabay_core.importance import Importance
from papayabay_daemon._internal.admission.request_queue import RequestQueue
from papayabay_daemon._internal.admission.waiting import WaitingCall
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
from tests.unit.daemon.due_load import CAPACITY, SLOTS, run_load

CRITICAL, NORMAL, SHEDDABLE = Importance


class QueueTests(unittest.TestCase):
    def test_matches_a_sorted_list(self):
        """Guards against lost calls and wrong counts in the sorted lanes."""
        random, queue, model = Random(5), RequestQueue(), []
        for number in range(5_000):
            if random.random() < 0.5 or not model:
                call = make_call(
                    lambda: 0.0, random.choice(list(Importance)), random.randrange(9)
                )
                call.depth, call.path_class = random.randrange(2), random.randrange(3)
                waiting = WaitingCall(call, None, 0.0, 0.0, number)
                key = (call.importance, call.path_class, call.rank, number)
                queue.push(waiting)
                insort(model, (key, waiting))
                ahead = model.index((key, waiting))
                self.assertEqual(queue.count_ahead(waiting), ahead)
            elif random.random() < 0.5:
                self.assertIs(queue.pop(), model.pop(0)[1])
            else:
                worst = max(
                    model, key=lambda one: (one[0][:2], not one[1].call.depth, one[0])
                )
                self.assertIs(queue.peek_worst(), worst[1])
                model.remove(worst)
                queue.discard(worst[1])
            self.assertEqual(queue.size, len(model))


class ChangingQueueTests(unittest.TestCase):
    def assert_consistent(self, control):
        """Check that all lanes are sorted, and the counts are right."""
        queue = control.scheme.queue
        if not isinstance(queue, RequestQueue):
            return
        lanes = queue.with_depth + queue.without_depth
        self.assertEqual(sum(len(lane) for lane in lanes), queue.size)
        self.assertEqual(sum(queue.group_sizes), queue.size)
        for lane in lanes:
            self.assertEqual(lane, sorted(lane, key=lambda entry: entry[:2]))
            self.assertTrue(all(entry[-1].queued for entry in lane))

    async def run_call(self, control, call, seconds):
        ticket = await admit_or_kind(control, call)
        if isinstance(ticket, ErrorKind):
            return
        try:
            await asyncio.sleep(seconds)
        finally:
            ticket.finish(OK)

    @in_virtual_time
    async def test_queue_survives_cancels_expiries_and_policies(self, clock):
        """Guards against calls that no queue holds, or that stay in one."""
        random, tasks = Random(9), []
        control = make_control(clock, slots=3, queue_order="due")
        for number in range(2_000):
            call = make_call(clock, random.choice(list(Importance)))
            call.rank, call.depth = random.randrange(9), random.randrange(2)
            call.path_class = random.randrange(3)
            call.expires_at = clock() + random.choice((0.01, 0.1, 3.0))
            call.rest_s = random.choice((0.0, 0.02))
            running = self.run_call(control, call, random.expovariate(30.0))
            tasks.append(asyncio.ensure_future(running))
            if random.random() < 0.2:
                random.choice(tasks[-20:]).cancel()
            if number % 50 == 0:
                order = random.choice(("due", "depth"))
                control.reconfigure(make_inputs(clock, slots=3, queue_order=order))
            await asyncio.sleep(random.choice((0.0, 0.001, 0.01)))
            self.assert_consistent(control)
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual((control.in_flight, control.scheme.queue.size), (0, 0))
        self.assertTrue(control.counters.cancelled and control.counters.expired)
        self.assertTrue(control.counters.displaced)
        control.close()


class SlackTests(unittest.TestCase):
    @in_virtual_time
    async def test_more_important_path_is_served_before_a_deeper_call(self, clock):
        """Guards against sales that wait behind all deeper balance checks."""
        control = make_control(clock, slots=1)
        running = await control.admit(make_call(clock))
        check, sale = make_call(clock, depth=3), make_call(clock, rank=9)
        check.path_class = 1
        waiting = [start_admit(control, call) for call in (check, sale)]
        await settle()
        control.reconfigure(make_inputs(clock, slots=1, queue_order="due"))
        running.finish(OK)
        await settle()
        self.assertEqual([task.done() for task in waiting], [False, True])
        waiting[0].cancel()

    @in_virtual_time
    async def test_call_is_refused_when_its_chain_cannot_be_in_time(self, clock):
        """Guards against work for chains that expire in a later queue."""
        control = make_control(clock, slots=1, queue_order="due")
        await train(control, clock, 0.1)
        await control.admit(make_call(clock, CRITICAL))
        calls = [make_call(clock, CRITICAL, depth=2, lifetime=0.5) for _ in range(3)]
        calls[1].rest_s, calls[2].rest_s = 0.2, 0.35
        first, feasible, doomed = (start_admit(control, call) for call in calls)
        await settle()
        self.assertEqual(doomed.result(), ErrorKind.OVERLOADED)
        self.assertFalse(first.done() or feasible.done())
        control.stop_admitting()

    @in_virtual_time
    async def test_late_critical_calls_lower_the_threshold(self, clock):
        """Guards against critical requests that all time out together."""
        control = make_control(clock, slots=1, queue_order="due")
        await train(control, clock, 0.01)
        running, queue = await control.admit(make_call(clock, CRITICAL)), []
        for number in range(120):
            call = make_call(clock, CRITICAL, rank=number * 500, depth=1)
            call.due_at = clock() + 0.1
            queue.append(start_admit(control, call))
        for task in queue:
            await asyncio.sleep(0.01)
            running.finish(OK)
            running = await task
        self.assertGreater(control.counters.plain()["served_late"]["critical"], 0)
        self.assertLess(control.load("p").admit_level, 65_535)
        self.assertFalse(control.counters.refused)

    @in_virtual_time
    async def test_overtaken_deep_calls_lower_the_threshold(self, clock):
        """Guards against queues full of calls that are served too late."""
        control = make_control(clock, slots=1, queue_order="due")
        await train(control, clock, 0.02)
        running, levels = await control.admit(make_call(clock)), set()
        worst = [make_call(clock, rank=60_000, depth=1) for _ in range(20)]
        waiting = [start_admit(control, call) for call in worst]
        for _ in range(40):
            better = start_admit(control, make_call(clock, rank=9, depth=1))
            await asyncio.sleep(0.02)
            running.finish(OK)
            running = await better
            levels.add(control.load("p").admit_level)
        self.assertLess(min(levels), 130_000)
        self.assertFalse(control.counters.refused)
        for task in waiting:
            task.cancel()


class LoadTests(unittest.TestCase):
    def test_chains_complete_in_an_overload(self):
        """Guards against chains of which each loses some call."""
        for chain_class, single_class in (NORMAL, NORMAL), (CRITICAL, SHEDDABLE):
            figures = run_load("due", 1.6, chain_class, single_class)
            self.assertGreater(figures["chain"], 0.9 * CAPACITY)
            self.assertLess(figures["lost_slots"], 0.05 * SLOTS)

    def test_below_saturation_nothing_is_lost(self):
        """Guards against refusals by estimates while slots are free."""
        figures = run_load("due", 0.8)
        self.assertNotIn("lost_slots", figures)
        self.assertGreater(figures["chain"] / CAPACITY, 0.75)
