import asyncio
import unittest
from bisect import insort
from random import Random

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_daemon._internal.admission.queues import RankedQueue
from papayabay_daemon._internal.admission.waiting import WaitingCall
from tests.unit.daemon.admission_support import (
    OK,
    admit_or_kind,
    in_virtual_time,
    make_call,
    make_control,
    settle,
    start_admit,
    train,
)

CRITICAL, NORMAL, SHEDDABLE = Importance


class PriorityTests(unittest.TestCase):
    @in_virtual_time
    async def test_best_call_is_served_first(self, clock):
        control = make_control(clock, slots=1)
        running = await control.admit(make_call(clock))
        served_names = []
        calls = {
            "browse": make_call(clock, SHEDDABLE),
            "late rank": make_call(clock, rank=60_000),
            "early rank": make_call(clock, rank=1_500),
            "deeper": make_call(clock, rank=1_900, depth=3),
            "order": make_call(clock, CRITICAL, rank=65_000),
        }

        async def run_call(name, call):
            ticket = await control.admit(call)
            served_names.append(name)
            ticket.finish(OK)

        tasks = [asyncio.create_task(run_call(*item)) for item in calls.items()]
        await settle()
        running.finish(OK)
        await asyncio.gather(*tasks)
        expected = ["order", "deeper", "early rank", "late rank", "browse"]
        self.assertEqual(served_names, expected)

    @in_virtual_time
    async def test_same_ranks_are_admitted_at_every_hop(self, clock):
        admitted_by_hop = []
        for hop in range(2):
            control = make_control(clock, slots=2, queue_max_ms=10)
            await train(control, clock, 0.01)
            random = Random(hop)
            ranks = list(range(0, 64_000, 4_000))
            random.shuffle(ranks)
            tickets = [await control.admit(make_call(clock)) for _ in range(2)]
            tasks = {
                rank: start_admit(control, make_call(clock, rank=rank))
                for rank in ranks
            }
            await settle()
            for ticket in tickets:
                ticket.finish(OK)
            await settle()
            admitted_ranks = {
                rank
                for rank, task in tasks.items()
                if task.done() and task.result() is not ErrorKind.OVERLOADED
            }
            admitted_by_hop.append(admitted_ranks)
            for task in tasks.values():
                task.cancel()
        self.assertEqual(admitted_by_hop[0], {0, 4_000})
        self.assertEqual(admitted_by_hop[0], admitted_by_hop[1])

    @in_virtual_time
    async def test_displaced_call_is_refused_at_once(self, clock):
        control = make_control(clock, slots=1, queue_max_ms=20)
        await train(control, clock, 0.01)
        await control.admit(make_call(clock))
        worse = [
            start_admit(control, make_call(clock, NORMAL, rank=9_000)) for _ in "12"
        ]
        await settle()
        arrived_at = clock()
        better = start_admit(control, make_call(clock, CRITICAL))
        await settle()
        self.assertEqual(clock(), arrived_at)
        self.assertEqual(worse[1].result(), ErrorKind.OVERLOADED)
        self.assertFalse(worse[0].done())
        self.assertFalse(better.done())
        self.assertEqual(control.counters.displaced, 1)
        control.stop_admitting()
        await settle()


class QueueTests(unittest.TestCase):
    def test_matches_a_sorted_list(self):
        random = Random(5)
        queue, model, number = RankedQueue(), [], 0
        for _ in range(20_000):
            action = random.random()
            if action < 0.45 or not model:
                number += 1
                importance = Importance(random.randrange(3))
                call = make_call(
                    lambda: 0.0, importance, random.randrange(65_536), number % 4
                )
                waiting = WaitingCall(call, None, 0.0, 0.0, number)
                queue.push(waiting)
                rank = 0 if call.depth else call.rank >> 10
                key = (importance, -call.depth, rank, number)
                insort(model, (key, waiting))
            elif action < 0.65:
                self.assertIs(queue.pop(), model.pop(0)[1])
            elif action < 0.8:
                worst = queue.peek_worst()
                self.assertIs(worst, model.pop()[1])
                queue.discard(worst)
            else:
                queue.discard(model.pop(random.randrange(len(model)))[1])
            self.assertEqual(queue.size, len(model))
            self.assertLessEqual(len(queue.best), 2 * len(model) + 65)
            self.assertLessEqual(len(queue.worst), 2 * len(model) + 65)


