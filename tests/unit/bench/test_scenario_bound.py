"""Tests of the goodput bound, the verdicts and the admission samples."""

import unittest

from papayabay_bench.load.results import Attempt, Request
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.bound import achievable_rate, segments
from papayabay_bench.scenarios.expectations import evaluate
from papayabay_bench.scenarios.measures import RunData, windows_of
from papayabay_bench.scenarios.parser import parse_scenario
from papayabay_bench.scenarios.samples import (
    Sample,
    admission_counts,
    counter_increase,
)

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


def make_requests(is_good=lambda name, due: True):
    """Return 30 s of evenly spaced requests of each call."""
    return [
        Request(
            request=f"{name}/{number}",
            call=name,
            importance=CLASSES.get(name, "sheddable"),
            key="",
            due=number / rate,
            outcome="good" if is_good(name, number / rate) else "refused",
            attempts=[
                Attempt(
                    sent=number / rate,
                    ended=number / rate,
                    outcome="good" if is_good(name, number / rate) else "refused",
                )
            ],
        )
        for name, rate in SHARES.items()
        for number in range(30 * rate)
    ]


def run_data_of(scenario, requests):
    """Return the data of a run with nothing but requests."""
    windows = windows_of(scenario, 0.0)
    run_segments = segments(scenario, requests, windows["whole"])
    return RunData(scenario, requests, [], [], [], run_segments, windows)


class BoundTest(unittest.TestCase):
    def setUp(self):
        self.scenario = parse_scenario(TEXT)
        self.segments = segments(self.scenario, make_requests(), Window(0.0, 30.0))

    def rate(self, importance, begins, ends):
        """Return the achievable rate of a class between two times."""
        window = Window(begins, ends)
        return achievable_rate(self.segments, window, importance, self.scenario)

    def test_bottleneck_bounds_a_healthy_fleet(self):
        """2 slots ÷ 40 ms = 50/s: for 20 `buy` and 30 of 60 `look`."""
        self.assertAlmostEqual(self.rate("critical", 0, 10), 20.0)
        self.assertAlmostEqual(self.rate("sheddable", 0, 10), 50.0)

    def test_less_capacity_affects_the_least_important_class_first(self):
        """1 slot ÷ 80 ms = 12.5/s: all for `buy`, so only `free` is left."""
        self.assertAlmostEqual(self.rate("critical", 10, 20), 12.5)
        self.assertAlmostEqual(self.rate("sheddable", 10, 20), 20.0)

    def test_rate_over_two_segments_is_weighted_by_time(self):
        self.assertAlmostEqual(self.rate("critical", 5, 15), (20.0 + 12.5) / 2)


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.scenario = parse_scenario(TEXT)

    def verdicts(self, is_good):
        """Return the verdicts on all expectations."""
        run_data = run_data_of(self.scenario, make_requests(is_good))
        return [evaluate(run_data, one) for one in self.scenario.expectations]

    def test_all_expectations_are_met(self):
        self.assertTrue(all(one.holds for one in self.verdicts(lambda *_: True)))

    def test_failed_critical_requests_are_found(self):
        verdicts = self.verdicts(
            lambda name, due: name != "front.buy" or not 10 <= due < 11
        )
        self.assertEqual([one.holds for one in verdicts], [False, True, True])
        self.assertAlmostEqual(verdicts[0].measured, 0.9)
        self.assertIn("expect good critical", verdicts[0].text)

    def test_refusal_before_the_overload_is_found(self):
        verdicts = self.verdicts(lambda name, due: due != 5)
        self.assertEqual([one.holds for one in verdicts], [True, True, False])

    def test_refusal_counts_at_the_time_of_the_answer(self):
        """Refusals during the overload don't count as refusals before it.

        Requests that were due just before the overload were retried and
        refused during it. When attempts were counted by the due time of
        their request, these refusals appeared before the overload.
        """
        requests = make_requests()
        requests[0].attempts[0].outcome = "refused"
        requests[0].attempts[0].ended = 11.0
        verdict = evaluate(
            run_data_of(self.scenario, requests), self.scenario.expectations[2]
        )
        self.assertTrue(verdict.holds)


class SampleTest(unittest.TestCase):
    def samples(self, refused, admitted):
        """Return two samples of one daemon with increased counters."""
        common = dict.fromkeys(("in_flight", "queued", "queue_ms", "processor_s"), 0)
        return [
            Sample(time=0.5, daemon="a", service="a", **common),
            Sample(1.0, "a", "a", **common, refused=refused, admitted=admitted),
        ]

    def test_admission_counts_can_be_written_as_json(self):
        """Counts by service are plain dicts, not `Counter` objects.

        `asdict` rebuilds a `Counter` from its items and so counts the pairs
        themselves. Their tuples can't be JSON keys, so that writing the
        results failed at the end of a run.
        """
        samples = self.samples({"critical/overloaded": 1}, {"normal": 3})
        counted = admission_counts(samples, Window(0.0, 2.0))
        self.assertEqual(counted, {"a": {"critical/overloaded": 1, "normal": 3}})
        self.assertIs(type(counted["a"]), dict)

    def test_admission_counter_is_summed_within_a_window(self):
        common = dict.fromkeys(("in_flight", "queued", "queue_ms", "processor_s"), 0)
        samples = [
            Sample(time, daemon, "a", **common, inversions=count, idle_refusals=9)
            for daemon in "ab"
            for time, count in ((0.5, 1), (1.0, 3), (1.5, 0), (3.0, 8))
        ]
        self.assertEqual(counter_increase(samples, Window(0.0, 2.0), "inversions"), 4)
        self.assertEqual(
            counter_increase(samples, Window(0.0, 2.0), "idle_refusals"), 0
        )
