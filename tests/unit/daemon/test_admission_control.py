import asyncio
import unittest
from random import Random

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL, ADMIT_NONE, Importance, level_of
from tests.unit.daemon.admission_support import (
    OK,
    SHED,
    make_call,
    make_control,
    make_inputs,
    outcome,
    settle,
    start,
    teach,
    virtually,
)


class SlotTests(unittest.TestCase):
    @virtually
    async def test_no_slot_leaks_under_random_cancelling(self, clock):
        """Guard the race between grant and cancellation.

        Symptom: the target idles while calls wait. Sequence: a slot is
        granted, then the caller leaves before its task runs again. Cause:
        the granted ticket is seen by nobody.
        """
        random = Random(11)
        control = make_control(clock, slots=3)

        async def one():
            ticket = await outcome(
                control, make_call(clock, Importance(random.randrange(3)))
            )
            if isinstance(ticket, ErrorKind):
                return
            try:
                await asyncio.sleep(random.choice([0, 0.001, 0.002]))
            finally:
                ticket.finish(OK)

        tasks = []
        for _ in range(3_000):
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(random.choice([0, 0, 0.0005]))
            if random.random() < 0.6:
                random.choice(tasks[-8:]).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(control.counters.cancelled, 50)
        self.assertEqual((control.in_flight, control.scheme.line.live), (0, 0))
        await control.wait_until_idle()

    @virtually
    async def test_grant_and_cancel_in_the_same_turn(self, clock):
        control = make_control(clock, slots=1)
        ticket = await control.admit(make_call(clock))
        waiting = start(control, make_call(clock))
        await settle()
        ticket.finish(OK)
        waiting.cancel()
        await settle()
        self.assertEqual(control.in_flight, 0)

    @virtually
    async def test_second_finish_is_ignored(self, clock):
        control = make_control(clock)
        ticket = await control.admit(make_call(clock))
        ticket.finish(OK)
        ticket.finish(None)
        self.assertEqual(control.in_flight, 0)
        self.assertEqual(control.counters.finished_again, 1)


class LimitTests(unittest.TestCase):
    @virtually
    async def test_cold_start_ramp(self, clock):
        control = make_control(clock, slots=100, cold_start_ms=1_000)
        limits = []
        for _ in range(3):
            limits.append(control.load("p").limit)
            await asyncio.sleep(0.5)
        self.assertEqual(limits, [10, 55, 100])

    @virtually
    async def test_cold_share_is_a_setting(self, clock):
        control = make_control(clock, slots=100, cold_start_ms=1_000, cold_share=0.5)
        self.assertEqual(control.load("p").limit, 50)
        await asyncio.sleep(0.5)
        self.assertEqual(control.load("p").limit, 75)

    @virtually
    async def test_growing_limit_takes_from_the_line(self, clock):
        control = make_control(clock, slots=10, cold_start_ms=1_000)
        await control.admit(make_call(clock))
        (await asyncio.wait_for(control.admit(make_call(clock)), 1)).finish(OK)
        self.assertLess(clock(), 0.25)

    @virtually
    async def test_shedding_lowers_the_limit_and_it_recovers(self, clock):
        control = make_control(clock, slots=40)
        tickets = [await control.admit(make_call(clock)) for _ in range(20)]
        for ticket in tickets:
            ticket.finish(SHED)
        self.assertEqual(control.load("p").limit, 14)
        for _ in range(40):
            ticket = await control.admit(make_call(clock))
            await asyncio.sleep(0.06)
            ticket.finish(SHED)
        self.assertGreaterEqual(control.load("p").limit, 1)
        self.assertLess(control.load("p").limit, 5)
        await asyncio.sleep(1.0)
        self.assertEqual(control.load("p").limit, 40)


