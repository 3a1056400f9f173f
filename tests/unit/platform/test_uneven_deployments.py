"""What a configuration turns on, by the kinds of requests that it has."""

import unittest

from papayabay_core.policy.document import validate_policy
from papayabay_platform.configuration import OperatorConfiguration

ROUTE = {"name": "look", "host": "h.example", "prefix": "/", "timeout": "900ms"}


def policy_of(kind):
    route = ROUTE | {"kind": kind, "service": "svc"}
    values = {"version": "r1", "routes": [route], "services": [{"name": "svc"}]}
    model = OperatorConfiguration.model_validate(values)
    return validate_policy(model.configuration({}, {}).values, "test")


class UnevenTests(unittest.TestCase):
    def test_deployments_without_uploads_keep_all_defaults(self):
        """Guards against changed decisions in deployments that ran before."""
        for kind in ("safe", "unsafe", "download", "keyed"):
            with self.subTest(kind=kind):
                policy = policy_of(kind)
                self.assertEqual(policy.decisions.queue_order, "depth")
                self.assertEqual(policy.decisions.equals, "rank")
                self.assertEqual(policy.decisions.account_shares, "none")
                service = policy.services["svc"]
                self.assertFalse(service.admission.repeat_limit)
                self.assertEqual(service.routing.score, "usage")

    def test_uploads_are_not_idempotent_and_turn_the_parts_on(self):
        """Guards against uploads that are sent twice."""
        policy = policy_of("upload")
        self.assertFalse(policy.routes[0].idempotent)
        self.assertEqual(policy.decisions.queue_order, "due")
        self.assertTrue(policy.services["svc"].admission.repeat_limit)
