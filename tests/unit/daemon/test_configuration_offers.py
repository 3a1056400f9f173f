"""Tests of the backoff of requests for versions that peers offer."""

import random
import unittest
from types import SimpleNamespace

from papayabay_daemon._internal.configuration.offers import (
    UNREACHABLE_MAX_SECONDS,
    UNUSABLE_MAX_SECONDS,
    Offers,
)


class OffersTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        state = SimpleNamespace(
            clock=lambda: self.now,
            version=SimpleNamespace(latest=SimpleNamespace(version=1)),
            members=SimpleNamespace(get=lambda name: name),
        )
        self.offers = Offers(state, random.Random(1))

    def next_peer(self):
        return self.offers.next_peer(())

    def test_unreachable_peer_does_not_delay_other_offers(self):
        """One unreachable peer delayed the version that others offered."""
        self.offers.record(9, "a")
        for _ in range(12):
            self.offers.record_unreachable("a")
        self.assertIsNone(self.next_peer())
        self.assertLessEqual(self.offers.seconds_until_due(()), UNREACHABLE_MAX_SECONDS)
        self.offers.record(8, "b")
        self.assertEqual(self.next_peer(), "b")

    def test_contact_ends_the_backoff_of_an_unreachable_peer(self):
        """A peer that was reachable again was asked only after its backoff."""
        self.offers.record(9, "a")
        self.offers.record_unreachable("a")
        self.assertIsNone(self.next_peer())
        self.offers.record_contact("a")
        self.assertEqual(self.next_peer(), "a")

    def test_undecodable_version_is_fetched_seldom_whoever_offers_it(self):
        """A version of a later release was fetched again and again."""
        self.offers.record(9, "a")
        for _ in range(12):
            self.offers.record_undecodable("a")
        self.offers.record(9, "b")
        self.offers.record_contact("a")
        self.assertIsNone(self.next_peer())
        self.assertGreaterEqual(
            self.offers.seconds_until_due(()), UNUSABLE_MAX_SECONDS / 2
        )
        self.offers.record(10, "b")
        self.assertEqual(self.next_peer(), "b")

    def test_undecodable_version_does_not_delay_an_older_one(self):
        """A version that could be read was withheld by a later one."""
        self.offers.record(9, "a")
        self.offers.record_undecodable("a")
        self.offers.record(8, "b")
        self.assertEqual(self.next_peer(), "b")
        for _ in range(12):
            self.offers.record_undecodable("b")
        self.assertIsNone(self.next_peer())

    def test_peer_without_the_version_it_offers_delays_no_other_peer(self):
        """A peer that offers what it does not have was asked all the time."""
        self.offers.record(9, "a")
        for _ in range(12):
            self.offers.record_missing("a")
        self.offers.record_contact("a")
        self.assertGreaterEqual(
            self.offers.seconds_until_due(()), UNUSABLE_MAX_SECONDS / 2
        )
        self.offers.record(8, "b")
        self.assertEqual(self.next_peer(), "b")

    def test_outdated_offers_are_dropped(self):
        self.offers.record(2, "a")
        self.offers.state.version.latest.version = 2
        self.assertIsNone(self.next_peer())
        self.assertEqual(len(self.offers), 0)