class DownstreamTests(unittest.TestCase):
    @virtually
    async def test_refused_below_means_refused_here(self, clock):
        control = make_control(clock)
        levels = {"p": level_of(Importance.NORMAL, 1_000)}
        control.set_downstream_source(lambda: dict(levels))
        worse = make_call(clock, rank=9_000)
        self.assertEqual(await outcome(control, worse), ErrorKind.OVERLOADED)
        (await control.admit(make_call(clock, rank=500))).finish(OK)
        (await control.admit(make_call(clock, rank=9_000, path="q"))).finish(OK)
        self.assertEqual(control.load("p").path_levels, levels)
        self.assertEqual(control.load("p").admit_level, ADMIT_ALL)
        levels.clear()
        await asyncio.sleep(0.02)
        self.assertEqual(control.load("p").path_levels, {})
        (await control.admit(worse)).finish(OK)

    @virtually
    async def test_no_worse_class_passes_right_after_a_refusal(self, clock):
        control = make_control(clock, overload_hold_ms=200)
        levels = {"p": ADMIT_NONE}
        control.set_downstream_source(lambda: levels)
        order = make_call(clock, Importance.CRITICAL)
        browse = make_call(clock, Importance.SHEDDABLE)
        self.assertEqual(await outcome(control, order), ErrorKind.OVERLOADED)
        levels["p"] = ADMIT_ALL
        await asyncio.sleep(0.02)
        self.assertEqual(await outcome(control, browse), ErrorKind.OVERLOADED)
        (await control.admit(order)).finish(OK)
        await asyncio.sleep(0.201)
        (await control.admit(browse)).finish(OK)

    @virtually
    async def test_can_be_switched_off(self, clock):
        control = make_control(clock, upstream_refusal=False)
        control.set_downstream_source(lambda: {"p": ADMIT_NONE})
        (await control.admit(make_call(clock))).finish(OK)


class RetryAfterTests(unittest.TestCase):
    async def pauses(self, clock, **values):
        control = make_control(clock, **values)
        control.set_downstream_source(lambda: {"p": ADMIT_NONE})
        pauses = []
        for _ in range(200):
            try:
                await control.admit(make_call(clock))
            except CallError as error:
                pauses.append(error.retry_after_ms)
            await asyncio.sleep(0.1)
        return pauses

    @virtually
    async def test_grows_with_jitter_up_to_a_cap(self, clock):
        pauses = await self.pauses(clock)
        first, last = pauses[:5], pauses[-50:]
        self.assertTrue(all(100 <= pause <= 700 for pause in first))
        self.assertTrue(all(2_500 <= pause <= 7_500 for pause in last))
        self.assertGreater(len(set(last)), 40)

    @virtually
    async def test_can_be_switched_off(self, clock):
        self.assertEqual(set(await self.pauses(clock, retry_after=False)), {0})


class LeaveTests(unittest.TestCase):
    @virtually
    async def test_waiting_calls_go_and_running_ones_finish(self, clock):
        control = make_control(clock, slots=1)
        running = await control.admit(make_call(clock))
        waiting = start(control, make_call(clock))
        await settle()
        control.stop_admitting()
        self.assertEqual(await waiting, ErrorKind.LEAVING)
        refused = await outcome(control, make_call(clock))
        self.assertEqual(refused, ErrorKind.LEAVING)
        drained = asyncio.ensure_future(control.wait_until_idle())
        await settle()
        self.assertFalse(drained.done())
        running.finish(OK)
        await drained
        control.close()


class ReconfigureTests(unittest.TestCase):
    @virtually
    async def test_more_slots_serve_the_line_at_once(self, clock):
        control = make_control(clock, slots=1)
        await control.admit(make_call(clock))
        waiting = start(control, make_call(clock))
        await settle()
        control.reconfigure(make_inputs(clock, slots=2))
        (await waiting).finish(OK)
        self.assertEqual(control.in_flight, 1)

    @virtually
    async def test_unknown_scheme_is_an_error(self, clock):
        with self.assertRaisesRegex(ValueError, "unknown admission scheme: best"):
            make_control(clock).reconfigure(make_inputs(clock), "best")

    @virtually
    async def test_snapshot_is_plain(self, clock):
        control = make_control(clock)
        await teach(control, clock, 0.01)
        control.stop_admitting()
        await outcome(control, make_call(clock))
        shown = control.snapshot()
        self.assertEqual(shown["admitted"], {"normal": 30})
        self.assertEqual(shown["refused"], {"normal/leaving": 1})
