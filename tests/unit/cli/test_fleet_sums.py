"""Commands that show sums over a large fleet, or all of its daemons."""

import json
import unittest
from contextlib import redirect_stdout
from io import StringIO
from unittest import mock

from papayabay_cli import daemons
from papayabay_cli.burn.recording import record_fleet
from papayabay_cli.errors import DaemonsUnreachable, UsageError
from papayabay_cli.fleet_status import print_fleet
from papayabay_daemon._internal.status.sums import BurnSums, StatusSums


def make_report(version):
    """Return the part of a daemon's status report that sums are made of."""
    configuration = {"version": version, "confirmed": True, "applied_at": 1}
    return {"failure_domain": "d1", "configuration": configuration}


def through_json(sums):
    """Return sums as they are decoded from a daemon's JSON answer."""
    return json.loads(json.dumps(sums.plain()))


class FleetSumsTests(unittest.TestCase):
    def test_sums_and_outliers_are_printed(self):
        sums = StatusSums()
        reports = {
            f"vm-{number}": make_report(9 if number else 8) for number in range(4)
        }
        self.assertEqual(sums.add_reports(reports), {})
        fleet = {"sums": through_json(sums), "not_heard": {"vm-7": "TimeoutError: "}}
        with redirect_stdout(StringIO()) as out:
            print_fleet(fleet)
        text = out.getvalue()
        self.assertIn("daemons heard: 4", text)
        self.assertRegex(text, r"(?m)^9 +3$")
        self.assertRegex(text, r"(?m)^vm-0 +d1 +- +8 ")
        self.assertNotIn("vm-1 ", text)
        self.assertIn("vm-7: TimeoutError", text)

    def test_recording_of_sums_equals_that_of_single_daemons(self):
        counts = {"good": 5, "failed": 1, "refused": 0, "slow": 2}
        daemon = {"version": 3, "paths": {"a/b": {"1h": counts}}, "left_out": 1}
        heard = {"x": daemon, "y": daemon}
        sums = BurnSums()
        sums.add_reports(heard)
        not_heard = {"z": "gone"}
        policy = {"version": 3, "values": {}}
        with mock.patch("time.time_ns", return_value=0):
            single = record_fleet({"heard": heard, "not_heard": not_heard}, policy)
            summed = record_fleet(
                {"sums": through_json(sums), "not_heard": not_heard}, policy
            )
        self.assertEqual(summed, single)
        self.assertEqual(summed.counts["a/b"]["1h"].good, 10)

    def test_unreadable_sums_are_an_error(self):
        with self.assertRaises(UsageError):
            record_fleet({"sums": {"versions": {}}, "not_heard": {}}, {})

    def test_all_daemons_are_fetched_in_pages(self):
        answers = [
            [{"heard": {"a": 1}, "not_heard": {"b/c": "gone"}, "next": "b/c"}],
            [{"heard": {"d": 2}, "not_heard": {}, "next": None}],
        ]
        with mock.patch.object(daemons, "query_fleet", side_effect=answers) as query:
            fleet = daemons.query_all_daemons(None)
        self.assertEqual(
            fleet, {"heard": {"a": 1, "d": 2}, "not_heard": {"b/c": "gone"}}
        )
        self.assertEqual(query.call_args.args[1], "/fleet/status?after=b%2Fc")

    def test_next_page_that_does_not_start_later_is_an_error(self):
        page = [{"heard": {}, "not_heard": {}, "next": "a"}]
        with (
            mock.patch.object(daemons, "query_fleet", return_value=page),
            self.assertRaises(DaemonsUnreachable),
        ):
            daemons.query_all_daemons(None)
