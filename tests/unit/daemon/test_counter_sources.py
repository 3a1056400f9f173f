"""What the daemon counts is in its metrics, under names for statsd."""

import re
import unittest

from papayabay_core.settings import DaemonSettings
from papayabay_daemon.daemon import Daemon

NAME = re.compile(r"[A-Za-z0-9._/-]+")
SETTINGS = {
    "vm": {"name": "a", "failure_domain": "d"},
    "cluster": {"secret": "long enough"},
    "platform": {"table_url": "http://127.0.0.1:1", "object_url": "http://127.0.0.1:1"},
}


class CounterSourceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.daemon = Daemon(DaemonSettings.model_validate(SETTINGS))
        self.addAsyncCleanup(self.daemon.close)

    async def test_every_part_is_counted(self):
        """Symptom: a full key table showed nowhere.

        Sequence: parts count, nobody lists them as a source of metrics.
        """
        daemon = self.daemon
        daemon.gate.key_table.counters["full"] += 2
        daemon.caller_door.counters["refused"] += 3
        daemon.target.notices.counters["dropped"] += 4
        daemon.configuration.counts["pulls"] += 5
        daemon.membership.refutations += 6
        daemon.supervisor.restarts["target lease"] += 7
        daemon.control.restarts["membership"] += 8
        daemon.links.counters.calls_unsent += 9
        totals = daemon.metrics.totals()
        expected = {
            "idempotency.full": 2,
            "doors.caller.refused": 3,
            "cancel_notices.dropped": 4,
            "configuration.pulls": 5,
            "members.refutations": 6,
            "restarts.target_lease": 7,
            "restarts.membership": 8,
            "links.calls_unsent": 9,
        }
        self.assertEqual({name: totals[name] for name in expected}, expected)
        self.assertEqual([n for n in totals if not NAME.fullmatch(n)], [])


if __name__ == "__main__":
    unittest.main()
