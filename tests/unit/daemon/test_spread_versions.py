import random
import unittest

from papayabay_core.configuration import Configuration, new_patch
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.configuration.history import PATCHES_MAX, History
from papayabay_daemon._internal.configuration.messages import Offer, decode_offer
from papayabay_daemon._internal.configuration.version import VersionInForce


def make_patches(count):
    return [
        new_patch(base, {"services": {"shop": {"deadline_ms": base + 1}}})
        for base in range(count)
    ]


class VersionsTest(unittest.TestCase):
    def test_versions_never_decrease_in_any_order_of_arrival(self):
        """An older policy came in force again after a reordered push."""
        patches = make_patches(12)
        for seed in range(100):
            shuffler = random.Random(seed)
            version, seen = VersionInForce(), []
            version.listeners.append(lambda policy, seen=seen: seen.append(policy))
            for _ in range(40):
                start = shuffler.randrange(12)
                part = patches[start : start + shuffler.randrange(1, 5)]
                if shuffler.random() < 0.2:
                    full = Configuration(start, {"services": {}})
                    version.apply_full_version(full)
                else:
                    version.apply_patches(part)
            versions = [policy.version for policy in seen]
            self.assertEqual(versions, sorted(set(versions)))
            version.apply_patches(patches)
            self.assertEqual(version.current.version, 12)
            self.assertEqual(version.policy.version, 12)

    def test_unreadable_version_leaves_the_old_one_in_force(self):
        version = VersionInForce()
        unreadable = new_patch(1, {"future": {"x": 1}})
        readable = new_patch(2, {"future": None})
        version.apply_patches([*make_patches(1), unreadable])
        self.assertEqual((version.current.version, version.latest.version), (1, 2))
        self.assertIn("future", version.rejection)
        version.apply_patches([readable])
        self.assertEqual((version.current.version, version.rejection), (3, ""))

    def test_history_is_bounded_and_reports_evicted_patches(self):
        history, patches = History(), make_patches(PATCHES_MAX + 10)
        self.assertIsNone(history.after(0))
        for patch in patches:
            history.add(patch)
        self.assertIsNone(history.after(9))
        self.assertEqual(history.after(10), patches[10:])
        self.assertEqual(history.after(PATCHES_MAX + 10), [])

    def test_offers_round_trip_and_short_ones_are_rejected(self):
        for offer in (Offer(7, None), Offer(2**63, 1.5)):
            self.assertEqual(decode_offer(offer.encode() + b"x"), (offer, b"x"))
        for size in range(12):
            self.assertRaises(ProtocolError, decode_offer, bytes(size))
