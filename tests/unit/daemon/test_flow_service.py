"""Tests of requests for services that the policy does not name."""

import unittest
from types import SimpleNamespace

from papayabay_core.errors import CallError, ErrorKind, Retry
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.pause import PauseDetector


class UnknownServiceTest(unittest.TestCase):
    """Guards against a final 404 for a service that other daemons serve.

    A restarted daemon accepts a request before it has received its first
    configuration. Having no configuration must not be treated like having
    one that does not name the service.
    """

    def error_at(self, policy):
        components = SimpleNamespace(policy=lambda: policy)
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


if __name__ == "__main__":
    unittest.main()
