"""Discovers, at the daemon's start, a target that is already running."""

import logbook

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.target.health import TargetHealth

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
        self.health = TargetHealth(policy)
        self.registry = registry
        self.dialect = dialect
        self.on_report = on_report

    async def run(self):
        """Announce the target if it answers and is not yet known."""
        if self.target is None:
            return
        path = await self.health.path(self.target.service)
        if path is None or self.registry.current is not None:
            return
        sent_at = now()
        reply = await self.request_health(path)
        if reply is None or self.registry.current is not None:
            return
        announcement = self.dialect.announcement_from_health(
            self.target, reply.status, reply.fields
        )
        if announcement is None or self.registry.has_left(announcement.incarnation):
            return
        log.notice(
            "target {} is already running; announcing it", announcement.incarnation
        )
        self.registry.announce(announcement)
        report = self.dialect.report(reply.fields)
        if report is not None:
            self.on_report(announcement, report, sent_at)

    async def request_health(self, path):
        """Return the `Reply` to a health request, or None."""
        try:
            return await self.health.request(self.target.host, self.target.port, path)
        except (OSError, TimeoutError, ValueError) as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.registry.record_absent()
            log.info(
                "health request to the target failed: {!r}; "
                "waiting for it to announce itself",
                error,
            )
            return None
