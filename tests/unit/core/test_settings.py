"""Tests of settings files: defaults, refused values, error messages."""

import tempfile
import unittest
from pathlib import Path

from papayabay_core.exceptions import SettingsError
from papayabay_core.settings import DaemonSettings, OperatorSettings, load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID = """
[vm]
name = "orders-svc-0"
failure_domain = "riga-1"

[cluster]
secret = "long enough"

[platform]
table_url = "http://127.0.0.1:1/table"
object_url = "http://127.0.0.1:1/objects"
"""


class SettingsTests(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "daemon.toml"

    def load(self, content):
        self.path.write_bytes(
            content if isinstance(content, bytes) else content.encode()
        )
        return load_settings(self.path)

    def assert_one_line(self, content, *texts):
        """Assert that the error is one line with the file and all texts."""
        with self.assertRaises(SettingsError) as caught:
            self.load(content)
        (line,) = str(caught.exception).splitlines()
        self.assertTrue(line.startswith(f"{self.path}: "), line)
        for text in texts:
            self.assertIn(text, line)

    def test_missing_keys_have_their_defaults(self):
        settings = self.load(VALID)
        self.assertEqual(settings.vm.region, "default")
        self.assertEqual(settings.limits.drain_ms, 60_000)
        self.assertIsNone(settings.statsd.host)

    def test_unknown_key(self):
        faulty = VALID.replace("[cluster]", "port = 1\n[cluster]")
        self.assert_one_line(faulty, " vm.port: ", "not permitted")

    def test_unknown_table(self):
        self.assert_one_line(VALID + "[timings]\n", " timings: ", "not permitted")

    def test_wrong_type(self):
        faulty = VALID + '[limits]\ndrain_ms = "a minute"\n'
        self.assert_one_line(faulty, " limits.drain_ms: ", "valid integer")

    def test_values_out_of_range(self):
        for table, key, value, expected in (
            ("timing", "suspicion_ms", "0", "greater than 0"),
            ("timing", "config_readers_per_domain", "17", "less than or equal to 16"),
            ("limits", "depth", "256", "less than or equal to 255"),
            ("loopback", "status_port", "65536", "less than or equal to 65535"),
            ("logs", "level", '"LOUD"', "'DEBUG', 'INFO'"),
        ):
            with self.subTest(key):
                faulty = f"{VALID}[{table}]\n{key} = {value}\n"
                self.assert_one_line(faulty, f" {table}.{key}: ", expected)

    def test_required_keys(self):
        for key in ("name", "failure_domain", "secret", "table_url", "object_url"):
            with self.subTest(key):
                kept = [line for line in VALID.splitlines() if not line.startswith(key)]
                self.assert_one_line("\n".join(kept), f".{key}: ", "required")

    def test_short_secret_is_not_shown(self):
        """Guards against an error message that shows the refused value.

        The cluster secret was written to the log of the process manager.
        """
        faulty = VALID.replace("long enough", "hunter2")
        self.assert_one_line(faulty, " cluster.secret: ", "at least 8 characters")
        with self.assertRaises(SettingsError) as caught:
            self.load(faulty)
        self.assertNotIn("hunter2", str(caught.exception))

    def test_one_line_per_fault(self):
        faulty = VALID + "[limits]\ndepth = 0\ndrain_ms = 0\n"
        with self.assertRaises(SettingsError) as caught:
            self.load(faulty)
        self.assertEqual(len(str(caught.exception).splitlines()), 2)

    def test_file_that_is_not_toml(self):
        self.assert_one_line("[vm\n", "not valid TOML", "line 1")

    def test_file_that_is_not_text(self):
        self.assert_one_line(b"\xff\xfe", "not valid TOML")

    def test_missing_file(self):
        missing = self.path.with_name("missing.toml")
        with self.assertRaisesRegex(SettingsError, "^.*missing.toml: No such file"):
            load_settings(missing)

    def test_examples(self):
        daemon = load_settings(EXAMPLES / "daemon.toml", DaemonSettings)
        self.assertEqual(daemon.vm.name, "orders-svc-0")
        load_settings(EXAMPLES / "operator.toml", OperatorSettings)


if __name__ == "__main__":
    unittest.main()
