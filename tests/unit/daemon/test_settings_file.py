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
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "daemon.toml"
        self.path.write_text(SETTINGS)
        self.file = open_settings(self.path, load_settings)
        self.heard = []
        self.file.listeners.append(self.heard.append)

    def test_a_changed_file_is_taken_over(self):
        self.assertEqual(self.file.look(), self.file.stamp)
        self.path.write_text(SETTINGS.replace("1000", "20000"))
        self.assertNotEqual(self.file.look(), self.file.stamp)
        self.file.reload("test")
        self.assertEqual(self.heard[0].limits.drain_ms, 20_000)
        self.assertEqual(self.file.look(), self.file.stamp)

    def test_a_bad_or_missing_file_changes_nothing(self):
        """A daemon that served was ended by a mistake in its settings.

        The file is written anew, with a fault or just not yet whole, and the
        daemon is told to read it again.
        """
        self.path.write_text("[vm\n")
        self.file.reload("test")
        self.path.unlink()
        self.file.reload("test")
        self.assertEqual(self.heard, [])
        self.assertEqual(self.file.settings.limits.drain_ms, 1_000)
