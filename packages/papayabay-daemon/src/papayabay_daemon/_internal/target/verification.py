"""Verifies announced processes by asking who answers at the target."""

import asyncio

import logbook

RETRY_DELAYS_S = (0.0, 0.2, 0.6)
"""Delay before each request of one verification. A process may announce itself
shortly before it listens, or have no room for the request."""
MIN_PAUSE_S = 0.2
"""Pause between two verifications, which bounds the load of requests where
several processes are announced for one address."""
log = logbook.Logger("papayabay.target")


class TargetVerifier:
    """Verifies the candidates of a registry, for dialects that allow it.

    Parameters
    ----------
    registry : TargetRegistry
    health : TargetHealth
    dialect : TargetDialect
    """

    def __init__(self, registry, health, dialect):
        self.registry = registry
        self.health = health
        self.dialect = dialect
        registry.verifies = dialect.identifies_processes

    async def run(self):
        """Verify whatever the registry holds, until cancelled."""
        while True:
            await self.registry.verification_due.wait()
            self.registry.verification_due.clear()
            await self.verify()
            await asyncio.sleep(MIN_PAUSE_S)

    async def verify(self):
        """Ask until an answer decides on the candidates, a few times."""
        for delay in RETRY_DELAYS_S:
            await asyncio.sleep(delay)
            candidates = self.registry.candidates.due()
            if not candidates:
                return
            found = await self.ask(candidates[-1].announcement)
            if found is not None and found.is_accepting is not None:
                self.registry.apply_health(candidates, found)
                return
        self.registry.apply_health(candidates, found)

    async def ask(self, announcement):
        """Return the `ProcessHealth` at an announced address, or None."""
        path = await self.health.path(announcement.service)
        if path is None:
            return None
        try:
            reply = await self.health.request(
                announcement.host, announcement.port, path
            )
        except (OSError, TimeoutError, ValueError) as error:
            log.info(
                "health request to verify {} failed: {!r}",
                announcement.incarnation,
                error,
            )
            return None
        return self.dialect.process_health(reply.status, reply.fields)
