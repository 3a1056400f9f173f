"""Slots go to the most important call that can be in time, and never idle."""

import asyncio
import unittest
from random import Random

from papayabay_core.errors import ErrorKind
from papayabay_core.importance import Importance
from tests.unit.daemon.admission_support import (
    OK,
    admit_or_kind,
    in_virtual_time,
    make_call,
    make_control,
    run_virtual,
    start_admit,
    train,
)

CRITICAL, NORMAL, SHEDDABLE = Importance
SERVICE_S = 0.01
SLOTS = 4
ORDERS = ("depth", "due")


class SlotAudit:
    """Records the grants and refusals of a control that callers may object to.

    Parameters
    ----------
    control : AdmissionControl

    Attributes
    ----------
    idle_refusals : list of Importance
        Classes of the calls that were refused for overload beside a free slot
        and could have been answered in time.
    overtaken : list of Importance
        Classes of the waiting calls that could still be answered in time when
        a less important call got a slot.
    """

    def __init__(self, control):
        self.control = control
        self.idle_refusals = []
        self.overtaken = []
        self.waiting = []
        self.replace("enqueue", self.record_waiting)
        self.replace("grant", self.check_grant)
        self.replace("release_cancelled", lambda entry: self.forget(entry.call))
        self.replace("error", self.check_refusal, control.refusals)

    def replace(self, name, check, owner=None):
        """Call a check before a method of the control or of another owner."""
        owner = owner or self.control
        method = getattr(owner, name)

        def checked(*arguments):
            check(*arguments)
            return method(*arguments)

        setattr(owner, name, checked)

    def record_waiting(self, call, now):
        """Record a call that found no free slot."""
        self.waiting.append(call)

    def forget(self, call):
        """Forget a call that no longer waits."""
        if call in self.waiting:
            self.waiting.remove(call)

    def can_be_in_time(self, call, now):
        """Return whether a call would be answered in time if it ran now."""
        return now + SERVICE_S <= call.expires_at

    def check_grant(self, call, waited_s, now):
        """Compare a call that gets a slot with those that wait."""
        self.forget(call)
        self.overtaken += [
            other.importance
            for other in self.waiting
            if other.importance < call.importance and self.can_be_in_time(other, now)
        ]

    def check_refusal(self, call, kind, retry_after_ms=0):
        """Check that no slot is free when a call is refused for overload."""
        now = self.control.clock()
        self.forget(call)
        if kind is not ErrorKind.OVERLOADED or not self.control.has_room(now):
            return
        if self.can_be_in_time(call, now):
            self.idle_refusals.append(call.importance)


async def run_call(control, call):
    """Run a call for its service time; return the error kind of a refusal."""
    ticket = await admit_or_kind(control, call)
    if isinstance(ticket, ErrorKind):
        return ticket
    await asyncio.sleep(SERVICE_S)
    ticket.finish(OK)
    return None


async def bursts_of_short_lived_orders(clock, order):
    """Offer bursts of orders that are short of time beside a light load.

    Returns
    -------
    audit : SlotAudit
    refused : list of int
        Refused calls by importance class.
    """
    control = make_control(clock, slots=SLOTS, queue_order=order)
    audit = SlotAudit(control)
    tasks = []
    for tick in range(500):
        if tick % 25 == 0:
            orders = [make_call(clock, CRITICAL, lifetime=0.015) for _ in range(9)]
            tasks += [asyncio.create_task(run_call(control, one)) for one in orders]
        lookup = make_call(clock, (NORMAL, SHEDDABLE)[tick % 2], lifetime=5.0)
        tasks.append(asyncio.create_task(run_call(control, lookup)))
        await asyncio.sleep(SERVICE_S)
    await asyncio.gather(*tasks)
    counts = control.counters.refused
    return audit, [
        counts[importance, ErrorKind.OVERLOADED] for importance in Importance
    ]


async def random_load(clock, order, seed, scheme="ranked"):
    """Offer calls of random class, depth, lifetime and rate."""
    random = Random(seed)
    control = make_control(clock, scheme, slots=SLOTS, queue_order=order)
    audit = SlotAudit(control)
    tasks = []
    for _ in range(30):
        load = random.choice((0.3, 0.8, 1.0, 1.5, 3.0))
        for _ in range(40):
            call = make_call(
                clock,
                random.choice(tuple(Importance)),
                rank=random.randrange(65_536),
                depth=random.choice((0, 0, 1, 2)),
                lifetime=random.choice((0.012, 0.03, 0.2, 3.0)),
            )
            tasks.append(asyncio.create_task(run_call(control, call)))
            await asyncio.sleep(random.expovariate(load * SLOTS / SERVICE_S))
            if random.random() < 0.05:
                random.choice(tasks[-5:]).cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return audit


