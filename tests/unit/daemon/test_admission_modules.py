"""Size of the modules of admission control."""

import unittest
from pathlib import Path

from papayabay_daemon._internal import admission

MAX_LINES = 350


class ModuleSizeTest(unittest.TestCase):
    def test_modules_stay_small(self):
        """Guards against one module that takes on every job of admission."""
        for path in Path(admission.__file__).parent.glob("*.py"):
            with self.subTest(module=path.name):
                lines = path.read_text(encoding="utf-8").count("\n")
                self.assertLessEqual(lines, MAX_LINES)
