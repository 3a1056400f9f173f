"""Numbers in the operator's configuration, at the ends of their ranges."""

import itertools
import json
import unittest
from collections import Counter
from fractions import Fraction

from hypothesis import given, strategies as st

from papayabay_core.exceptions import PolicyError
from papayabay_daemon._internal.configuration.version import VersionInForce
from papayabay_platform.configuration import OperatorVersions
from papayabay_platform.store import Page, StoredRow

HOST = "h.example"
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "prefix": "/a/",
    "kind": "safe",
    "timeout": "1500ms",
    "service": "svc-0",
}
WEIGHTS = st.one_of(
    st.integers(0, 10**6),
    st.integers(0, 10**30),
    st.floats(0, 1e9, allow_subnormal=False),
)
DECIMAL_SCALES = st.integers(-6, 9).map(lambda power: Fraction(10) ** power)


def split(weights):
    services = [
        {"service": f"svc-{number}", "weight": weight}
        for number, weight in enumerate(weights)
    ]
    return ROUTE | {"service": None, "weightedClusters": services}


def configuration(*routes, **changes):
    values = {"version": "r7", "routes": routes or [ROUTE], "services": []}
    content = json.dumps(values | changes).encode()
    versions = OperatorVersions(None, {"ratio": 0.2}, {})
    return versions.decode_newest(Page([StoredRow("config", content, 5)], 5))


def version_in_force(*routes, **changes):
    version = VersionInForce()
    version.apply_full_version(configuration(*routes, **changes))
    return version


def shares(weights):
    """Return the probability with which each service is picked."""
    route = version_in_force(split(weights)).policy.routes.find(HOST, "/a/1")
    spans = itertools.pairwise([0, *route.bounds])
    return Counter(
        {
            rule.service: Fraction(upper - lower, route.bounds[-1])
            for rule, (lower, upper) in zip(route.rules, spans, strict=True)
        }
    )


class WeightsTest(unittest.TestCase):
    @given(st.lists(WEIGHTS, min_size=1, max_size=6).filter(any))
    def test_shares_are_the_proportions_of_the_weights(self, weights):
        """Guards against a version held back by the size of its weights."""
        exact = [Fraction(str(weight)) for weight in weights]
        found = shares(weights)
        for number, weight in enumerate(exact):
            share = weight / sum(exact)
            self.assertAlmostEqual(found[f"svc-{number}"], share, delta=2**-50)
            self.assertEqual(bool(found[f"svc-{number}"]), bool(weight))

    @given(
        st.lists(st.integers(0, 10**6), min_size=1, max_size=6).filter(any),
        DECIMAL_SCALES,
    )
    def test_scaled_weights_have_the_same_shares(self, weights, scale):
        scaled = [float(weight * scale) for weight in weights]
        self.assertEqual(shares(weights), shares(scaled))

    def test_route_with_weights_of_zero_holds_back_no_other(self):
        """Guards against an old version that stays in force for one route."""
        closed = split([0, 0]) | {"name": "r-2", "prefix": "/a/closed/"}
        version = version_in_force(ROUTE, closed)
        self.assertEqual(version.rejection, "")
        routes = version.policy.routes
        self.assertEqual(routes.find(HOST, "/a/1").pick(None).service, "svc-0")
        self.assertIsNone(routes.find(HOST, "/a/closed/1").pick(None))

    def test_weights_that_are_no_numbers_are_refused(self):
        for weight in (-1, True, "9", None, float("nan"), float("inf")):
            with self.subTest(weight), self.assertRaises(PolicyError):
                configuration(split([weight, 1]))


class OtherNumbersTest(unittest.TestCase):
    def test_numbers_beyond_the_policy_s_ranges_are_limited(self):
        """Guards against an accepted version that never comes in force."""
        tenant = {"name": "t", "apiKeys": ["k"], "ratePerS": 1e300, "burst": 1e300}
        for route, values in (
            ({"timeout": "0.2ms"}, {}),
            ({"timeout": "90000s", "targetLatency": "90000s"}, {}),
            ({"targetLatency": "0ms"}, {}),
            ({"attempts": 1_000, "priority": 10**6}, {}),
            ({}, {"tenants": [tenant]}),
        ):
            with self.subTest(route=route, values=values):
                version = version_in_force(ROUTE | route, **values)
                self.assertEqual(version.rejection, "")
                self.assertEqual(version.policy.version, 7)

    def test_infinite_and_endless_numbers_are_refused(self):
        """Guards against a reader that ends at a number it can't convert."""
        tenant = {"name": "t", "apiKeys": []}
        for name, route, values in (
            ("timeout", {"timeout": "9" * 5_000 + "s"}, {}),
            ("burst", {}, {"tenants": [tenant | {"burst": float("inf")}]}),
            ("rate", {}, {"tenants": [tenant | {"ratePerS": float("inf")}]}),
        ):
            with self.subTest(name), self.assertRaises(PolicyError):
                configuration(ROUTE | route, **values)


if __name__ == "__main__":
    unittest.main()
