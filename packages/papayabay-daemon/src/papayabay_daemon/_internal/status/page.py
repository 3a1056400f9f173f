"""Builds the daemon's own status page and its burn report."""

import time
from dataclasses import asdict

from papayabay_core.utils.clock import now

BURN_WINDOWS_SECONDS = {
    "5m": 300.0,
    "30m": 1_800.0,
    "1h": 3_600.0,
    "6h": 21_600.0,
    "3d": 259_200.0,
}


class StatusPage:
    """Combines the status of the daemon's components.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.started_at = now()

    def status(self):
        """Return the status page as JSON-compatible values."""
        daemon = self.daemon
        return {
            "name": daemon.membership.local.name,
            "failure_domain": daemon.settings.vm.failure_domain,
            "region": daemon.settings.vm.region,
            "uptime_s": round(now() - self.started_at, 1),
            "processor_s": round(time.process_time(), 3),
            "leaving": daemon.leaving,
            "configuration": daemon.configuration.status(),
            "target": target_status(daemon.registry.current),
            "admission": daemon.admission.snapshot(),
            "routing": daemon.router.status(),
            "links": daemon.links.status(),
            "members": daemon.membership.status(),
            "live_calls": len(daemon.call_tree.live),
            "counters": daemon.metrics.totals(),
        }

    def burn(self):
        """Return request counts by call path, time window and outcome."""
        return {
            "version": self.daemon.configuration.current.version,
            "paths": self.daemon.objectives.totals(BURN_WINDOWS_SECONDS),
            "left_out": self.daemon.objectives.left_out,
        }


def target_status(announcement):
    """Return the target's announcement as a dict, or None without one."""
    return None if announcement is None else asdict(announcement)
