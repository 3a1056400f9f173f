"""A short fault soak: daemons as processes under seeded faults."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from papayabay_bench.soak.run import run_seed
from papayabay_bench.soak.schedule import KINDS
from papayabay_bench.soak.settings import SoakSettings

SECONDS = 20.0
RATE = 60.0
VMS = 2
MIN_RUNS = 100
"""A soak in which fewer requests ran shows nothing."""


class FaultSoakTest(unittest.TestCase):
    def check(self, seed, kinds):
        """Run a seed; the records of one that fails are kept."""
        keep = tempfile.mkdtemp(prefix="papayabay-soak-")
        settings = SoakSettings(seed, SECONDS, kinds, vms=VMS, rate=RATE, keep=keep)
        result = asyncio.run(run_seed(settings))
        self.assertEqual(result.violations, [], f"seed {seed}, records in {keep}")
        self.assertGreater(result.counts["run"], MIN_RUNS)
        Path(keep).rmdir()

    def test_refusals_that_prove_nothing(self):
        """Guards against REFUSED and TWICE by copies and false refusals."""
        self.check(
            1, ("refuse-repeat", "refuse-halve", "anonymize", "unproven", "trail")
        )

    def test_all_kinds_of_fault(self):
        """Guards against REFUSED and TWICE when links and processes fail."""
        self.check(2, KINDS)


if __name__ == "__main__":
    unittest.main()
