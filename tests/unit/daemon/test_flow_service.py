import unittest
from types import SimpleNamespace

from papayabay_core.errors import CallError, ErrorKind, Retry
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.pause import PauseDetector


class UnknownServiceTest(unittest.TestCase):
    """A daemon that has just started does not turn callers away for good.

    Symptom: a caller is told 404, never to come back, for a service that
    all others serve. Sequence: a daemon is killed and started again; its
    caller door opens; a request comes before the first configuration does.
    Cause: no configuration taken for one that doesn't name the service.
    """

    def error_at(self, policy):
        parts = SimpleNamespace(policy=lambda: policy)
        flow = CallFlow(parts, None, None, None, None, None, PauseDetector())
        incoming = SimpleNamespace(
            host="", service="orders", method="GET", path="/", call_token=""
        )
        with self.assertRaises(CallError) as caught:
            flow.rule_of(incoming)
        return caught.exception

    def test_before_the_first_configuration_callers_may_come_back(self):
        error = self.error_at(Policy())
        self.assertIs(error.kind, ErrorKind.NO_UPSTREAM)
        self.assertIs(error.answer.retry, Retry.LATER)

    def test_a_policy_that_leaves_a_service_out_is_final(self):
        error = self.error_at(Policy(PolicyDocument(), 3))
        self.assertIs(error.kind, ErrorKind.UNKNOWN_SERVICE)
        self.assertIs(error.answer.retry, Retry.NEVER)


if __name__ == "__main__":
    unittest.main()
