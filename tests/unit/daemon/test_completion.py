"""Choice of upstreams by expected completion, and times of slow hosts."""

import asyncio
import random
from types import SimpleNamespace

from papayabay_core.calls import LoadState
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.admission.slot_search import TRIAL_CALLS
from tests.unit.daemon.admission_support import (
    in_virtual_time,
    make_control,
    train,
)
from tests.unit.daemon.routing_support import RoutingCase, target_answer


def load(service_ms, slowdown=1.0, in_flight=5):
    return LoadState(in_flight, 0, 10, service_ms=service_ms, slowdown=slowdown)


class CompletionTests(RoutingCase):
    def answer(self, loads, rounds=30, elapsed=None, **routing):
        """Answer calls at each upstream; return how often each is chosen."""
        routing = {"score": "completion", **routing}
        values = {"services": {"stock": {"routing": routing}}}
        self.policy = Policy(validate_policy(values, "test"))
        for _ in range(rounds):
            for number, (upstream, state) in enumerate(
                zip(self.upstreams, loads, strict=True)
            ):
                seconds = elapsed[number] if elapsed else state.service_ms / 1_000
                self.run_attempt(upstream, target_answer(state), seconds)
        return self.count_choices()

    def test_slow_host_gets_fewer_calls_at_once(self):
        """Load: a host that is shared slows down for 0.6 s."""
        self.answer([load(10)] * 4)
        chosen = self.answer([load(10, 2.5)] + [load(10)] * 3, 1, [0.025] + [0.01] * 3)
        self.assertEqual(chosen["u0"], 0)
        self.at += 0.6
        self.assertGreater(self.count_choices()["u0"], 50)

    def test_reports_change_nothing_by_default(self):
        """Failure: figures are used that policy has not enabled."""
        states = [load(10, 2.5)] + [load(10)] * 3
        chosen = self.answer(states, elapsed=[0.01] * 4, score="usage")
        self.assertGreater(chosen["u0"], 50)

    def test_false_report_does_not_attract_calls(self):
        """Failure: a slow target that reports 100 is taken for a fast one."""
        states = [load(10)] * 4
        chosen = self.answer(states, elapsed=[0.025, 0.01, 0.01, 0.01])
        self.assertLess(chosen["u0"], 20)

    def test_own_domain_is_preferred_below_its_usage_limit(self):
        """Failure: traffic between domains grows with the other score."""
        chosen = self.answer([load(10)] * 4, own_domain_usage=0.8)
        self.assertEqual(chosen["u0"], 400)

    def test_chosen_upstream_varies(self):
        """Failure: all callers send their calls to the fastest upstream."""
        chosen = self.answer([load(8)] + [load(10)] * 3)
        self.assertLess(chosen["u0"], 250)
        self.assertGreater(min(chosen.values()), 20)


class HostSpeedTests(RoutingCase):
    @in_virtual_time
    async def test_service_time_is_that_at_usual_speed(self, clock):
        """Failure: after a slow spell, calls are refused as too long."""
        control = make_control(clock)
        control.host_speed.reconfigure(True, clock())
        await train(control, clock, 0.1)
        report = SimpleNamespace(slowdown=2.5, rate_is_known=False)
        for _ in range(20):
            control.record_report(report, clock())
            await train(control, clock, 0.25, calls=1)
        self.assertAlmostEqual(control.times.mean("p"), 0.1, 6)
        self.assertEqual(control.load("p").slowdown, 2.5)
        await asyncio.sleep(0.6)
        self.assertEqual(control.load("p").slowdown, 1.0)

    def test_slot_search_ignores_slow_spells(self):
        """Failure: a slow spell in a trial makes all slots look too many."""
        rng = random.Random(1)
        control = make_control(lambda: self.at, slots=50)
        control.host_speed.reconfigure(True, self.at)
        for number in range(30 * TRIAL_CALLS):
            slowdown = 2.5 if number % 400 < 60 else 1.0
            control.host_speed.record(slowdown, self.at)
            self.at += rng.uniform(0.001, 0.003) * slowdown
            work_time = control.host_speed.work_time(self.at)
            control.slot_limit.finished(1.0, True, 0.1, self.at, work_time)
        self.assertEqual(control.slot_limit.search.best, 0)
