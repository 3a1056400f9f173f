"""Log lines on upstreams left out: one per stretch, not one per ejection."""

import logbook

from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.routing.ejection import MAX_EJECTION_SECONDS
from tests.unit.daemon import test_routing_table as routing

FAILURES = 3


class EjectionLineTests(routing.RoutingCase):
    def setUp(self):
        super().setUp()
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def test_one_line_out_and_one_back(self):
        """Symptom: a line every few seconds for each dead upstream.

        Sequence: an upstream fails, is tried again and fails, for minutes;
        an answer of before comes while it is out; then it answers. Cause:
        a line for each ejection.
        """
        upstream = self.upstreams[0]
        for _ in range(5):
            for _ in range(FAILURES):
                self.end(upstream, routing.failed(ErrorKind.LINK_LOST))
            self.at += MAX_EJECTION_SECONDS
        self.end(upstream, routing.failed(ErrorKind.LINK_LOST))
        self.end(upstream, routing.good())
        self.at += MAX_EJECTION_SECONDS
        out = "upstreams ejected after failures: 1 (first: u0)"
        self.assertEqual([record.message for record in self.logged.records], [out])
        for _ in range(2):
            self.end(upstream, routing.good())
        back = "upstreams answer again: 1 (first: u0)"
        lines = [record.message for record in self.logged.records]
        self.assertEqual(lines, [out, back])
