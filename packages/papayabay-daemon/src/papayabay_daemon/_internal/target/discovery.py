"""Asks a target whose address is known whether it is there."""

import asyncio

import logbook

from papayabay_core.http.requester import Requester

ASK_SECONDS = 1.0
"""Longest wait for the target's answer; it announces itself later anyway."""
ANSWER_BYTES = 65_536
"""Longest answer that is read; what it says stands in its head."""
LOOK_SECONDS = 0.05
LOOKS = 100
"""How often, and how many times, it is looked whether a policy names the
service by now; together 5 s, in which several announcements are due."""
log = logbook.Logger("papayabay.target")


class TargetDiscovery:
    """Announces, at the start, a target that runs already.

    A daemon that restarts beside a running target would not know it until
    its next announcement. As the daemon is the only way to it, the target
    would serve nobody until then.

    Parameters
    ----------
    settings : DaemonSettings
        Nothing is asked without a `target`.
    policy : callable
        Returns the policy in force.
    registry : TargetRegistry
    dialect : TargetDialect
    """

    def __init__(self, settings, policy, registry, dialect):
        self.target = settings.target
        self.policy = policy
        self.registry = registry
        self.dialect = dialect

    async def run(self):
        """Ask once, as soon as the way to ask is known."""
        if self.target is None:
            return
        path = await self.health_path()
        if path is None or self.registry.current is not None:
            return
        announcement = await self.ask(path)
        if announcement is None or self.registry.current is not None:
            return
        log.notice("target {} was there already", announcement.incarnation)
        self.registry.announce(announcement)

    async def health_path(self):
        """Return where to ask, or None while no policy says so."""
        for _ in range(LOOKS):
            policy = self.policy()
            if policy.has_service(self.target.service):
                return policy.declaration(self.target.service).health_path
            await asyncio.sleep(LOOK_SECONDS)
        return None

    async def ask(self, path):
        """Return the announcement that the target's answer amounts to."""
        url = f"http://{self.target.host}:{self.target.port}{path}"
        requester = Requester(ASK_SECONDS, ANSWER_BYTES)
        try:
            async with asyncio.timeout(ASK_SECONDS):
                reply = await requester.send("GET", url)
        except (OSError, TimeoutError, ValueError) as error:
            log.info("target not there yet: {!r}", error)
            return None
        finally:
            requester.close()
        return self.dialect.announcement_from_health(
            self.target, reply.status, reply.fields
        )
