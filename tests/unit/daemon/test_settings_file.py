"""Tests of reloading the settings file."""

import tempfile
import unittest
from pathlib import Path

from papayabay_core.settings import load_settings
from papayabay_daemon.main import open_settings

SETTINGS = """
[vm]
name = "vm1"
failure_domain = "a"
[cluster]
secret = "long enough"
[platform]
table_url = "http://x"
object_url = "http://x"
[limits]
drain_ms = 1000
"""


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "daemon.toml"
        self.path.write_text(SETTINGS)
        self.file = open_settings(self.path, load_settings)
        self.reloaded = []
        self.file.listeners.append(self.reloaded.append)

    def test_changed_file_is_reloaded(self):
        self.assertEqual(self.file.read_stamp(), self.file.stamp)
        self.path.write_text(SETTINGS.replace("1000", "20000"))
        self.assertNotEqual(self.file.read_stamp(), self.file.stamp)
        self.file.reload("test")
        self.assertEqual(self.reloaded[0].limits.drain_ms, 20_000)
        self.assertEqual(self.file.read_stamp(), self.file.stamp)

    def test_invalid_or_missing_file_keeps_settings(self):
        """An invalid settings file must not end a running daemon.

        The daemon may be told to reload the file while it holds a mistake or
        is not completely written yet.
        """
        self.path.write_text("[vm\n")
        self.file.reload("test")
        self.path.unlink()
        self.file.reload("test")
        self.assertEqual(self.reloaded, [])
        self.assertEqual(self.file.settings.limits.drain_ms, 1_000)
