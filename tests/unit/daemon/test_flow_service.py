"""Tests of requests for services that the policy does not name."""

import unittest
from types import SimpleNamespace

from papayabay_core.errors import CallError, ErrorKind, Retry
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.pause import PauseDetector
from tests.unit.daemon.account_support import FakeFreshness


class UnknownServiceTest(unittest.TestCase):
    """Guards against a final 404 for a service that other daemons serve.

    A restarted daemon accepts a request before it has received its first
    configuration. Having no configuration must not be treated like having
    one that does not name the service.
    """

    def error_at(self, policy, behind=False):
        accounts = SimpleNamespace(freshness=FakeFreshness(behind=behind))
        components = SimpleNamespace(policy=lambda: policy, accounts=accounts)
        flow = CallFlow(components, None, None, None, None, None, PauseDetector())
        incoming = SimpleNamespace(
            host="", service="orders", method="GET", path="/", call_token=""
        )
        with self.assertRaises(CallError) as caught:
            flow.find_rule(incoming)
        return caught.exception

    def test_caller_may_retry_before_the_first_configuration(self):
        error = self.error_at(Policy())
        self.assertIs(error.kind, ErrorKind.NO_UPSTREAM)
        self.assertIs(error.answer.retry, Retry.LATER)

    def test_service_missing_from_the_policy_is_final(self):
        error = self.error_at(Policy(PolicyDocument(), 3))
        self.assertIs(error.kind, ErrorKind.UNKNOWN_SERVICE)
        self.assertIs(error.answer.retry, Retry.NEVER)

    def test_caller_may_retry_while_a_newer_version_is_not_in_force(self):
        """Guards against a final 404 for a service that was just added."""
        error = self.error_at(Policy(PolicyDocument(), 3), behind=True)
        self.assertIs(error.kind, ErrorKind.NO_UPSTREAM)
        self.assertIs(error.answer.retry, Retry.LATER)


if __name__ == "__main__":
    unittest.main()
