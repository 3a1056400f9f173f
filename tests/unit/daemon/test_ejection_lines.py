"""Successive ejections of an upstream are logged once."""

import logbook

from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.routing.ejection import MAX_EJECTION_SECONDS
from tests.unit.daemon import routing_support as routing

FAILURES = 3


class EjectionLineTests(routing.RoutingCase):
    def setUp(self):
        super().setUp()
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def test_ejection_and_return_are_logged_once_each(self):
        """Each dead upstream caused a log line every few seconds.

        For minutes, an upstream fails, is tried again after its ejection and
        fails again. The answer to an earlier call arrives during an ejection,
        and must not count as the upstream's return.
        """
        upstream = self.upstreams[0]
        for _ in range(5):
            for _ in range(FAILURES):
                self.run_attempt(upstream, routing.error_answer(ErrorKind.LINK_LOST))
            self.at += MAX_EJECTION_SECONDS
        self.run_attempt(upstream, routing.error_answer(ErrorKind.LINK_LOST))
        self.run_attempt(upstream, routing.target_answer())
        self.at += MAX_EJECTION_SECONDS
        ejected = "upstreams ejected after failures: 1 (first: u0)"
        self.assertEqual([record.message for record in self.logged.records], [ejected])
        for _ in range(2):
            self.run_attempt(upstream, routing.target_answer())
        returned = "upstreams answer again: 1 (first: u0)"
        lines = [record.message for record in self.logged.records]
        self.assertEqual(lines, [ejected, returned])
