"""Injects the faults of a scenario while its load runs."""

import asyncio

from papayabay_bench.fleet.plan import failure_domain_of
from papayabay_core.utils.clock import now

DRAIN_TIMEOUT_SECONDS = 30.0
STORE_DOWN = {"down": "close", "silent": "silent", "unavailable": "unavailable"}


class FaultInjector:
    """Starts and ends the faults of a scenario at their times.

    Parameters
    ----------
    scenario : Scenario
    fleet : Fleet
    """

    def __init__(self, scenario, fleet):
        self.scenario = scenario
        self.fleet = fleet

    async def inject_all(self, starts_at):
        """Inject all faults concurrently, so that none delays another.

        Surges are left out, since they are part of the load.

        Parameters
        ----------
        starts_at : float
            When the load starts, on `clock.now()`.
        """
        async with asyncio.TaskGroup() as group:
            for fault in self.scenario.faults:
                if fault.kind != "surge":
                    group.create_task(self.inject(fault, starts_at))

    async def inject(self, fault, starts_at):
        """Start a fault at its time, and end it unless it is permanent."""
        await asyncio.sleep(max(0.0, starts_at + fault.start_seconds - now()))
        starting = asyncio.create_task(self.switch(fault, True))
        if fault.duration_seconds is not None:
            await asyncio.sleep(max(0.0, starts_at + fault.end_seconds - now()))
            await starting
            await self.switch(fault, False)
        await starting

    async def switch(self, fault, on):
        """Start a fault, or end it, with the method for its kind."""
        await getattr(self, f"switch_{fault.kind}")(fault, on)

    async def switch_slow(self, fault, on):
        """Multiply the service times of a service's targets."""
        factor = fault.value if on else 1.0
        await self.fleet.control_service(fault.subject, slow=factor)

    async def switch_lie(self, fault, on):
        """Make the targets of a service report a false load."""
        load = fault.value if on else None
        await self.fleet.control_service(fault.subject, reported_load=load)

    async def switch_shed(self, fault, on):
        """Make the targets of a service shed calls above a load."""
        above = fault.value if on else None
        await self.fleet.control_service(fault.subject, shed_above=above)

    async def switch_limit(self, fault, on):
        """Make the targets of a service name a rate limit in all answers."""
        rate = fault.value if on else None
        await self.fleet.control_service(fault.subject, rate_limit=rate)

    async def switch_freeze(self, fault, on):
        """Make a target accept calls without working on them."""
        await self.fleet.control(fault.subject, frozen=on)

    async def switch_kill(self, fault, on):
        """Kill a target or a daemon, or restart it."""
        if fault.value == "target":
            await self.fleet.control(fault.subject, dead=on)
        elif on:
            self.fleet.kill(fault.subject)
        else:
            await self.fleet.restart(fault.subject)

    async def switch_drain(self, fault, on):
        """Withdraw a target or shut a daemon down gracefully, or undo it."""
        if fault.value == "target":
            await self.fleet.control(fault.subject, draining=on)
        elif on:
            await self.fleet.drain(fault.subject, DRAIN_TIMEOUT_SECONDS)
        else:
            await self.fleet.restart(fault.subject)

    async def switch_pause(self, fault, on):
        """Suspend a daemon with SIGSTOP, or resume it."""
        if on:
            self.fleet.pause(fault.subject)
        else:
            self.fleet.resume(fault.subject)

    async def switch_lose(self, fault, on):
        """Kill all daemons and targets of a domain, or restart them."""
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
        """Make the platform's store unavailable."""
        await self.set_store_faults(on, down=STORE_DOWN[fault.value])

    async def switch_store_slow(self, fault, on):
        """Delay the answers of the platform's store."""
        await self.set_store_faults(on, slow_ms=fault.value)

    async def switch_store_loses(self, fault, on):
        """Lose the answers of a share of the successful writes."""
        await self.set_store_faults(on, lost_answer=fault.value)

    async def switch_store_stale(self, fault, on):
        """Make reads return values of the past."""
        await self.set_store_faults(on, stale_ms=fault.value)

    async def set_store_faults(self, on, **faults):
        """Set the platform's faults, or clear them."""
        await self.fleet.platform_faults(**(faults if on else {}))
