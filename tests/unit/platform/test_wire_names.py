"""Tests that only the adapter contains names of the platform."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]
WIRE = re.compile(
    r"x-papayabay-|heartbeatAddr|weightedClusters|rows-(tx|get|feed|parts)|warmupLeft|"
    r"appAddr|seqNo|targetLatency|Instances\.|PAPAYABAY_CONFIG|fleetbench|"
    r"Baltkrasts platform",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_packages_do_not_contain_names_of_the_platform(self):
        found = [
            f"{path.relative_to(ROOT)}: {match[0]}"
            for path in sorted(ROOT.glob("packages/**/*.py"))
            for match in WIRE.finditer(path.read_text())
        ]
        self.assertEqual(found, [])
