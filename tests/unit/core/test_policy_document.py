"""Tests of policy validation and of the rules that calls get."""

import unittest

from papayabay_core.exceptions import PolicyError
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import parse_policy, validate_policy


def service(**calls):
    """Return the values of a policy with one service."""
    return {"services": {"orders-svc": {"calls": calls}}}


def call(path="/orders", methods=("GET",), **more):
    """Return the values of one call path."""
    return {"path": path, "methods": list(methods), **more}


def rule_name(values, method, path):
    """Return the name of the rule that a call gets."""
    policy = Policy(validate_policy(values, "policy.toml"))
    return policy.rule_for("orders-svc", method, path).name


class DocumentCase(unittest.TestCase):
    def assert_refused(self, values, *expected):
        """Assert that each line of the error names file, key and cause."""
        with self.assertRaises(PolicyError) as caught:
            validate_policy(values, "policy.toml")
        lines = str(caught.exception).splitlines()
        self.assertEqual(len(lines), len(expected), lines)
        for line, (key, cause) in zip(lines, expected, strict=True):
            self.assertTrue(line.startswith(f"policy.toml: {key}: "), line)
            self.assertIn(cause, line)


class MethodTests(DocumentCase):
    def test_invalid_methods_are_refused(self):
        """Guards against a declared method that no call can match.

        Methods are compared case-sensitively. With `methods = ["post"]`, order
        confirmations declared critical got the default rule, class normal, and
        were shed along with look-ups.
        """
        for method in ("post", "Post", "", "PO ST", "POST\n", "PÖST"):
            with self.subTest(method):
                self.assert_refused(
                    service(place=call(methods=["GET", method])),
                    (
                        "services.orders-svc.calls.place.methods.1",
                        "should match pattern",
                    ),
                )

    def test_all_registered_forms_of_methods_match(self):
        methods = ["GET", "POST", "VERSION-CONTROL", "M-SEARCH"]
        values = service(place=call(methods=methods))
        for method in methods:
            self.assertEqual(rule_name(values, method, "/orders"), "place")

    def test_empty_list_of_methods_is_refused(self):
        self.assert_refused(
            service(place=call(methods=[])),
            ("services.orders-svc.calls.place.methods", "at least 1 item"),
        )


class MatchingTests(DocumentCase):
    def test_templates(self):
        cases = {
            "/orders/{order}": (
                ("/orders/7", "/orders/7?full=1", "/orders/%2F"),
                ("/orders", "/orders/", "/orders/7/lines", "/Orders/7"),
            ),
            "/documents/*": (
                ("/documents/", "/documents/a/b"),
                ("/documents", "/x/documents/a"),
            ),
            "/a.b+c": (("/a.b+c",), ("/aXb+c", "/a.bbc")),
            "/{yard}/slots": (("/riga/slots",), ("//slots", "/a/b/slots")),
        }
        for template, (matching, others) in cases.items():
            values = service(one=call(template))
            for path in matching + others:
                with self.subTest(template=template, path=path):
                    expected = "one" if path in matching else "default"
                    self.assertEqual(rule_name(values, "GET", path), expected)

    def test_most_literal_template_wins_in_any_order(self):
        paths = {
            "any": "/orders/*",
            "one": "/orders/{a-long-name-says-nothing}",
            "confirm": "/orders/{order}/confirm",
            "newest": "/orders/newest",
        }
        requested = {
            "/orders/newest": "newest",
            "/orders/7/confirm": "confirm",
            "/orders/7/lines": "any",
        }
        for names in (list(paths), list(reversed(paths))):
            values = service(**{name: call(paths[name]) for name in names})
            for path, expected in requested.items():
                with self.subTest(names=names, path=path):
                    self.assertEqual(rule_name(values, "GET", path), expected)

    def test_method_selects_between_equal_paths(self):
        values = service(
            look_up=call("/orders/{order}", ["GET", "HEAD"]),
            change=call("/orders/{order}", ["PUT"]),
        )
        self.assertEqual(rule_name(values, "PUT", "/orders/7"), "change")
        self.assertEqual(rule_name(values, "HEAD", "/orders/7"), "look_up")
        self.assertEqual(rule_name(values, "DELETE", "/orders/7"), "default")

    def test_path_without_leading_slash_is_refused(self):
        self.assert_refused(
            service(place=call("orders")),
            ("services.orders-svc.calls.place.path", "should match pattern"),
        )


