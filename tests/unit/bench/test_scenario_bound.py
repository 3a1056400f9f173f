"""The bound of the bottleneck, and the verdicts on what was measured."""

import unittest

from papayabay_bench.load.results import Attempt, Request
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.bound import achievable_rate, segments
from papayabay_bench.scenarios.expectations import evaluate
from papayabay_bench.scenarios.measures import RunData, windows_of
from papayabay_bench.scenarios.parser import parse_scenario
from papayabay_bench.scenarios.samples import Sample, admission_counts, inversions

TEXT = """scenario "bound"
scale "one"
domains 2
service front {
  upstreams 2  slots 5
  call free GET /free sheddable work 10 ms
  call look GET /look sheddable work 10 ms then deep.read
  call buy POST /buy critical work 10 ms then deep.take
}
service deep {
  upstreams 2  slots 1
  call read GET /read normal work 40 ms
  call take POST /take critical work 40 ms
}
load all {
  mix 20 % front.free, 60 % front.look, 20 % front.buy
  at 100/s for 30 s
}
at 10 s for 10 s slow deep by 2
at 10 s for 10 s kill target deep-1
expect good critical overload >= 99 %
expect goodput overload >= 50 % of bound
expect refused before = 0
"""
SHARES = {"front.free": 20, "front.look": 60, "front.buy": 20}
CLASSES = {"front.buy": "critical"}


def requests(good=lambda name, due: True):
    """Return 30 s of evenly spaced requests."""
    return [
        Request(
            request=f"{name}/{number}",
            call=name,
            importance=CLASSES.get(name, "sheddable"),
            key="",
            due=number / rate,
            outcome="good" if good(name, number / rate) else "refused",
            attempts=[
                Attempt(
                    sent=number / rate,
                    ended=number / rate,
                    outcome="good" if good(name, number / rate) else "refused",
                )
            ],
        )
        for name, rate in SHARES.items()
        for number in range(30 * rate)
    ]


def run_data_of(scenario, made):
    """Return evidence of requests alone."""
    windows = windows_of(scenario, 0.0)
    found = segments(scenario, made, windows["whole"])
    return RunData(scenario, made, [], [], [], found, windows)


class BoundTest(unittest.TestCase):
    def setUp(self):
        self.scenario = parse_scenario(TEXT)
        self.segments = segments(self.scenario, requests(), Window(0.0, 30.0))

    def rate(self, importance, begins, ends):
        """Return what fits of a class."""
        window = Window(begins, ends)
        return achievable_rate(self.segments, window, importance, self.scenario)

    def test_healthy_fleet_is_bound_by_the_deep_service(self):
        """2 slots ÷ 40 ms fit 50/s: 20 critical ones, and 30 of 60 looks."""
        self.assertAlmostEqual(self.rate("critical", 0, 10), 20.0)
        self.assertAlmostEqual(self.rate("sheddable", 0, 10), 50.0)

    def test_faults_take_capacity_away_in_order_of_class(self):
        """1 slot ÷ 80 ms fits 12.5/s: no look is left, only what is free."""
        self.assertAlmostEqual(self.rate("critical", 10, 20), 12.5)
        self.assertAlmostEqual(self.rate("sheddable", 10, 20), 20.0)

    def test_window_over_two_pieces_weighs_them_by_time(self):
        self.assertAlmostEqual(self.rate("critical", 5, 15), (20.0 + 12.5) / 2)


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.scenario = parse_scenario(TEXT)

    def verdicts(self, good):
        """Return which expectations hold."""
        run_data = run_data_of(self.scenario, requests(good))
        return [evaluate(run_data, one) for one in self.scenario.expectations]

    def test_all_hold(self):
        self.assertTrue(all(one.holds for one in self.verdicts(lambda *_: True)))

    def test_lost_critical_requests_fail(self):
        verdicts = self.verdicts(
            lambda name, due: name != "front.buy" or not 10 <= due < 11
        )
        self.assertEqual([one.holds for one in verdicts], [False, True, True])
        self.assertAlmostEqual(verdicts[0].measured, 0.9)
        self.assertIn("expect good critical", verdicts[0].text)

    def test_refusal_before_the_trigger_fails(self):
        verdicts = self.verdicts(lambda name, due: due != 5)
        self.assertEqual([one.holds for one in verdicts], [True, True, False])

    def test_refusal_in_the_overload_of_an_earlier_request(self):
        """Symptom: refusals before a trigger that nobody had refused.

        Requests due just before the trigger were repeated into the overload
        and refused there; counting attempts by their request's time due put
        them before it.
        """
        made = requests()
        made[0].attempts[0].outcome = "refused"
        made[0].attempts[0].ended = 11.0
        verdict = evaluate(
            run_data_of(self.scenario, made), self.scenario.expectations[2]
        )
        self.assertTrue(verdict.holds)


class InversionTest(unittest.TestCase):
    def samples(self, refused, admitted):
        """Return two samples of one daemon, the counts grown between."""
        common = dict.fromkeys(("in_flight", "queued", "queue_ms", "processor_s"), 0)
        return [
            Sample(time=0.5, daemon="a", service="a", **common),
            Sample(1.0, "a", "a", **common, refused=refused, admitted=admitted),
        ]

    def count(self, refused, admitted):
        """Return the inversions within the first two seconds."""
        return inversions(self.samples(refused, admitted), Window(0.0, 2.0))

    def test_counts_of_a_service_can_be_kept(self):
        """Symptom: results could not be written as JSON, after the run.

        A result with a `Counter` in it went through `asdict`, which makes
        a new one from pairs and so counts the pairs themselves; their
        tuples are no keys of JSON.
        """
        samples = self.samples({"critical/overloaded": 1}, {"normal": 3})
        counted = admission_counts(samples, Window(0.0, 2.0))
        self.assertEqual(counted, {"a": {"critical/overloaded": 1, "normal": 3}})
        self.assertIs(type(counted["a"]), dict)

    def test_only_both_together_count(self):
        refused = {"critical/overloaded": 1}
        self.assertEqual(self.count(refused, {"sheddable": 2}), 1)
        self.assertEqual(self.count(refused, {"critical": 2}), 0)
        self.assertEqual(self.count({"normal/overloaded": 1}, {"sheddable": 2}), 0)
