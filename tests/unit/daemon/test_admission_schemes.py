import asyncio
import unittest

from papayabay_core.errors import ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_daemon._internal.admission.schemes import SCHEMES
from tests.unit.daemon.admission_support import (
    OK,
    admit_or_kind,
    in_virtual_time,
    make_call,
    make_control,
    make_inputs,
    settle,
    start_admit,
)


async def served_order(control, clock, pauses):
    """Queue calls with pauses in between; return the order served."""
    running = await control.admit(make_call(clock))
    order = []

    async def run_call(number):
        ticket = await admit_or_kind(control, make_call(clock))
        if ticket is ErrorKind.OVERLOADED:
            return
        order.append(number)
        ticket.finish(OK)

    tasks = []
    for number, pause in enumerate(pauses):
        tasks.append(asyncio.create_task(run_call(number)))
        await settle()
        await asyncio.sleep(pause)
    running.finish(OK)
    await asyncio.gather(*tasks)
    return order


class SchemeTests(unittest.TestCase):
    @in_virtual_time
    async def test_calls_survive_every_change_of_scheme(self, clock):
        for old in SCHEMES:
            for new in SCHEMES:
                with self.subTest(old=old, new=new):
                    control = make_control(clock, old, slots=1)
                    running = await control.admit(make_call(clock))
                    waiting = start_admit(control, make_call(clock))
                    await settle()
                    control.reconfigure(make_inputs(clock, slots=1, admission=new))
                    running.finish(OK)
                    (await waiting).finish(OK)
                    self.assertEqual(control.in_flight, 0)

    @in_virtual_time
    async def test_open_forwards_every_call(self, clock):
        control = make_control(clock, "open", slots=1)
        for _ in range(500):
            await control.admit(make_call(clock, lifetime=-1))
        self.assertEqual(control.in_flight, 500)

    @in_virtual_time
    async def test_static_has_a_limit_and_a_bounded_queue(self, clock):
        control = make_control(clock, "static", slots=9, static_limit=2)
        waiting = [start_admit(control, make_call(clock)) for _ in range(103)]
        await settle()
        self.assertEqual(control.in_flight, 2)
        self.assertEqual(waiting[-1].result(), ErrorKind.OVERLOADED)
        self.assertFalse(waiting[-2].done())
        control.stop_admitting()
        await settle()

    @in_virtual_time
    async def test_codel_serves_the_newest_and_drops_overdue_calls(self, clock):
        control = make_control(clock, "codel", slots=1)
        self.assertEqual(await served_order(control, clock, [0.01] * 3), [0, 1, 2])
        pauses = [0.1, 0.1, 0.005, 0.005, 0.005]
        self.assertEqual(await served_order(control, clock, pauses), [4, 3, 2])

    @in_virtual_time
    async def test_dagor_refuses_the_lowest_class_after_long_waits(self, clock):
        control = make_control(clock, "dagor", slots=1)
        for _ in range(40):
            waiting = [
                start_admit(control, make_call(clock, Importance(number % 3)))
                for number in range(12)
            ]
            for task in waiting:
                ticket = await task
                if not isinstance(ticket, ErrorKind):
                    await asyncio.sleep(0.02)
                    ticket.finish(OK)
            await asyncio.sleep(1)
            if control.load("p").admit_level < ADMIT_ALL:
                break
        browse = make_call(clock, Importance.SHEDDABLE, rank=65_535)
        self.assertEqual(await admit_or_kind(control, browse), ErrorKind.OVERLOADED)
        (await control.admit(make_call(clock, Importance.CRITICAL))).finish(OK)

    @in_virtual_time
    async def test_gradient_lowers_the_limit_when_latency_grows(self, clock):
        control = make_control(clock, "gradient", slots=20)

        async def run_rounds(seconds, count):
            for _ in range(count):
                limit = control.load("p").limit
                tickets = [await control.admit(make_call(clock)) for _ in range(limit)]
                await asyncio.sleep(seconds)
                for ticket in tickets:
                    ticket.finish(OK)
            return control.load("p").limit

        raised_limit = await run_rounds(0.1, 5)
        self.assertGreater(raised_limit, 20)
        self.assertLess(await run_rounds(1.0, 10), raised_limit * 0.8)
