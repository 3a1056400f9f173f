"""Tests of the scenario language: parsing, conversion and errors."""

import unittest
from pathlib import Path

from papayabay_bench.scenarios.errors import ScenarioError
from papayabay_bench.scenarios.parser import load_scenario, parse_scenario
from papayabay_bench.scenarios.plans import fleet_plan, load_specs, policy_document

SCENARIOS = Path(__file__).parents[3] / "scenarios"

HEAD = """scenario "two hops"
scale "as it is"
service front {
  upstreams 3  slots 4
  call order POST /order/{n} critical once token effect work 10 ms then back.book
}
service back {
  slots 2
  set admission.queue_target_ms = 15
  call book POST /book/{n} critical work 20 ms fixed
}
load all {
  mix 100 % front.order
  at 10/s for 2 s
  ramp from 10/s to 20/s for 1 s
  wait 500 ms  retry 2 after 50 ms
}
"""


def error_of(text):
    """Return the error message of an invalid text, or ""."""
    try:
        parse_scenario(text, "f")
    except ScenarioError as error:
        return str(error)
    return ""


class ValidScenarioTest(unittest.TestCase):
    def test_fleet_plan(self):
        plan = fleet_plan(parse_scenario(HEAD), 7)
        front, back = plan.services
        self.assertEqual((front.upstreams, front.slots, plan.seed), (3, 4, 7))
        self.assertEqual(front.paths[0].prefix, "/order/")
        self.assertEqual(front.paths[0].calls[0].path, "/book/1")
        self.assertEqual(back.paths[0].work.distribution, "fixed")

    def test_policy_document(self):
        document = policy_document(parse_scenario(HEAD), "static")
        order = document["services"]["front"]["calls"]["order"]
        self.assertEqual(order["at_most_once"], "token")
        self.assertEqual(document["decisions"]["admission"], "static")
        back = document["services"]["back"]
        self.assertEqual(back["admission"], {"queue_target_ms": 15})

    def test_surge_multiplies_rates_while_active(self):
        scenario = parse_scenario(HEAD + "at 500 ms for 1 s surge by 3\n")
        phases = load_specs(scenario, ["http://x"], 1)["all"].phases
        self.assertEqual(
            [(phase.seconds, phase.rate) for phase in phases[:3]],
            [(0.5, 10.0), (1.0, 30.0), (0.5, 10.0)],
        )
        self.assertAlmostEqual(sum(phase.seconds for phase in phases), 3.0)

    def test_every_scenario_file_is_valid(self):
        paths = sorted(SCENARIOS.glob("*.scenario"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                self.assertTrue(load_scenario(path).expectations)


class InvalidScenarioTest(unittest.TestCase):
    def test_word_not_allowed_here(self):
        self.assertIn("f:18:1: bogus is not allowed here", error_of(HEAD + "bogus\n"))

    def test_unexpected_end(self):
        self.assertIn("Unexpected end of file", error_of("service front {"))

    def test_unknown_names(self):
        line = "at 1 s for 1 s slow middle by 2\n"
        self.assertIn("f:18:1: There is no middle", error_of(HEAD + line))
        text = HEAD.replace("then back.book", "then back.cook")
        self.assertIn("f:5:", error_of(text))
        self.assertIn("no call cook", error_of(text))

    def test_shares_that_do_not_sum_to_1(self):
        self.assertIn("sum to 90.0%", error_of(HEAD.replace("100 %", "90 %")))

    def test_cyclic_call_graph(self):
        text = HEAD.replace("20 ms fixed", "20 ms fixed then front.order")
        self.assertIn("Call order calls itself", error_of(text))

    def test_overlapping_faults_of_one_subject(self):
        line = "at 1 s for 1 s slow back by 2\n"
        self.assertIn("still active", error_of(HEAD + line + line))

    def test_unknown_measure_and_window(self):
        self.assertIn("Unknown measure speed", error_of(HEAD + "expect speed >= 1\n"))
        self.assertIn("no window overload", error_of(HEAD + "expect wasted = 0\n"))
