"""Announces a target to the daemon beside it, again and again."""

import asyncio

import aiohttp

from papayabay_core.utils.clock import now

ANNOUNCE_PATH = "/.papayabay/announce"
WITHDRAW_PATH = "/.papayabay/withdraw"
HEARTBEATS_PER_LEASE = 3
RETRY_PAUSE = 0.05
TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class Announcer:
    """Keeps a target's lease at its daemon.

    Parameters
    ----------
    spec : TargetSpec
    session : aiohttp.ClientSession
    """

    def __init__(self, spec, session):
        self.spec = spec
        self.session = session
        self.address = ""
        self.incarnation = int(now() * 1_000)
        self.paused = asyncio.Event()
        self.announced = asyncio.Event()
        self.last_fault = ""

    def announcement(self):
        """Return what the daemon is told."""
        spec = self.spec
        return {
            "service": spec.service,
            "address": self.address,
            "slots": spec.announced_slots or spec.slots,
            "connections": spec.connections,
            "cold_start_ms": spec.cold_start_ms,
            "cancel_path": spec.cancel_path,
            "shed_status": spec.shed_status,
            "lease_ms": spec.lease_ms,
            "incarnation": str(self.incarnation),
        }

    async def run(self):
        """Announce for ever, soon again after a failure."""
        period = self.spec.lease_ms / 1_000 / HEARTBEATS_PER_LEASE
        while True:
            if self.paused.is_set() or await self.announce():
                await asyncio.sleep(period)
            else:
                await asyncio.sleep(RETRY_PAUSE)

    async def announce(self):
        """Announce once; return whether the daemon took it."""
        if not await self.post(ANNOUNCE_PATH, self.announcement()):
            return False
        self.announced.set()
        return True

    async def withdraw(self):
        """Stop announcing and tell the daemon so."""
        self.paused.set()
        self.announced.clear()
        message = {"service": self.spec.service, "incarnation": str(self.incarnation)}
        await self.post(WITHDRAW_PATH, message)

    async def resume(self):
        """Announce again, as a new incarnation."""
        self.incarnation = max(self.incarnation + 1, int(now() * 1_000))
        self.paused.clear()
        await self.announce()

    async def post(self, path, message):
        """Post a message to the daemon; return whether it was taken."""
        if not self.spec.daemon_url:
            return True
        try:
            async with self.session.post(
                self.spec.daemon_url + path, json=message, timeout=TIMEOUT
            ) as answer:
                text = await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.last_fault = repr(error)
            return False
        self.last_fault = "" if answer.status < 300 else f"{answer.status} {text}"
        return answer.status < 300
