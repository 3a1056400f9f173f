"""Decisions that the adapter makes for every configuration."""

import unittest

from papayabay_core.policy.document import validate_policy
from papayabay_platform.configuration import OperatorConfiguration

ROUTE = {"name": "look", "host": "h.example", "prefix": "/", "timeout": "900ms"}
KINDS = ("safe", "unsafe", "download", "keyed", "upload")


def policy_of(kind):
    """Return the policy of a configuration with one route of a kind."""
    route = ROUTE | {"kind": kind, "service": "svc"}
    values = {"version": "r1", "routes": [route], "services": [{"name": "svc"}]}
    model = OperatorConfiguration.model_validate(values)
    return validate_policy(model.configuration({}, {}).values, "test")


class OperatorDecisionsTest(unittest.TestCase):
    def test_decisions_do_not_depend_on_the_kinds_of_routes(self):
        """Guards against callers treated by which deployment they are in."""
        policies = [policy_of(kind) for kind in KINDS]
        for kind, policy in zip(KINDS, policies, strict=True):
            with self.subTest(kind=kind):
                self.assertEqual(policy.decisions, policies[0].decisions)
                self.assertEqual(policy.services, policies[0].services)
        self.assertEqual(policies[0].decisions.queue_order, "due")

    def test_uploads_are_not_idempotent(self):
        """Guards against uploads that are sent twice."""
        self.assertFalse(policy_of("upload").routes[0].idempotent)
        self.assertTrue(policy_of("download").routes[0].idempotent)


if __name__ == "__main__":
    unittest.main()
