"""`papayabayd` as a process that gets settings it can't use."""

import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

COMMAND = [sys.executable, "-P", "-m", "papayabay_daemon"]
SECONDS = 60.0
USAGE_OR_SETTINGS = 2
FAULTY = """
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
    """Return the ended process of a daemon."""
    return subprocess.run(
        [*COMMAND, *arguments],
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=SECONDS,
        check=False,
    )


class DaemonSettingsTests(unittest.TestCase):
    def assert_refused(self, ended):
        self.assertEqual(ended.returncode, USAGE_OR_SETTINGS, ended.stderr)
        self.assertEqual(ended.stdout, "")
        self.assertNotIn("Traceback", ended.stderr)

    def test_faulty_settings(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "daemon.toml"
            path.write_text(FAULTY)
            ended = run_daemon("--settings", str(path))
        self.assert_refused(ended)
        port, door = ended.stderr.splitlines()
        self.assertTrue(port.startswith(f"{path}: vm.caller_port: "), port)
        self.assertIn("65535", port)
        self.assertTrue(door.startswith(f"{path}: vm.door: "), door)

    def run_with(self, *lines):
        """Return the ended process and its file, for valid tables but some."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "daemon.toml"
        valid = FAULTY.replace("caller_port = 70000\ndoor = 1\n", lines[0])
        path.write_text("\n".join([valid, *lines[1:]]))
        return run_daemon("--settings", str(path)), path

    def test_host_names(self):
        """Symptom: a traceback, or doors that the whole network reaches.

        Sequence: `vm.host` is a name, `loopback.host` is not on loopback.
        Cause: hosts were texts that nothing checked before they were bound.
        """
        for host in ("localhost", "0.0.0.0"):
            ended, path = self.run_with(f'host = "{host}"\n')
            self.assert_refused(ended)
            self.assertRegex(ended.stderr, rf"^{path}: vm\.host: .*'{host}'.*\n$")
        ended, path = self.run_with("", "[loopback]", 'host = "0.0.0.0"')
        self.assert_refused(ended)
        self.assertRegex(ended.stderr, rf"^{path}: loopback\.host: .*\n$")

    def test_ports_that_cannot_be_opened(self):
        """Symptom: a traceback and exit code 1, so it was started again.

        Sequence: a port is in use, or the address is of another VM. Cause:
        the failure of the bind went up to the interpreter.
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
                ended, path = self.run_with(*lines)
                self.assert_refused(ended)
                start = f"{path}: {table}.{key}: port {port} of "
                self.assertTrue(ended.stderr.startswith(start), ended.stderr)
                self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)
        ended, path = self.run_with('host = "192.0.2.1"\n')
        self.assert_refused(ended)
        self.assertTrue(ended.stderr.startswith(f"{path}: vm.link_port: "))
        self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)

    def test_a_hangup_reloads_and_ends_nothing(self):
        """Symptom: daemons ended with status 129 when settings changed.

        Sequence: the settings file is written anew and SIGHUP tells of it.
        Cause: nobody handled the signal, whose default ends a process.
        """
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory) / "daemon.toml"
        path.write_text(FAULTY.replace("caller_port = 70000\ndoor = 1\n", ""))
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

    def test_missing_file(self):
        ended = run_daemon("--settings", "missing.toml")
        self.assert_refused(ended)
        self.assertEqual(ended.stderr, "missing.toml: No such file or directory\n")

    def test_no_settings_named(self):
        ended = run_daemon()
        self.assert_refused(ended)
        self.assertIn("--settings", ended.stderr)


if __name__ == "__main__":
    unittest.main()
