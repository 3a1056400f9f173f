"""Tests of the platform's settings file and its durations."""

import tempfile
import unittest
from pathlib import Path

from papayabay_core.exceptions import SettingsError
from papayabay_platform.durations import milliseconds
from papayabay_platform.settings import load_boot
from tests.unit.platform.boot_support import BOOT


class DurationTest(unittest.TestCase):
    def test_units(self):
        self.assertEqual(milliseconds("1500ms"), 1_500)
        self.assertEqual(milliseconds("2.5s"), 2_500)
        self.assertEqual(milliseconds("0ms"), 0)

    def test_invalid_durations_are_refused(self):
        for text in ("", "5", "5m", "-1s", "1.s", " 1s", None, 3):
            with self.subTest(text), self.assertRaises(ValueError):
                milliseconds(text)


class BootTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text(text)
            return load_boot(path)

    def test_fields_become_settings(self):
        boot = self.load(BOOT)
        settings = boot.daemon_settings()
        self.assertEqual(settings.vm.name, "vm-a-1")
        self.assertEqual(settings.vm.failure_domain, "hall-a")
        self.assertEqual(
            (settings.vm.host, settings.vm.caller_port), ("10.1.0.8", 8304)
        )
        self.assertEqual(settings.platform.table_url, "http://10.200.1.7:8309")
        self.assertLess(settings.limits.drain_ms, 6_000)
        self.assertEqual(boot.vm.app_address.port, 8301)

    def test_ports_of_daemons_are_distinct_and_in_range(self):
        settings = self.load(BOOT).daemon_settings()
        vm = settings.vm
        ports = {vm.link_port, vm.gossip_port, settings.loopback.status_port}
        self.assertEqual(len(ports), 3)
        self.assertTrue(ports <= set(range(7620, 7636)))

    def test_connection_limit_leaves_descriptors_for_links(self):
        few = BOOT.replace("memoryMb = 300", "maxFds = 1200")
        self.assertEqual(self.load(few).daemon_settings().limits.connections, 500)
        self.assertLess(self.load(BOOT).daemon_settings().limits.connections, 4_096)

    def test_unknown_fields_are_ignored(self):
        self.load(BOOT + "\n[later]\nfield = 1\n")

    def test_faults_name_their_key(self):
        for old, new, named in (
            ('"10.1.0.8:8304"', '"here"', "outbound"),
            ('"1500ms"', '"soon"', "heartbeat"),
            ('zone = "hall-a"\n', "", "zone"),
        ):
            with self.subTest(named), self.assertRaises(SettingsError) as caught:
                self.load(BOOT.replace(old, new))
            self.assertIn(named, str(caught.exception))

    def test_missing_or_malformed_file(self):
        with self.assertRaises(SettingsError):
            load_boot("/nowhere/boot.toml")
        with self.assertRaises(SettingsError):
            self.load("[self\n")
