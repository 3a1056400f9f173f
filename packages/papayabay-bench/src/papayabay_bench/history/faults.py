"""Injects the faults of a schedule into a fleet."""

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
"""Calls in progress above which targets shed: here at any load."""
DRAIN_TIMEOUT_SECONDS = 15.0
EXTRA_LEAVE_SECONDS = 2.0
"""Added to the time that a target is withdrawn, so that it is longer than
the `leaving` rule allows for new work."""
EXTRA_PAUSE_SECONDS = 1.2
"""Added to a daemon's pause, so that it outlasts every request's deadline."""


class FaultInjector:
    """Starts and ends faults at their times and records both.

    Parameters
    ----------
    fleet : Fleet
    recorder : Recorder
    """

    def __init__(self, fleet, recorder):
        self.fleet = fleet
        self.recorder = recorder

    async def inject(self, fault, starts_at):
        """Wait for a fault's time, start it and end it again.

        Parameters
        ----------
        fault : PlannedFault
        starts_at : float
            When the run started, on `clock.now()`.
        """
        await asyncio.sleep(max(0.0, starts_at + fault.start_seconds - now()))
        self.recorder.record_fault_begin(fault.kind, fault.subject)
        name = "store" if fault.kind in STORE_FAULTS else fault.kind
        await getattr(self, f"play_{name}")(fault)
        self.recorder.record_fault_end(fault.kind, fault.subject)

    async def play_store(self, fault):
        """Make the platform's store fail for a while."""
        await self.fleet.platform_faults(**STORE_FAULTS[fault.kind])
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.platform_faults()

    async def play_pause(self, fault):
        """Suspend a daemon for longer than any request's lifetime."""
        self.fleet.pause(fault.subject)
        await asyncio.sleep(fault.duration_seconds + EXTRA_PAUSE_SECONDS)
        self.fleet.resume(fault.subject)

    async def play_kill(self, fault):
        """Kill a daemon with SIGKILL and restart it later."""
        self.fleet.kill(fault.subject)
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.restart(fault.subject)

    async def play_silence(self, fault):
        """Silence a daemon's open links; they do not recover."""
        self.fleet.kill(fault.subject, signal.SIGUSR1)

    async def play_drain(self, fault):
        """Shut a daemon down gracefully and restart it later.

        A shutdown that times out or fails is recorded as "undrained".
        """
        code = await self.fleet.drain(fault.subject, DRAIN_TIMEOUT_SECONDS)
        if code != 0:
            self.recorder.record_fault_begin("undrained", fault.subject)
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.restart(fault.subject)

    async def play_crash(self, fault):
        """Close a target's listener and connections for a while."""
        await self.fleet.control(fault.subject, dead=True)
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.control(fault.subject, dead=False)

    async def play_leave(self, fault):
        """Withdraw a target's announcement and announce it again later.

        The target completes the calls that it already has.
        """
        await self.fleet.control(fault.subject, draining=True)
        await asyncio.sleep(fault.duration_seconds + EXTRA_LEAVE_SECONDS)
        await self.fleet.control(fault.subject, draining=False)

    async def play_surge(self, fault):
        """Slow down a service, so that the load exceeds its capacity."""
        await self.fleet.control_service(fault.subject, slow=SLOW_FACTOR)
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.control_service(fault.subject, slow=1.0)

    async def play_shed(self, fault):
        """Make the targets of a service refuse every call for a while."""
        await self.fleet.control_service(fault.subject, shed_above=SHED_ABOVE)
        await asyncio.sleep(fault.duration_seconds)
        await self.fleet.control_service(fault.subject, shed_above=None)
