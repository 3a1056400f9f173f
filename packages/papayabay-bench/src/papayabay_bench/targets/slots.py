"""The slots of a target: a bounded first-come-first-served queue."""

import asyncio
from contextlib import asynccontextmanager

from papayabay_core.utils.clock import now


class SlotsFull(Exception):
    """More calls are inside than the target takes connections."""


class Slots:
    """Lets a fixed number of calls work at once.

    Parameters
    ----------
    slots, connections : int
    """

    def __init__(self, slots, connections):
        self.semaphore = asyncio.Semaphore(slots)
        self.slots = slots
        self.connections = connections
        self.inside = 0
        self.busy = 0

    @asynccontextmanager
    async def entered(self):
        """Count a call as inside.

        Raises
        ------
        SlotsFull
            When `connections` calls are inside already.
        """
        if self.inside >= self.connections:
            raise SlotsFull
        self.inside += 1
        try:
            yield
        finally:
            self.inside -= 1

    @asynccontextmanager
    async def held(self, execution):
        """Hold a slot, adding the times waited and held to an execution."""
        arrived = now()
        try:
            await self.semaphore.acquire()
        finally:
            execution.queued_ms += (now() - arrived) * 1_000
        began = now()
        self.busy += 1
        try:
            yield
        finally:
            self.busy -= 1
            self.semaphore.release()
            execution.busy_ms += (now() - began) * 1_000
