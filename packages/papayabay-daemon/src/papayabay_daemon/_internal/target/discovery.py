"""Discovers, at the daemon's start, a target that is already running."""

import asyncio

import logbook

from papayabay_core.http.requester import Requester
from papayabay_core.utils.clock import now

HEALTH_TIMEOUT_SECONDS = 1.0
"""Time-out of the health request; a target that misses it is not lost, as it
announces itself later."""
MAX_ANSWER_BYTES = 65_536
"""Longest answer that is accepted; only its status and headers are used."""
POLICY_POLL_SECONDS = 0.05
MAX_POLICY_POLLS = 100
"""Interval and number of checks for a policy that declares the service;
together 5 s, in which the target announces itself several times."""
log = logbook.Logger("papayabay.target")


class TargetDiscovery:
    """Asks the target for its health once, and announces it if it answers.

    A daemon that restarts beside a running target does not know the target
    until its next announcement. As all calls to the target pass through this
    daemon, the target would get none until then.

    Parameters
    ----------
    settings : DaemonSettings
        Without a `target`, nothing is asked.
    policy : callable
        Returns the policy in force.
    registry : TargetRegistry
    dialect : TargetDialect
    on_report : callable
        Called with the announcement, the `TargetReport` in the health answer,
        and when it was requested.
    """

    def __init__(self, settings, policy, registry, dialect, on_report):
        self.target = settings.target
        self.policy = policy
        self.registry = registry
        self.dialect = dialect
        self.on_report = on_report

    async def run(self):
        """Announce the target if it answers and is not yet known."""
        if self.target is None:
            return
        path = await self.health_path()
        if path is None or self.registry.current is not None:
            return
        sent_at = now()
        reply = await self.request_health(path)
        if reply is None or self.registry.current is not None:
            return
        announcement = self.dialect.announcement_from_health(
            self.target, reply.status, reply.fields
        )
        if announcement is None:
            return
        log.notice(
            "target {} is already running; announcing it", announcement.incarnation
        )
        self.registry.announce(announcement)
        report = self.dialect.report(reply.fields)
        if report is not None:
            self.on_report(announcement, report, sent_at)

    async def health_path(self):
        """Wait for a policy and return the health path in it, or None."""
        for _ in range(MAX_POLICY_POLLS):
            policy = self.policy()
            if policy.has_service(self.target.service):
                return policy.declaration(self.target.service).health_path
            await asyncio.sleep(POLICY_POLL_SECONDS)
        return None

    async def request_health(self, path):
        """Return the `Reply` to a health request, or None."""
        url = f"http://{self.target.host}:{self.target.port}{path}"
        requester = Requester(HEALTH_TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
                return await requester.send("GET", url)
        except (OSError, TimeoutError, ValueError) as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.registry.record_absent()
            log.info(
                "health request to the target failed: {!r}; "
                "waiting for it to announce itself",
                error,
            )
            return None
        finally:
            requester.close()
