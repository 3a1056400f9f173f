"""Chains and single calls on one service, in virtual time."""

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace

from papayabay_core.errors import CallError
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_daemon._internal.calls.slack import SlackModel
from tests.unit.daemon.admission_support import OK, make_call, make_control, run_virtual

SLOTS = 137
CALL_S = 0.054
CHAIN_CALLS = 8
OWN_S = 0.268 / CHAIN_CALLS
DEADLINE_S = 1.5
CAPACITY = SLOTS / CALL_S / CHAIN_CALLS
"""Chains a second."""
SINGLE_S = 0.14
SINGLE_OBJECTIVE_S = 0.6
SINGLES_PER_S = 66
LEVEL_DELAY_S = 0.05
"""Age of the threshold that the entries know."""


class Load:
    """Chains at a multiple of the capacity, and single calls beside them."""

    def __init__(self, clock, order, share, chain_class, single_class, seed):
        self.clock, self.share, self.classes = clock, share, (chain_class, single_class)
        self.control = make_control(
            clock, slots=SLOTS, queue_order=order, slot_search=False
        )
        self.slack = SlackModel() if order == "due" else None
        self.random = Random(seed)
        self.level = ADMIT_ALL
        self.counts = Counter()

    async def run(self, warm_up_s, seconds):
        """Run the load; return the figures a second after the warm-up."""
        self.from_s, self.end = warm_up_s, warm_up_s + seconds
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follow_level())
            chains = self.arrivals(group, self.share * CAPACITY, self.run_chain)
            group.create_task(chains)
            group.create_task(self.arrivals(group, SINGLES_PER_S, self.run_single))
        return {key: count / seconds for key, count in self.counts.items()}

    async def follow_level(self):
        while self.clock() < self.end:
            level = self.control.load("step").admit_level
            await asyncio.sleep(LEVEL_DELAY_S)
            self.level = level

    async def arrivals(self, group, per_second, run):
        while self.clock() < self.end:
            group.create_task(run(self.clock()))
            await asyncio.sleep(self.random.expovariate(per_second))

    async def run_call(self, call, seconds):
        ticket = await self.control.admit(call)
        seconds *= self.random.uniform(0.8, 1.2)
        await asyncio.sleep(seconds)
        ticket.finish(OK)
        return seconds

    async def run_single(self, started):
        rank = self.random.randrange(65_536)
        call = make_call(self.clock, self.classes[1], rank, lifetime=1.2, path="single")
        call.due_at = started + SINGLE_OBJECTIVE_S
        try:
            if call.level <= self.level:
                await self.run_call(call, SINGLE_S)
                self.count("single", started, SINGLE_OBJECTIVE_S)
        except CallError:
            pass

    async def run_chain(self, started):
        rank = self.random.randrange(65_536)
        call = make_call(self.clock, self.classes[0], rank, lifetime=DEADLINE_S)
        if call.level > self.level:
            return
        call.due_at = call.expires_at
        live = SimpleNamespace(call=call, steps=None, child_tasks=())
        live.downstream_failed, used_s = False, 0.0
        try:
            for _ in range(CHAIN_CALLS):
                used_s += await self.run_step(live, call)
                await asyncio.sleep(OWN_S)
        except CallError:
            self.count("lost_slots", started, None, used_s)
            return
        if self.slack:
            self.slack.end_run(live, self.clock())
        self.count("chain", started, DEADLINE_S)

    async def run_step(self, live, parent):
        lifetime = parent.expires_at - self.clock()
        call = make_call(
            self.clock, parent.importance, parent.rank, 1, lifetime, "step"
        )
        if self.slack:
            self.slack.begin_call(live, call, self.clock())
        used_s = await self.run_call(call, CALL_S)
        if self.slack:
            self.slack.end_call(live, self.clock())
        return used_s

    def count(self, name, started, objective_s, amount=1):
        in_time = objective_s is None or self.clock() - started <= objective_s
        if in_time and self.from_s <= started:
            self.counts[name] += amount


def run_load(
    order,
    share,
    chain_class=Importance.NORMAL,
    single_class=Importance.NORMAL,
    seed=11,
    queue=None,
    seconds=(1.5, 2.5),
):
    """Return the figures of one load, each a second."""

    def main(clock):
        load = Load(clock, order, share, chain_class, single_class, seed)
        if queue is not None:
            load.control.scheme.queue = queue
        return load.run(*seconds)

    return run_virtual(main)
