import unittest

from papayabay_core.policy.deprecated import deprecated_keys
from papayabay_core.policy.document import validate_policy


class DeprecatedKeysTest(unittest.TestCase):
    def test_policy_with_a_deprecated_key_stays_valid_and_is_named(self):
        """Guards against updated daemons that refuse their policy."""
        values = {
            "decisions": {"kept_share": 0.1, "return_times": "backlog"},
            "services": {"a": {"admission": {"overload_hold_ms": 300}}, "b": {}},
        }
        document = validate_policy(values, "policy.toml")
        expected = [
            "decisions.kept_share",
            "decisions.return_times",
            "services.a.admission.overload_hold_ms",
        ]
        self.assertEqual(deprecated_keys(document), expected)


if __name__ == "__main__":
    unittest.main()