class RuleTests(DocumentCase):
    def test_call_inherits_defaults_of_its_service(self):
        values = service(
            plain=call("/plain"),
            own=call("/own", deadline_ms=900, retry_credits=0, importance="critical"),
        )
        values["services"]["orders-svc"] |= {
            "deadline_ms": 3_000,
            "retries": {"credits": 5},
        }
        policy = Policy(validate_policy(values, "policy.toml"))
        plain, own = (
            policy.rule_for("orders-svc", "GET", path) for path in ("/plain", "/own")
        )
        self.assertEqual((plain.deadline_ms, plain.retry_credits), (3_000, 5))
        self.assertEqual(plain.importance, Importance.NORMAL)
        self.assertEqual((own.deadline_ms, own.retry_credits), (900, 0))
        self.assertEqual(own.importance, Importance.CRITICAL)

    def test_idempotent_only_when_all_methods_are(self):
        values = service(
            safe=call("/safe", ["GET", "PUT", "DELETE"]),
            mixed=call("/mixed", ["GET", "POST"]),
            declared=call("/declared", ["POST"], idempotent=True),
        )
        policy = Policy(validate_policy(values, "policy.toml"))
        found = {
            path: policy.rule_for("orders-svc", "GET", path).idempotent
            for path in ("/safe", "/mixed")
        }
        self.assertEqual(found, {"/safe": True, "/mixed": False})
        self.assertTrue(policy.rule_for("orders-svc", "POST", "/declared").idempotent)
        self.assertFalse(policy.rule_for("orders-svc", "POST", "/strange").idempotent)


class RefusalTests(DocumentCase):
    def test_unknown_keys_are_refused_at_every_depth(self):
        values = service(place=call(deadline=5, objective={"good_share": 0.9, "p": 1}))
        values["services"]["orders-svc"]["admission"] = {"queue_target": 20}
        values["decision"] = {}
        place = "services.orders-svc.calls.place"
        self.assert_refused(
            values,
            ("services.orders-svc.admission.queue_target", "not permitted"),
            (f"{place}.objective.p", "not permitted"),
            (f"{place}.deadline", "not permitted"),
            ("decision", "not permitted"),
        )

    def test_values_out_of_bounds_are_refused(self):
        for field, wrong in {
            "deadline_ms": (0, -1, 3_600_001, 1.5, "2s"),
            "retry_credits": (-1, 65),
            "importance": ("urgent",),
            "objective": ({"good_share": 1.0}, {"good_share": 0.0}, {}),
        }.items():
            for value in wrong:
                with self.subTest(field=field, value=value):
                    with self.assertRaises(PolicyError) as caught:
                        validate_policy(
                            service(place=call(**{field: value})), "policy.toml"
                        )
                    key = f"policy.toml: services.orders-svc.calls.place.{field}"
                    self.assertIn(key, str(caught.exception))

    def test_invalid_service_names_are_refused(self):
        for name in ("Orders", "", "-orders", "orders svc", "o" * 64):
            with self.subTest(name), self.assertRaises(PolicyError):
                validate_policy({"services": {name: {}}}, "policy.toml")

    def test_text_that_is_not_toml(self):
        with self.assertRaisesRegex(PolicyError, "^p.toml: not valid TOML: .*line 1"):
            parse_policy("[services\n", "p.toml")


if __name__ == "__main__":
    unittest.main()
