"""Tests of the list of simulated days in the journal."""

import importlib.util
import json
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).parents[3] / "deploy" / "list_played.py"


def load_script():
    specification = importlib.util.spec_from_file_location("list_played", SCRIPT)
    module = importlib.util.module_from_spec(specification)
    specification.loader.exec_module(module)
    return module


def entry(at, files, **day):
    played = {"troubles": ["hup"], "G": 0.5, "rules": {}, "fault": None, "gate": True}
    return {
        "at": [at, at],
        "head": "0123456789abcdef",
        "argv": files,
        "days": [played | day],
    }


class ListPlayedTest(unittest.TestCase):
    def setUp(self):
        self.script = load_script()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def days(self, *entries):
        for number, content in enumerate(entries):
            (self.folder / f"{number}.json").write_text(json.dumps(content))
        return self.script.read_journal(self.folder)

    def test_newest_run_of_each_own_day_is_listed(self):
        path = next(iter(sorted(self.script.OWN_DAYS.glob("*.toml"))))
        files = [".../site.toml", f"deploy/days/{path.name}"]
        days = self.days(
            entry("2026-01-01T00:00:00Z", files, rules={"LOST": 3}),
            entry("2026-01-02T00:00:00Z", files),
            entry("2026-01-03T00:00:00Z", [*files, "--until", "24"], gate=False),
        )
        first, second, *_ = self.script.own_day_rows(days)
        self.assertRegex(first, rf"^{path.stem} +2026-01-02  01234567  0.500  passed$")
        self.assertTrue(second.endswith("not played"))

    def test_broken_rules_are_counted_by_kind(self):
        site = [".../site.toml"]
        days = self.days(
            entry("2026-01-01T00:00:00Z", site, rules={"LOST": 3}),
            entry("2026-01-02T00:00:00Z", site, gate=False),
        )
        (row,) = self.script.trouble_rows(days)
        self.assertIn("2 days,   1 with a broken rule", row)
        self.assertEqual(days[0].outcome(), "broke LOST")
        self.assertEqual(days[1].outcome(), "short of its floors")


if __name__ == "__main__":
    unittest.main()