class DeadlineTests(unittest.TestCase):
    @in_virtual_time
    async def test_call_that_expires_in_the_queue_is_refused_then(self, clock):
        control = make_control(clock, slots=1)
        await control.admit(make_call(clock))
        expected = clock() + 0.123
        waiting = start_admit(control, make_call(clock, lifetime=0.123))
        self.assertEqual(await waiting, ErrorKind.EXPIRED_UNSENT)
        self.assertAlmostEqual(clock(), expected, places=3)
        self.assertEqual(control.counters.expired, 1)

    @in_virtual_time
    async def test_overtaken_call_is_refused_before_its_deadline(self, clock):
        """A lookup stayed queued until its deadline instead of being refused.

        One in ten requests of the normal class expired unsent. Orders arrived
        as fast as the target served them, and each was served before the
        lookup, while the queue was never full. The length of the queue was
        bounded, but not the wait in it.
        """
        control = make_control(clock, slots=1, queue_max_ms=150)
        await train(control, clock, 0.02)
        running = await control.admit(make_call(clock, CRITICAL))
        queued_at = clock()
        lookup = start_admit(control, make_call(clock, lifetime=0.6))
        order = start_admit(control, make_call(clock, CRITICAL, lifetime=9))
        while not lookup.done():
            await asyncio.sleep(0.02)
            running.finish(OK)
            running = await order
            order = start_admit(control, make_call(clock, CRITICAL, lifetime=9))
        self.assertEqual(lookup.result(), ErrorKind.OVERLOADED)
        self.assertLessEqual(clock() - queued_at, 0.2)
        control.stop_admitting()
        await settle()

    @in_virtual_time
    async def test_no_class_waits_beyond_its_share_of_the_slack(self, clock):
        """Guards against waits that leave no time for another attempt."""
        for order in ("depth", "due"):
            control = make_control(clock, slots=1, queue_order=order)
            running = await control.admit(make_call(clock, CRITICAL))
            queued_at = clock()
            waiting = [
                start_admit(control, make_call(clock, importance, lifetime=0.3))
                for importance in (NORMAL, SHEDDABLE)
            ]
            await settle()
            await asyncio.sleep(0.01)
            order_call = start_admit(control, make_call(clock, CRITICAL))
            await settle()
            running.finish(OK)
            await order_call
            for task in waiting:
                self.assertEqual(await task, ErrorKind.OVERLOADED)
                self.assertLessEqual(clock() - queued_at, 0.11)
            control.stop_admitting()

    @in_virtual_time
    async def test_call_that_became_too_late_in_the_queue_gets_no_slot(self, clock):
        """Guards against slots for calls that can't be in time any more."""
        for order in ("depth", "due"):
            control = make_control(clock, slots=1, queue_order=order)
            await train(control, clock, 0.1)
            kinds = []
            for _ in range(2):
                running = await control.admit(make_call(clock))
                late = start_admit(control, make_call(clock, lifetime=0.25))
                await settle()
                await asyncio.sleep(0.2)
                running.finish(OK)
                outcome = await late
                if isinstance(outcome, ErrorKind):
                    kinds.append(outcome)
                else:
                    outcome.finish(OK)
            # One call in a while is run as a probe.
            self.assertIn(ErrorKind.LIFETIME_TOO_SHORT, kinds)

    @in_virtual_time
    async def test_queue_is_bounded_without_deadlines(self, clock):
        """Guards against a queue that grows as no time bounds it."""
        control = make_control(clock, slots=1, deadlines=False, queue_max_ms=100)
        await train(control, clock, 0.02)
        await control.admit(make_call(clock))
        calls = [make_call(clock, CRITICAL, lifetime=600.0) for _ in range(50)]
        waiting = [start_admit(control, call) for call in calls]
        await settle()
        self.assertIn(control.scheme.queue.size, (4, 5))
        control.stop_admitting()
        await asyncio.gather(*waiting)

    @in_virtual_time
    async def test_call_that_cannot_finish_is_refused_after_a_probe(self, clock):
        control = make_control(clock)
        await train(control, clock, 0.1)
        call = make_call(clock, lifetime=0.01)
        (await control.admit(call)).finish(OK)
        self.assertEqual(
            await admit_or_kind(control, call), ErrorKind.LIFETIME_TOO_SHORT
        )
        expired = make_call(clock, lifetime=0)
        self.assertEqual(
            await admit_or_kind(control, expired), ErrorKind.EXPIRED_UNSENT
        )

    @in_virtual_time
    async def test_deadlines_can_be_switched_off(self, clock):
        control = make_control(clock, deadlines=False)
        (await control.admit(make_call(clock, lifetime=-1))).finish(OK)


class ThresholdTests(unittest.TestCase):
    async def send_load(self, control, clock, per_second, seconds, levels):
        """Send Poisson arrivals of calls that take 20 ms."""
        random = Random(3)
        end = clock() + seconds

        async def run_call():
            call = make_call(clock, NORMAL, rank=random.randrange(65_536))
            try:
                ticket = await control.admit(call)
            except CallError:
                return
            await asyncio.sleep(0.02)
            ticket.finish(OK)

        async with asyncio.TaskGroup() as group:
            while clock() < end:
                group.create_task(run_call())
                levels.append(control.load("p").admit_level)
                await asyncio.sleep(random.expovariate(per_second))

    @in_virtual_time
    async def test_all_calls_are_admitted_below_saturation(self, clock):
        levels = []
        control = make_control(clock, slots=10)
        await self.send_load(control, clock, 430, 10, levels)
        self.assertEqual(set(levels), {ADMIT_ALL})
        self.assertFalse(control.counters.refused)

    @in_virtual_time
    async def test_bursts_below_saturation_keep_the_threshold_open(self, clock):
        control = make_control(clock, slots=1)
        await train(control, clock, 0.01)

        async def run_call():
            ticket = await control.admit(make_call(clock, SHEDDABLE, rank=65_000))
            self.assertEqual(control.load("p").admit_level, ADMIT_ALL)
            await asyncio.sleep(0.01)
            ticket.finish(OK)

        async with asyncio.TaskGroup() as group:
            for _ in range(50):
                for _ in range(14):
                    group.create_task(run_call())
                await asyncio.sleep(0.16)

    @in_virtual_time
    async def test_threshold_falls_in_overload_and_reopens_after_it(self, clock):
        levels = []
        control = make_control(clock, slots=10)
        await self.send_load(control, clock, 1_000, 3, levels)
        late = levels[len(levels) // 2 :]
        self.assertLess(sum(late) / len(late), ADMIT_ALL * 0.75)
        served = control.counters.admitted.total()
        self.assertGreater(served, 500 * 3 * 0.97)
        after = []
        await self.send_load(control, clock, 300, 1, after)
        self.assertEqual(after[-1], ADMIT_ALL)
