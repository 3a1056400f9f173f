"""Error budgets, burn rates and alerts computed from daemons' counts."""

import base64
import json
import re
import unittest
from contextlib import redirect_stdout
from io import StringIO

from papayabay_cli.burn.page import make_page
from papayabay_cli.burn.recording import Recording, record_fleet
from papayabay_cli.burn.report import make_report
from papayabay_cli.burn.text import print_report

ALL_GOOD = {"good": 1000}
POLICY = {
    "services": {
        "orders": {
            "calls": {
                "confirm": {
                    "methods": ["POST"],
                    "path": "/confirm",
                    "importance": "critical",
                    "objective": {"good_share": 0.99},
                },
                "place": {
                    "methods": ["POST"],
                    "path": "/place",
                    "importance": "critical",
                    "objective": {"good_share": 0.9},
                },
                "note": {"methods": ["PUT"], "path": "/note"},
            }
        }
    }
}


def daemon_counts(**paths):
    """Return one daemon's counts; other windows have only good requests."""
    windows = ("5m", "30m", "1h", "6h", "3d")
    counts = {
        f"orders/{name}": {w: given.get(w, ALL_GOOD) for w in windows}
        for name, given in paths.items()
    }
    return {"version": 3, "paths": counts, "left_out": 0}


def report_of(*daemons, not_heard=None):
    heard = {f"d{number}": counts for number, counts in enumerate(daemons)}
    fleet = {"heard": heard, "not_heard": not_heard or {}}
    return make_report(record_fleet(fleet, {"version": 3, "values": POLICY}))


def path_of(report, call):
    return next(burn for burn in report.paths if burn.call == call)


class RatesTest(unittest.TestCase):
    def test_daemons_are_summed_per_outcome(self):
        one = {"3d": {"good": 900, "failed": 5, "refused": 3, "slow": 2}}
        report = report_of(daemon_counts(confirm=one), daemon_counts(confirm={}))
        burn = path_of(report, "confirm")
        counts = burn.outcomes["3d"]
        self.assertEqual((counts.failed, counts.refused, counts.slow), (5, 3, 2))
        self.assertEqual((counts.bad, counts.total), (10, 1910))
        self.assertAlmostEqual(burn.rates["3d"], 10 / 19.1)
        self.assertAlmostEqual(burn.budget_left, 1 - 10 / 19.1)

    def test_alerts_need_both_windows(self):
        fast = {"good": 850, "failed": 150}
        for windows, expected in (
            (("1h", "5m"), ["page"]),
            (("1h",), []),
            (("5m",), []),
            (("6h", "30m"), ["page"]),
            (("3d", "6h"), ["ticket"]),
            (("3d",), []),
        ):
            given = dict.fromkeys(windows, fast)
            burn = path_of(report_of(daemon_counts(confirm=given)), "confirm")
            names = [alert.partition(":")[0] for alert in burn.alerts]
            self.assertEqual(names, expected, windows)

    def test_an_alert_fires_above_its_rate_and_not_at_it(self):
        equal = dict.fromkeys(("1h", "5m"), {"good": 8560, "refused": 1440})
        above = dict.fromkeys(("1h", "5m"), {"good": 8559, "refused": 1441})
        self.assertEqual(
            path_of(report_of(daemon_counts(confirm=equal)), "confirm").alerts, []
        )
        self.assertTrue(
            path_of(report_of(daemon_counts(confirm=above)), "confirm").alerts
        )

    def test_a_class_sums_the_allowed_requests_of_its_paths(self):
        report = report_of(
            daemon_counts(
                confirm={"3d": {"good": 90, "failed": 10}},
                place={"3d": {"good": 870, "refused": 30}},
            )
        )
        (burn,) = report.classes
        self.assertEqual((burn.service, burn.importance), ("orders", "critical"))
        self.assertAlmostEqual(burn.rates["3d"], 40 / (100 * 0.01 + 900 * 0.1))
        self.assertEqual([path.call for path in report.paths], ["confirm", "place"])
        shares = [path.share_of_bad for path in report.paths]
        self.assertEqual(shares, [0.25, 0.75])

    def test_without_requests_the_burn_rate_is_zero(self):
        burn = path_of(report_of(), "confirm")
        self.assertEqual((burn.rates["1h"], burn.budget_left), (0.0, 1.0))


class ReportTest(unittest.TestCase):
    def setUp(self):
        bad = dict.fromkeys(("1h", "5m", "3d"), {"good": 500, "refused": 500})
        unknown_format = {"version": 9, "mood": "fine"}
        self.report = report_of(
            daemon_counts(confirm=bad),
            unknown_format,
            not_heard={"<b>": "TimeoutError: "},
        )

    def test_daemon_with_unreadable_counts_is_listed_as_not_heard(self):
        self.assertEqual(self.report.recording.heard, {"d0": 3})
        self.assertEqual(self.report.recording.not_heard.keys(), {"<b>", "d1"})

    def test_report_read_back_from_json_is_the_same(self):
        values = json.loads(json.dumps(self.report.values()))
        recording = Recording.model_validate(values["recording"])
        self.assertEqual(make_report(recording).values(), self.report.values())

    def test_text_lists_alerting_paths_and_daemons_not_heard(self):
        with redirect_stdout(StringIO()) as out:
            print_report(self.report)
        text = out.getvalue()
        self.assertIn("not heard: <b>: TimeoutError", text)
        self.assertRegex(text, r"(?m)^orders/confirm .*50\.00 .*page")

    def test_page_is_self_contained_escaped_and_has_charts(self):
        page = make_page(self.report)
        self.assertNotIn("<b>", page)
        self.assertIn("&lt;b&gt;", page)
        self.assertNotRegex(page, r'(src|href)="(?!data:)')
        charts = re.findall(r"base64,([^\"]+)", page)
        self.assertEqual(len(charts), 2)
        for chart in charts:
            self.assertTrue(base64.b64decode(chart).startswith(b"\x89PNG"))
