import unittest

from papayabay_bench.fleet.plan import ServicePlan
from papayabay_bench.load.results import Attempt, Request
from papayabay_bench.load.specification import CallMix
from papayabay_bench.measures.capacity import EndlessGraph, best_goodput, bottleneck
from papayabay_bench.measures.effects import (
    denied_effects,
    doubled_effects,
    lost_effects,
)
from papayabay_bench.measures.goodput import goodput, goodput_by_class
from papayabay_bench.measures.overrun import overrun
from papayabay_bench.measures.recovery import time_back
from papayabay_bench.measures.refusals import attempts_by_kind, refused_by_class
from papayabay_bench.measures.retries import largest_retries, retries_by_request
from papayabay_bench.measures.waste import wasted_share
from papayabay_bench.measures.windows import Window, sliding
from papayabay_bench.targets.records import EffectRecord, Execution
from papayabay_bench.targets.specification import CallPath, OutgoingCall, ServiceTime


def request(name="r", due=0.0, outcome="good", attempts=1, **options):
    values = {"call": "c", "importance": "normal", "key": name, "latency_ms": 10.0}
    sent = [Attempt(sent=due, outcome=outcome) for _ in range(attempts)]
    return Request(
        request=name, due=due, outcome=outcome, attempts=sent, **(values | options)
    )


def execution(request="r", nonce="r", busy_ms=10.0, end="answered"):
    return Execution("t", "s", request, nonce, "/", end=end, busy_ms=busy_ms)


def effect(key, service="s", request="r", path="/"):
    return EffectRecord("t", service, request, key, path, 0.0)


def paced(begins, ends, outcome="good", **options):
    times = [begins + number / 100 for number in range(round((ends - begins) * 100))]
    return [request(str(due), due, outcome, **options) for due in times]


class GoodputTests(unittest.TestCase):
    def test_counts_good_answers_when_they_come(self):
        requests = [
            request(due=0.5, latency_ms=1_000),
            request(due=0.5, latency_ms=100),
            request(due=0.5, latency_ms=100, outcome="wrong"),
            request(due=0.6, importance="critical"),
        ]
        self.assertEqual(goodput(requests, Window(0, 1)), 2)
        self.assertEqual(goodput(requests, Window(1, 3)), 0.5)
        by_class = goodput_by_class(requests, Window(0, 1))
        self.assertEqual(by_class, {"normal": 1, "critical": 1})

    def test_sliding_windows_stay_within(self):
        windows = list(sliding(Window(0, 1), 0.5, 0.25))
        begins = [window.begins for window in windows]
        self.assertEqual(begins, [0, 0.25, 0.5])


class RecoveryTests(unittest.TestCase):
    normal = Window(0, 2)
    after = Window(5, 10)

    def test_back_at_once(self):
        requests = paced(0, 10)
        self.assertEqual(time_back(requests, self.normal, self.after), 0)

    def test_failures_delay_it(self):
        requests = paced(0, 5) + paced(5, 6, "refused") + paced(6, 10)
        back = time_back(requests, self.normal, self.after)
        self.assertAlmostEqual(back, 1.0, delta=0.05)

    def test_slow_answers_are_not_normal(self):
        requests = paced(0, 5) + paced(5, 7, latency_ms=900) + paced(7, 10)
        back = time_back(requests, self.normal, self.after)
        self.assertAlmostEqual(back, 2.0, delta=0.05)

    def test_a_relapse_counts(self):
        requests = paced(0, 5.6) + paced(5.6, 6.4, "failed") + paced(6.4, 10)
        back = time_back(requests, self.normal, self.after)
        self.assertAlmostEqual(back, 1.4, delta=0.05)

    def test_never_back(self):
        requests = paced(0, 5) + paced(5, 10, "timed-out")
        self.assertIsNone(time_back(requests, self.normal, self.after))

    def test_silence_is_not_recovery(self):
        requests = paced(0, 5)
        self.assertIsNone(time_back(requests, self.normal, self.after))


class RetryTests(unittest.TestCase):
    def test_arrivals_of_a_nonce_beyond_the_first(self):
        executions = [
            execution(),
            execution(nonce="x.0"),
            execution(nonce="x.0", end="shed"),
            execution(nonce="x.1"),
        ]
        self.assertEqual(retries_by_request([request()], executions), {"r": 1})

    def test_calls_of_another_execution_are_not_retries(self):
        executions = [execution(), execution(), execution(nonce="x.0")]
        executions.append(execution(nonce="y.0"))
        self.assertEqual(largest_retries([request()], executions), 1)

    def test_the_callers_own_attempts_are_not_counted(self):
        executions = [execution(), execution(), execution()]
        self.assertEqual(largest_retries([request(attempts=2)], executions), 1)


