"""What is the same request, on its way through the platform's daemons."""

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


def entered(service, request_id):
    """Return the call that a client's request becomes beside a service."""
    dialect = PlatformCallerDialect(service)
    raw = [(b"Host", b"h.example"), (b"X-Papayabay-Request-Id", request_id)]
    incoming = dialect.read("GET", "/read/7", filter_headers(raw, dialect.names))
    incoming.body = Body()
    policy = Policy(PolicyDocument.model_validate({"services": {"svc-1": {}}}), 1)
    incoming.service = "svc-1"
    rule = policy.rule_for(incoming.service, incoming.method, incoming.path)
    parts = SimpleNamespace(policy=lambda: policy)
    flow = CallFlow(parts, None, None, None, None, None, None)
    return flow.entry_call(incoming, rule, incoming.request_id)


class IdentityTests(unittest.TestCase):
    """A request that was held back ended targets again by other entries.

    Symptom: a request under which three targets had ended reached four more,
    eleven in all. Sequence: it ends two or three targets and is held back; it
    comes again at a machine beside whose daemon another service runs, and
    ends as many there; so on for each of four services.

    Cause: the service beside which a request enters was a part of what tells
    requests apart. It belongs to the machine, not to the request. Proof: one
    request had three fingerprints beside three services.
    """

    def test_it_is_the_same_beside_whatever_service_it_enters(self):
        fingerprints = Fingerprints(make_settings("d1"))
        found = {
            fingerprints.of(entered(service, request_id))
            for service in ("svc-0", "svc-1", "svc-2")
            for request_id in (b"9c41", b"07aa")
        }
        self.assertEqual(len(found), 1)


if __name__ == "__main__":
    unittest.main()
