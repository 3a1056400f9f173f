import asyncio
import unittest
from random import Random

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL, ADMIT_NONE, Importance, level_of
from tests.unit.daemon.admission_support import (
    OK,
    SHED,
    admit_or_kind,
    in_virtual_time,
    make_call,
    make_control,
    make_inputs,
    settle,
    start_admit,
    train,
)


class SlotTests(unittest.TestCase):
    @in_virtual_time
    async def test_no_slot_leaks_under_random_cancellation(self, clock):
        """A slot leaked when its grant raced with a cancellation.

        The slot was granted, and the caller left before its task ran again.
        Nothing released the ticket, and the target was idle while calls
        waited.
        """
        random = Random(11)
        control = make_control(clock, slots=3)

        async def run_call():
            ticket = await admit_or_kind(
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
            tasks.append(asyncio.create_task(run_call()))
            await asyncio.sleep(random.choice([0, 0, 0.0005]))
            if random.random() < 0.6:
                random.choice(tasks[-8:]).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertGreater(control.counters.cancelled, 50)
        self.assertEqual((control.in_flight, control.scheme.queue.size), (0, 0))
        await control.wait_until_idle()

    @in_virtual_time
    async def test_grant_and_cancel_in_the_same_iteration(self, clock):
        control = make_control(clock, slots=1)
        ticket = await control.admit(make_call(clock))
        waiting = start_admit(control, make_call(clock))
        await settle()
        ticket.finish(OK)
        waiting.cancel()
        await settle()
        self.assertEqual(control.in_flight, 0)

    @in_virtual_time
    async def test_second_finish_is_ignored(self, clock):
        control = make_control(clock)
        ticket = await control.admit(make_call(clock))
        ticket.finish(OK)
        ticket.finish(None)
        self.assertEqual(control.in_flight, 0)
        self.assertEqual(control.counters.finished_again, 1)


class LimitTests(unittest.TestCase):
    @in_virtual_time
    async def test_cold_start_ramp(self, clock):
        control = make_control(clock, slots=100, cold_start_ms=1_000)
        limits = []
        for _ in range(3):
            limits.append(control.load("p").limit)
            await asyncio.sleep(0.5)
        self.assertEqual(limits, [10, 55, 100])

    @in_virtual_time
    async def test_cold_share_is_a_setting(self, clock):
        control = make_control(clock, slots=100, cold_start_ms=1_000, cold_share=0.5)
        self.assertEqual(control.load("p").limit, 50)
        await asyncio.sleep(0.5)
        self.assertEqual(control.load("p").limit, 75)

    @in_virtual_time
    async def test_growing_limit_serves_the_queue(self, clock):
        control = make_control(clock, slots=10, cold_start_ms=1_000)
        await control.admit(make_call(clock))
        (await asyncio.wait_for(control.admit(make_call(clock)), 1)).finish(OK)
        self.assertLess(clock(), 0.25)

    @in_virtual_time
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
    @in_virtual_time
    async def test_calls_refused_downstream_are_refused_here(self, clock):
        control = make_control(clock)
        levels = {"p": level_of(Importance.NORMAL, 1_000)}
        control.set_downstream_source(lambda: dict(levels))
        worse_call = make_call(clock, rank=9_000)
        self.assertEqual(await admit_or_kind(control, worse_call), ErrorKind.OVERLOADED)
        (await control.admit(make_call(clock, rank=500))).finish(OK)
        (await control.admit(make_call(clock, rank=9_000, path="q"))).finish(OK)
        self.assertEqual(control.load("p").path_levels, levels)
        self.assertEqual(control.load("p").admit_level, ADMIT_ALL)
        levels.clear()
        await asyncio.sleep(0.02)
        self.assertEqual(control.load("p").path_levels, {})
        (await control.admit(worse_call)).finish(OK)

    @in_virtual_time
    async def test_critical_refusal_leaves_an_open_path_to_other_classes(self, clock):
        """Guards against refusals on a path that admits the call."""
        control = make_control(clock)
        levels = {"p": ADMIT_NONE}
        control.set_downstream_source(lambda: levels)
        order = make_call(clock, Importance.CRITICAL)
        browse = make_call(clock, Importance.SHEDDABLE)
        for call in (order, browse):
            self.assertEqual(await admit_or_kind(control, call), ErrorKind.OVERLOADED)
        levels["p"] = ADMIT_ALL
        await asyncio.sleep(0.02)
        (await control.admit(browse)).finish(OK)
        (await control.admit(order)).finish(OK)

    @in_virtual_time
    async def test_can_be_switched_off(self, clock):
        control = make_control(clock, upstream_refusal=False)
        control.set_downstream_source(lambda: {"p": ADMIT_NONE})
        (await control.admit(make_call(clock))).finish(OK)


class RetryAfterTests(unittest.TestCase):
    async def told(self, control, call):
        """Return the Retry-After of a call that is refused."""
        with self.assertRaises(CallError) as raised:
            await control.admit(call)
        return raised.exception.retry_after_ms

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

    @in_virtual_time
    async def test_grows_with_jitter_up_to_a_cap(self, clock):
        pauses = await self.pauses(clock)
        first, last = pauses[:5], pauses[-50:]
        self.assertTrue(all(100 <= pause <= 700 for pause in first))
        self.assertTrue(all(2_500 <= pause <= 7_500 for pause in last))
        self.assertGreater(len(set(last)), 40)

    @in_virtual_time
    async def test_classes_are_told_their_own_time(self, clock):
        """Guards against orders that are told to wait for as long as pages."""
        control = make_control(clock)
        levels = {"p": level_of(Importance.NORMAL, 0) - 1}
        control.set_downstream_source(lambda: levels)
        for _ in range(150):
            (await control.admit(make_call(clock, Importance.CRITICAL))).finish(OK)
            page = await self.told(control, make_call(clock, Importance.SHEDDABLE))
            await asyncio.sleep(0.03)
        levels["p"] = ADMIT_NONE
        await asyncio.sleep(0.03)
        order = await self.told(control, make_call(clock, Importance.CRITICAL))
        self.assertGreaterEqual(page, 2_500)
        self.assertLessEqual(order, 400)

    @in_virtual_time
    async def test_can_be_switched_off(self, clock):
        self.assertEqual(set(await self.pauses(clock, retry_after=False)), {0})


class StopAdmittingTests(unittest.TestCase):
    @in_virtual_time
    async def test_queued_calls_are_refused_and_running_ones_finish(self, clock):
        control = make_control(clock, slots=1)
        running = await control.admit(make_call(clock))
        waiting = start_admit(control, make_call(clock))
        await settle()
        control.stop_admitting()
        self.assertEqual(await waiting, ErrorKind.LEAVING)
        refused = await admit_or_kind(control, make_call(clock))
        self.assertEqual(refused, ErrorKind.LEAVING)
        idle = asyncio.ensure_future(control.wait_until_idle())
        await settle()
        self.assertFalse(idle.done())
        running.finish(OK)
        await idle
        control.close()


class ReconfigureTests(unittest.TestCase):
    @in_virtual_time
    async def test_more_slots_serve_the_queue_at_once(self, clock):
        control = make_control(clock, slots=1)
        await control.admit(make_call(clock))
        waiting = start_admit(control, make_call(clock))
        await settle()
        control.reconfigure(make_inputs(clock, slots=2))
        (await waiting).finish(OK)
        self.assertEqual(control.in_flight, 1)

    @in_virtual_time
    async def test_unknown_scheme_is_an_error(self, clock):
        with self.assertRaisesRegex(ValueError, "unknown admission scheme: best"):
            make_control(clock).reconfigure(make_inputs(clock), "best")

    @in_virtual_time
    async def test_snapshot_has_plain_counts(self, clock):
        control = make_control(clock)
        await train(control, clock, 0.01)
        control.stop_admitting()
        await admit_or_kind(control, make_call(clock))
        snapshot = control.snapshot()
        self.assertEqual(snapshot["admitted"], {"normal": 30})
        self.assertEqual(snapshot["refused"], {"normal/leaving": 1})
