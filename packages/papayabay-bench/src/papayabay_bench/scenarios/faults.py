"""Plays the faults of a scenario while its load runs."""

import asyncio

from papayabay_bench.fleet.plan import failure_domain_of
from papayabay_core.utils.clock import now

DRAIN_TIMEOUT = 30.0
STORE_DOWN = {"down": "close", "silent": "silent", "unavailable": "unavailable"}


class FaultPlayer:
    """Begins and ends faults at their times.

    Parameters
    ----------
    scenario : Scenario
    fleet : Fleet
    """

    def __init__(self, scenario, fleet):
        self.scenario = scenario
        self.fleet = fleet

    async def play(self, starts_at):
        """Play every fault; a slow one delays no other."""
        async with asyncio.TaskGroup() as group:
            for fault in self.scenario.faults:
                if fault.kind != "surge":
                    group.create_task(self.play_one(fault, starts_at))

    async def play_one(self, fault, starts_at):
        """Begin a fault when it is due, and undo it."""
        await asyncio.sleep(max(0.0, starts_at + fault.start_seconds - now()))
        begun = asyncio.create_task(self.switch(fault, True))
        if fault.duration_seconds is not None:
            await asyncio.sleep(max(0.0, starts_at + fault.end_seconds - now()))
            await begun
            await self.switch(fault, False)
        await begun

    async def switch(self, fault, on):
        """Begin a fault, or undo it."""
        await getattr(self, f"switch_{fault.kind}")(fault, on)

    async def switch_slow(self, fault, on):
        """Slow down a service."""
        factor = fault.value if on else 1.0
        await self.fleet.control_service(fault.subject, slow=factor)

    async def switch_lie(self, fault, on):
        """Have the load endpoints of a service say something false."""
        load = fault.value if on else None
        await self.fleet.control_service(fault.subject, reported_load=load)

    async def switch_shed(self, fault, on):
        """Have the targets of a service shed load."""
        above = fault.value if on else None
        await self.fleet.control_service(fault.subject, shed_above=above)

    async def switch_freeze(self, fault, on):
        """Have a target take calls and work on none."""
        await self.fleet.control(fault.subject, frozen=on)

    async def switch_kill(self, fault, on):
        """Kill a target or a daemon; it comes back cold."""
        if fault.value == "target":
            await self.fleet.control(fault.subject, dead=on)
        elif on:
            self.fleet.kill(fault.subject)
        else:
            await self.fleet.restart(fault.subject)

    async def switch_drain(self, fault, on):
        """Withdraw a target, or end a daemon gracefully."""
        if fault.value == "target":
            await self.fleet.control(fault.subject, draining=on)
        elif on:
            await self.fleet.drain(fault.subject, DRAIN_TIMEOUT)
        else:
            await self.fleet.restart(fault.subject)

    async def switch_pause(self, fault, on):
        """Stop a daemon without its noticing."""
        if on:
            self.fleet.pause(fault.subject)
        else:
            self.fleet.resume(fault.subject)

    async def switch_lose(self, fault, on):
        """Lose all daemons and targets of a failure domain."""
        plan, fleet = self.fleet.plan, self.fleet
        names = [
            name
            for name in fleet.daemons
            if failure_domain_of(plan, name) == fault.subject
        ]
        targets = [name for name in names if name in fleet.host_by_target]
        if on:
            for name in names:
                fleet.kill(name)
            await asyncio.gather(*(fleet.control(name, dead=True) for name in targets))
            return
        await fleet.start_daemons(names)
        await asyncio.gather(*(fleet.control(name, dead=False) for name in targets))

    async def switch_store(self, fault, on):
        """Take the platform's store away."""
        await self.store(on, down=STORE_DOWN[fault.value])

    async def switch_store_slow(self, fault, on):
        """Slow down the platform's store."""
        await self.store(on, slow_ms=fault.value)

    async def switch_store_loses(self, fault, on):
        """Lose answers of writes that took effect."""
        await self.store(on, lost_answer=fault.value)

    async def switch_store_stale(self, fault, on):
        """Have reads see the past."""
        await self.store(on, stale_ms=fault.value)

    async def store(self, on, **faults):
        """Set the platform's faults, or none."""
        await self.fleet.platform_faults(**(faults if on else {}))
