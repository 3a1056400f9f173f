"""Targets that start after the daemon beside them, and running ones."""

import socket
import unittest
from types import SimpleNamespace

from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_core.settings import TargetSettings
from papayabay_daemon._internal.target import TargetRegistry
from papayabay_daemon._internal.target.discovery import TargetDiscovery
from tests.unit.daemon.door_fakes import FakeClock
from tests.unit.daemon.target_client_support import announcement


class TargetStartTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)

    def test_target_that_was_absent_is_newer_than_the_daemon(self):
        """Guards against 3 calls at a time beside each target of a new fleet.

        A daemon that starts beside a running target sends few calls until the
        first answer tells whether a rate limit is in force. With call trees of
        a second, a target that started after its daemon was held back as long.
        """
        self.registry.record_absent()
        self.registry.announce(announcement(incarnation="a"))
        self.assertFalse(self.registry.may_precede_daemon(self.registry.current))

    def test_first_target_may_precede_the_daemon_its_successor_does_not(self):
        """Guards against a burst beyond a limit told to the last daemon."""
        self.registry.announce(announcement(incarnation="a", born_ms=5))
        self.assertTrue(self.registry.may_precede_daemon(self.registry.current))
        self.registry.record_absent()
        self.assertTrue(self.registry.may_precede_daemon(self.registry.current))
        self.registry.announce(announcement(incarnation="b", born_ms=9))
        self.assertFalse(self.registry.may_precede_daemon(self.registry.current))

    def test_heartbeat_completes_an_announcement_by_health(self):
        """Guards against a rate limit that is lost by the first heartbeat.

        A health answer states no start time. The heartbeat that states one
        seemed to be of another process, for which no limit is known.
        """
        self.registry.announce(announcement(incarnation="a"))
        first = self.registry.current
        self.clock.time += 0.1
        self.registry.announce(announcement(incarnation="a", born_ms=7, sequence=3))
        current = self.registry.current
        self.assertEqual(current.announced_at, first.announced_at)
        self.assertEqual((current.process, first.process), (("a", 7), ("a", 7)))
        late = announcement(incarnation="a", born_ms=7, sequence=2)
        self.assertFalse(self.registry.announce(late))

    def test_restarted_target_is_not_taken_for_the_one_found_by_health(self):
        """Guards against a cold start that is skipped.

        The target found at the start restarts under its name before its first
        heartbeat arrives.
        """
        for changes in ({"cold_start_ms": 900}, {"incarnation": "b"}, {"port": 10}):
            with self.subTest(**changes):
                registry = TargetRegistry(self.clock)
                registry.announce(announcement(incarnation="a"))
                self.clock.time += 0.1
                values = {"incarnation": "a", "born_ms": 7, "sequence": 1, **changes}
                registry.announce(announcement(**values))
                self.assertEqual(registry.current.announced_at, self.clock.time)


class DiscoveryTests(unittest.IsolatedAsyncioTestCase):
    async def test_refused_connection_shows_that_the_target_is_absent(self):
        """Guards against a new target that is held back like a running one."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            host, port = unused.getsockname()
            target = TargetSettings(service="svc", host=host, port=port)
            settings = SimpleNamespace(target=target)
            registry = TargetRegistry()
            services = {"svc": {"health_path": "/healthz"}}
            document = PolicyDocument.model_validate({"services": services})
            policy = Policy(document, 1)
            discovery = TargetDiscovery(settings, lambda: policy, registry, None, None)
            await discovery.run()
        self.assertTrue(registry.was_absent)