class SlotGrantTest(unittest.TestCase):
    def test_load_below_capacity_is_served_beside_refused_orders(self):
        """Guards against lookups that are refused while slots are free.

        For some time after each refused order, all other calls were refused
        too, whatever capacity was left.
        """
        for order in ORDERS:
            with self.subTest(order=order):
                audit, refused = run_virtual(
                    lambda clock, order=order: bursts_of_short_lived_orders(
                        clock, order
                    )
                )
                self.assertGreater(refused[CRITICAL], 0)
                self.assertEqual(refused[NORMAL:], [0, 0])
                self.assertEqual(audit.idle_refusals, [])
                self.assertEqual(audit.overtaken, [])

    def test_slots_follow_class_and_time_under_random_load(self):
        """Guards against refusals beside free slots and inverted classes."""
        for order in ORDERS:
            for seed in range(10):
                with self.subTest(order=order, seed=seed):
                    audit = run_virtual(
                        lambda clock, order=order, seed=seed: random_load(
                            clock, order, seed
                        )
                    )
                    self.assertEqual(audit.idle_refusals, [])
                    self.assertEqual(audit.overtaken, [])
                    counters = audit.control.counters
                    self.assertEqual(counters.inversions, 0)
                    self.assertEqual(counters.idle_refusals, 0)
                    self.assertEqual(audit.control.checks.waiting, [0, 0, 0])

    def test_burst_is_served_as_far_as_it_can_wait(self):
        """Guards against a burst that is cut to the target time by one call.

        Once the queue was full, the next call made it as short as a queue that
        has stood for long, and most calls of a burst were refused.
        """
        burst_calls = int(0.15 * SLOTS / SERVICE_S)

        async def run_burst(clock):
            control = make_control(clock, slots=SLOTS, queue_max_ms=150)
            await train(control, clock, SERVICE_S)
            calls = [make_call(clock, lifetime=5.0) for _ in range(2 * burst_calls)]
            kinds = await asyncio.gather(*(run_call(control, call) for call in calls))
            return kinds.count(None)

        self.assertGreaterEqual(run_virtual(run_burst), burst_calls)

    @in_virtual_time
    async def test_calls_served_before_an_order_are_counted(self, clock):
        """Guards against a check that a scheme without classes would pass."""
        audit = await random_load(clock, "depth", 1, "codel")
        self.assertGreater(audit.control.counters.inversions, 0)
        self.assertTrue(audit.overtaken)

    @in_virtual_time
    async def test_refusal_beside_a_free_slot_is_counted(self, clock):
        """Guards against a check that an early threshold would pass."""
        control = make_control(clock, "dagor", slots=SLOTS)
        control.scheme.threshold, control.scheme.window_end = 0, float("inf")
        kind = await admit_or_kind(control, make_call(clock, SHEDDABLE))
        self.assertEqual(kind, ErrorKind.OVERLOADED)
        self.assertEqual(control.counters.idle_refusals, 1)

    @in_virtual_time
    async def test_waiting_lookup_stays_queued_when_an_order_is_refused(self, clock):
        """Guards against the loss of queued calls with each refused order."""
        for order in ORDERS:
            control = make_control(clock, slots=1, queue_order=order)
            running = await control.admit(make_call(clock))
            await asyncio.sleep(SERVICE_S)
            running.finish(OK)
            running = await control.admit(make_call(clock))
            browse = start_admit(control, make_call(clock, SHEDDABLE))
            waiting = [
                start_admit(control, make_call(clock, CRITICAL, lifetime=0.3))
                for _ in range(2)
            ]
            late = start_admit(control, make_call(clock, CRITICAL, lifetime=0.012))
            self.assertEqual(await late, ErrorKind.OVERLOADED)
            self.assertFalse(browse.done())
            running.finish(OK)
            for task in (*waiting, browse):
                (await task).finish(OK)


if __name__ == "__main__":
    unittest.main()
