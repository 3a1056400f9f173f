"""Tests that a request has the same fingerprint at all daemons."""

import unittest
from types import SimpleNamespace

from papayabay_core.calls import Body
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.doors.headers import filter_headers
from papayabay_daemon._internal.quarantine import Fingerprints
from papayabay_platform.caller_dialect import PlatformCallerDialect
from tests.lib.cluster_fakes import make_settings


def entry_call(service, request_id):
    """Return the call of a client's request at the daemon of a service."""
    dialect = PlatformCallerDialect(service)
    raw = [(b"Host", b"h.example"), (b"X-Papayabay-Request-Id", request_id)]
    incoming = dialect.read("GET", "/read/7", filter_headers(raw, dialect.names))
    incoming.body = Body()
    policy = Policy(PolicyDocument.model_validate({"services": {"svc-1": {}}}), 1)
    incoming.service = "svc-1"
    rule = policy.rule_for(incoming.service, incoming.method, incoming.path)
    parts = SimpleNamespace(policy=lambda: policy)
    flow = CallFlow(parts, None, None, None, None, None, None)
    return flow.entries.create(incoming, rule, incoming.request_id)


class IdentityTests(unittest.TestCase):
    """Guards against a quarantined request that crashes targets again.

    The request crashes two or three targets and is quarantined. Clients retry
    it at daemons of other services. If the service of the entry daemon is a
    part of the fingerprint, each of these daemons treats it as a new request:
    with four services, one request crashed eleven targets.
    """

    def test_fingerprint_does_not_depend_on_the_entry_service(self):
        fingerprints = Fingerprints(make_settings("d1"))
        found = {
            fingerprints.of(entry_call(service, request_id))
            for service in ("svc-0", "svc-1", "svc-2")
            for request_id in (b"9c41", b"07aa")
        }
        self.assertEqual(len(found), 1)


if __name__ == "__main__":
    unittest.main()
