"""`papayabayd` as a process: invalid settings, and reloading on SIGHUP."""

import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

COMMAND = [sys.executable, "-P", "-m", "papayabay_daemon"]
TIMEOUT_S = 60.0
EXIT_INVALID = 2
INVALID_SETTINGS = """
[vm]
name = "orders-svc-0"
failure_domain = "riga-1"
caller_port = 70000
door = 1

[cluster]
secret = "long enough"

[platform]
table_url = "http://127.0.0.1:1/table"
object_url = "http://127.0.0.1:1/objects"
"""


def run_daemon(*arguments):
    """Run a daemon until it exits, and return the finished process."""
    return subprocess.run(
        [*COMMAND, *arguments],
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


class DaemonSettingsTests(unittest.TestCase):
    def assert_settings_refused(self, finished):
        self.assertEqual(finished.returncode, EXIT_INVALID, finished.stderr)
        self.assertEqual(finished.stdout, "")
        self.assertNotIn("Traceback", finished.stderr)

    def test_each_invalid_setting_is_reported(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "daemon.toml"
            path.write_text(INVALID_SETTINGS)
            finished = run_daemon("--settings", str(path))
        self.assert_settings_refused(finished)
        port, door = finished.stderr.splitlines()
        self.assertTrue(port.startswith(f"{path}: vm.caller_port: "), port)
        self.assertIn("65535", port)
        self.assertTrue(door.startswith(f"{path}: vm.door: "), door)

    def run_with(self, *lines):
        """Run a daemon with lines added to otherwise valid settings.

        The first lines are added to the table ``vm``, the rest at the end of
        the file. Returns the finished process and the file.
        """
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "daemon.toml"
        valid = INVALID_SETTINGS.replace("caller_port = 70000\ndoor = 1\n", lines[0])
        path.write_text("\n".join([valid, *lines[1:]]))
        return run_daemon("--settings", str(path)), path

    def test_invalid_hosts_are_reported(self):
        """Guards against hosts that are bound unchecked.

        A name as `vm.host` led to a traceback; a `loopback.host` that is no
        loopback address opened local ports to the whole network.
        """
        for host in ("localhost", "0.0.0.0"):
            finished, path = self.run_with(f'host = "{host}"\n')
            self.assert_settings_refused(finished)
            self.assertRegex(finished.stderr, rf"^{path}: vm\.host: .*'{host}'.*\n$")
        finished, path = self.run_with("", "[loopback]", 'host = "0.0.0.0"')
        self.assert_settings_refused(finished)
        self.assertRegex(finished.stderr, rf"^{path}: loopback\.host: .*\n$")

    def test_ports_that_cannot_be_opened(self):
        """Guards against a restart loop of a daemon that can't open a port.

        When a port was in use, or the address belonged to another VM, the
        daemon ended with a traceback and exit code 1, for which it is
        restarted.
        """
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            for table, key in (
                ("vm", "caller_port"),
                ("vm", "link_port"),
                ("loopback", "target_port"),
            ):
                line = f"{key} = {port}"
                lines = (line,) if table == "vm" else ("", "[loopback]", line)
                finished, path = self.run_with(*lines)
                self.assert_settings_refused(finished)
                start = f"{path}: {table}.{key}: port {port} of "
                self.assertTrue(finished.stderr.startswith(start), finished.stderr)
                self.assertEqual(len(finished.stderr.splitlines()), 1, finished.stderr)
        finished, path = self.run_with('host = "192.0.2.1"\n')
        self.assert_settings_refused(finished)
        self.assertTrue(finished.stderr.startswith(f"{path}: vm.link_port: "))
        self.assertEqual(len(finished.stderr.splitlines()), 1, finished.stderr)

    def test_sighup_reloads_settings(self):
        """Guards against daemons that end with status 129 on SIGHUP.

        SIGHUP is sent after a change of the settings file; a process that does
        not handle it is ended by it.
        """
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "daemon.toml"
        path.write_text(INVALID_SETTINGS.replace("caller_port = 70000\ndoor = 1\n", ""))
        process = subprocess.Popen(
            [*COMMAND, "--settings", str(path)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        self.assertIn('"ready": true', process.stdout.readline())
        path.write_text(path.read_text() + "\n[limits]\ndrain_ms = 1500\n")
        process.send_signal(signal.SIGHUP)
        reloaded = next(line for line in process.stderr if "reloaded" in line)
        self.assertIn("limits.drain_ms", reloaded)
        self.assertIsNone(process.poll())

    def test_missing_settings_file_is_reported(self):
        finished = run_daemon("--settings", "missing.toml")
        self.assert_settings_refused(finished)
        self.assertEqual(finished.stderr, "missing.toml: No such file or directory\n")

    def test_missing_settings_flag_is_reported(self):
        finished = run_daemon()
        self.assert_settings_refused(finished)
        self.assertIn("--settings", finished.stderr)


if __name__ == "__main__":
    unittest.main()
