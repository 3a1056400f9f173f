"""Plays the faults of a schedule on a fleet."""

import asyncio
import signal

from papayabay_core.utils.clock import now

STORE_FAULTS = {
    "store-down": {"down": "close"},
    "store-silent": {"down": "silent"},
    "store-slow": {"slow_ms": 300},
    "store-lost": {"lost_answer": 0.6},
    "store-stale": {"stale_ms": 600},
}
SLOW_FACTOR = 40.0
SHED_ABOVE = 0
DRAIN_TIMEOUT = 15.0
LEAVE_SECONDS = 2.0
"""A leaving target stays away so much longer than the rule's allowance."""
PAUSE_SECONDS = 1.2
"""A pause lasts so much longer, so that every request's life ends in it."""


class FaultPlayer:
    """Begins and ends faults when they are due, and records both.

    Parameters
    ----------
    fleet : Fleet
    recorder : Recorder
    """

    def __init__(self, fleet, recorder):
        self.fleet = fleet
        self.recorder = recorder

    async def play(self, fault, starts_at):
        """Play one fault from beginning to end."""
        await asyncio.sleep(max(0.0, starts_at + fault.at - now()))
        self.recorder.record_fault_begin(fault.kind, fault.subject)
        name = "store" if fault.kind in STORE_FAULTS else fault.kind
        await getattr(self, f"play_{name}")(fault)
        self.recorder.record_fault_end(fault.kind, fault.subject)

    async def play_store(self, fault):
        """Have the store fail for a while."""
        await self.fleet.platform_faults(**STORE_FAULTS[fault.kind])
        await asyncio.sleep(fault.seconds)
        await self.fleet.platform_faults()

    async def play_pause(self, fault):
        """Stop a daemon for longer than any request lives."""
        self.fleet.pause(fault.subject)
        await asyncio.sleep(fault.seconds + PAUSE_SECONDS)
        self.fleet.resume(fault.subject)

    async def play_kill(self, fault):
        """Kill a daemon and start it again."""
        self.fleet.kill(fault.subject)
        await asyncio.sleep(fault.seconds)
        await self.fleet.restart(fault.subject)

    async def play_silence(self, fault):
        """Make a daemon's open links silent, for good."""
        self.fleet.kill(fault.subject, signal.SIGUSR1)

    async def play_drain(self, fault):
        """End a daemon gracefully and start it again."""
        code = await self.fleet.drain(fault.subject, DRAIN_TIMEOUT)
        if code != 0:
            self.recorder.record_fault_begin("undrained", fault.subject)
        await asyncio.sleep(fault.seconds)
        await self.fleet.restart(fault.subject)

    async def play_crash(self, fault):
        """Break all of a target's connections; it comes back later."""
        await self.fleet.control(fault.subject, dead=True)
        await asyncio.sleep(fault.seconds)
        await self.fleet.control(fault.subject, dead=False)

    async def play_leave(self, fault):
        """Withdraw a target's announcement; it works on what it has."""
        await self.fleet.control(fault.subject, draining=True)
        await asyncio.sleep(fault.seconds + LEAVE_SECONDS)
        await self.fleet.control(fault.subject, draining=False)

    async def play_surge(self, fault):
        """Slow a service down, so that clients outrun it."""
        await self.fleet.control_service(fault.subject, slow=SLOW_FACTOR)
        await asyncio.sleep(fault.seconds)
        await self.fleet.control_service(fault.subject, slow=1.0)

    async def play_shed(self, fault):
        """Have the targets of a service refuse every call."""
        await self.fleet.control_service(fault.subject, shed_above=SHED_ABOVE)
        await asyncio.sleep(fault.seconds)
        await self.fleet.control_service(fault.subject, shed_above=None)
