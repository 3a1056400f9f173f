"""Tests of routes: prefixes, rules and weights."""

import random
import unittest
from collections import Counter

from papayabay_core.exceptions import PolicyError
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy


def route(name, prefix, host="h.example", services=(("a", 1),), **changes):
    weighted = [{"service": service, "weight": weight} for service, weight in services]
    plain = {"name": name, "host": host, "prefix": prefix, "services": weighted}
    return plain | {"timeout_ms": 1_000} | changes


def table(*routes):
    return Policy(validate_policy({"routes": list(routes)}, "test"), 1).routes


class LookUpTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self):
        routes = table(
            route("short", "/x/"),
            route("long", "/x/y/"),
            route("other", "/x/y/z/", host="o.example"),
        )
        for path, name in (
            ("/x/y/z/1", "long"),
            ("/x/yy", "short"),
            ("/x/?q", "short"),
        ):
            with self.subTest(path):
                self.assertEqual(routes.find("H.example", path).rules[0].name, name)
        for host, path in (("h.example", "/xy"), ("h.example", "/x"), ("n", "/x/")):
            with self.subTest(host=host, path=path):
                self.assertIsNone(routes.find(host, path))

    def test_declaration_becomes_a_rule(self):
        routes = table(
            route("r", "/x/", idempotent=False, importance="critical", attempts=3)
        )
        rule = routes.find("h.example", "/x/").rules[0]
        self.assertEqual((rule.service, rule.path_key), ("a", "a/r"))
        self.assertIs(rule.importance, Importance.CRITICAL)
        self.assertEqual((rule.idempotent, rule.at_most_once), (False, "attempt"))
        self.assertEqual((rule.attempts, rule.retry_credits), (3, 3))

    def test_shares_follow_the_weights(self):
        found = table(route("r", "/x/", services=(("a", 9), ("b", 1), ("c", 0))))
        drawn = random.Random(1)
        picked = found.find("h.example", "/x/")
        counts = Counter(picked.pick(drawn).service for _ in range(10_000))
        self.assertEqual(counts.keys(), {"a", "b"})
        self.assertAlmostEqual(counts["a"] / 10_000, 0.9, delta=0.02)

    def test_invalid_routes_are_refused(self):
        for wrong in (
            route("r", "x/"),
            route("r", "/x"),
            route("r", "/x/", services=()),
            route("r", "/x/", services=(("a", 0),)),
            route("r", "/x/", attempts=0),
        ):
            with self.subTest(wrong), self.assertRaises(PolicyError):
                table(wrong)
