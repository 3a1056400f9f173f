"""Tests that all counters are in the metrics, under names valid for statsd."""

import re
import unittest

from papayabay_core.settings import DaemonSettings
from papayabay_daemon.daemon import Daemon

STATSD_NAME = re.compile(r"[A-Za-z0-9._/-]+")
SETTINGS = {
    "vm": {"name": "a", "failure_domain": "d"},
    "cluster": {"secret": "long enough"},
    "platform": {"table_url": "http://127.0.0.1:1", "object_url": "http://127.0.0.1:1"},
}


class CounterSourceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.daemon = Daemon(DaemonSettings.model_validate(SETTINGS))
        self.addAsyncCleanup(self.daemon.close)

    async def test_counters_of_all_components_are_in_the_metrics(self):
        """Counters of a component must not be missing from the metrics.

        That happened to a full key table, which counted its refusals but was
        not listed as a source of metrics.
        """
        daemon = self.daemon
        daemon.idempotency_gate.key_table.counters["full"] += 2
        daemon.caller_door.counters["refused"] += 3
        daemon.target.counters["stray_answers"] += 1
        daemon.registry.counters["rejected_processes"] += 10
        daemon.target.notices.counters["dropped"] += 4
        daemon.configuration.counts["pulls"] += 5
        daemon.membership.refutations += 6
        daemon.supervisor.restarts["target lease"] += 7
        daemon.control_supervisor.restarts["membership"] += 8
        daemon.links.counters.calls_unsent += 9
        totals = daemon.metrics.totals()
        expected = {
            "idempotency.full": 2,
            "doors.caller.refused": 3,
            "target.stray_answers": 1,
            "target.rejected_processes": 10,
            "cancel_notices.dropped": 4,
            "configuration.pulls": 5,
            "members.refutations": 6,
            "restarts.target_lease": 7,
            "restarts.membership": 8,
            "links.calls_unsent": 9,
        }
        self.assertEqual({name: totals[name] for name in expected}, expected)
        self.assertEqual([n for n in totals if not STATSD_NAME.fullmatch(n)], [])


if __name__ == "__main__":
    unittest.main()