class OverrunTests(unittest.TestCase):
    def test_most_calls_of_one_target_beyond_its_limit(self):
        """Calls of several targets were added up, or windows did not slide."""
        calls = [execution(busy_ms=0.0) for _ in range(40)]
        for number, one in enumerate(calls):
            one.time = 10.0 + number * 0.25
        window = Window(0.0, 100.0)
        self.assertEqual(overrun(calls, 1.0, window), 16 - 11)
        for one in calls[::2]:
            one.target = "other"
        self.assertEqual(overrun(calls, 1.0, window), 8 - 11)
        self.assertEqual(overrun(calls, 1.0, Window(0.0, 1.0)), -11)


class EffectTests(unittest.TestCase):
    def test_doubled(self):
        effects = [effect("k"), effect("k"), effect("l"), effect("k", service="z")]
        self.assertEqual(doubled_effects(effects), {("s", "k", "/"): 2})

    def test_lost(self):
        requests = [request("k"), request("l"), request("m", outcome="refused")]
        self.assertEqual(lost_effects(requests, [effect("k")], {"c"}), ["l"])

    def test_denied(self):
        denied = request("k", outcome="refused")
        denied.attempts[0].effect = "not-run"
        doubtful = request("l", outcome="failed", attempts=2)
        doubtful.attempts[1].effect = "not-run"
        effects = [effect("k"), effect("l")]
        self.assertEqual(denied_effects([denied, doubtful], effects), ["k"])


class WasteTests(unittest.TestCase):
    def test_share(self):
        requests = [request("a"), request("b", outcome="timed-out")]
        executions = [
            execution("a", busy_ms=60),
            execution("a", busy_ms=10, end="cancelled"),
            execution("b", busy_ms=30),
            execution("warm-up", busy_ms=900),
        ]
        self.assertAlmostEqual(wasted_share(requests, executions), 0.4)
        self.assertEqual(wasted_share([], []), 0.0)


class RefusalTests(unittest.TestCase):
    def test_by_class_and_kind(self):
        refused = request(outcome="refused", attempts=2)
        refused.attempts[0].kind = "overloaded"
        refused.attempts[1].status = 503
        counted = attempts_by_kind([refused, request()])
        expected = {("normal", "overloaded"): 1, ("normal", "target"): 1}
        self.assertEqual(counted, expected)
        self.assertEqual(refused_by_class([refused, request()]), {"normal": 1})


class CapacityTests(unittest.TestCase):
    def services(self, **options):
        calls = [OutgoingCall(service="deep", path="/")] * 2
        upper = CallPath(prefix="/", work=ServiceTime(mean_ms=5), calls=calls)
        deep = CallPath(prefix="/", work=ServiceTime(mean_ms=10))
        return [
            ServicePlan(name="upper", paths=[upper], slots=10, **options),
            ServicePlan(name="deep", paths=[deep], slots=2),
        ]

    mix = (CallMix(name="c", importance="normal", service="upper", path="/x"),)

    def test_visits_multiply(self):
        bound = bottleneck(self.services(), self.mix)
        self.assertEqual(bound.service, "deep")
        self.assertAlmostEqual(bound.rate, 4 / 0.020)

    def test_a_slot_held_during_calls(self):
        held = bottleneck(self.services(), self.mix).rates["upper"]
        freed = bottleneck(self.services(holds_slot=False), self.mix).rates["upper"]
        self.assertAlmostEqual(held, 20 / 0.025)
        self.assertAlmostEqual(freed, 20 / 0.005)

    def test_slow_services(self):
        bound = bottleneck(self.services(), self.mix, {"deep": 5.0})
        self.assertAlmostEqual(bound.rate, 4 / 0.100)

    def test_only_part_of_the_mix_goes_deep(self):
        shallow = CallMix(
            name="d", importance="normal", service="deep", path="/", weight=3
        )
        bound = bottleneck(self.services(), [*self.mix, shallow])
        self.assertAlmostEqual(bound.rate, 4 / (0.25 * 0.020 + 0.75 * 0.010))

    def test_important_calls_go_first(self):
        browse = CallMix(
            name="browse", importance="sheddable", service="deep", path="/"
        )
        calls = [browse, *self.mix]
        offered = {"browse": 1_000, "c": 150}
        best = best_goodput(self.services(), calls, offered)
        self.assertAlmostEqual(best["c"], 150)
        self.assertAlmostEqual(best["browse"], (4 - 150 * 0.020) / 0.010)

    def test_endless_graph(self):
        path = CallPath(prefix="/", calls=[OutgoingCall(service="upper", path="/")])
        endless = [ServicePlan(name="upper", paths=[path])]
        with self.assertRaises(EndlessGraph):
            bottleneck(endless, self.mix)


if __name__ == "__main__":
    unittest.main()
