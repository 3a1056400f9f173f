"""Choice of upstreams by load, latency and failure domain, and subsets."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from papayabay_core.calls import LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.routing import RoutingTable
from papayabay_daemon._internal.routing.subset import choose_subset
from tests.unit.daemon.routing_support import (
    RoutingCase,
    call,
    error_answer,
    member,
    target_answer,
)


class OwnDomainTests(RoutingCase):
    """Upstreams of the own failure domain, here u0, are preferred."""

    def set_policy(self, **decisions):
        services = {"stock": {"routing": {"own_domain_usage": 0.5}}}
        values = {"decisions": decisions, "services": services}
        self.policy = Policy(validate_policy(values, "test"))

    def measure_all(self, elapsed=0.01):
        for upstream in self.upstreams:
            self.run_attempt(upstream, target_answer(), elapsed)

    def test_healthy_upstream_gets_all_calls(self):
        self.measure_all()
        self.assertEqual(self.count_choices().keys(), {"u0"})

    def test_others_get_calls_once_it_is_half_used(self):
        self.measure_all()
        for _ in range(5):
            self.table.started(self.upstreams[0], call())
        self.assertGreaterEqual(self.count_choices().keys(), {"u1", "u2", "u3"})

    def test_failing_or_slow_upstream_is_not_preferred(self):
        """Callers in one failure domain had more failures than all others.

        The upstream of their domain was slow or failed a part of its calls,
        and still got all of them.
        """
        for result, elapsed in (
            (target_answer(status=500), 0.01),
            (target_answer(), 0.2),
        ):
            self.setUp()
            self.measure_all()
            for _ in range(10):
                self.run_attempt(self.upstreams[0], result, elapsed)
            self.assertGreaterEqual(self.count_choices().keys(), {"u1", "u2", "u3"})

    def test_all_are_chosen_if_the_own_domain_has_none(self):
        self.measure_all()
        self.upstreams = self.upstreams[1:]
        self.assertEqual(self.count_choices().keys(), {"u1", "u2", "u3"})


class ChoiceTests(RoutingCase):
    def test_no_call_is_sent_over_an_unresponsive_link(self):
        self.count_choices()
        self.table.set_link_unresponsive("u1", True)
        self.assertNotIn("u1", self.count_choices())
        self.table.set_link_unresponsive("u1", False)
        self.assertIn("u1", self.count_choices())

    def test_excluded_upstreams_are_not_chosen(self):
        names = {upstream.name for upstream in self.upstreams}
        chosen = self.table.choose(call(), names - {"u2"})
        self.assertEqual(chosen.name, "u2")
        with self.assertRaises(CallError) as caught:
            self.table.choose(call(), names)
        self.assertEqual(caught.exception.kind, ErrorKind.NO_UPSTREAM)

    def test_attempts_in_flight_are_counted_and_avoided(self):
        for _ in range(30):
            self.table.choose(call(), ())
            self.table.started(self.upstreams[1], call())
        self.assertEqual(self.table.pools["stock"].states["u1"].in_flight, 30)
        self.assertEqual(self.count_choices()["u1"], 0)
        for _ in range(31):
            self.table.ended(self.upstreams[1], call(), None, 0.0)
        self.assertEqual(self.table.pools["stock"].states["u1"].in_flight, 0)

    def test_upstream_with_a_small_limit_gets_fewer_calls(self):
        for upstream in self.upstreams:
            limit = 2 if upstream.name == "u3" else 20
            self.run_attempt(
                upstream, target_answer(LoadState(in_flight=2, limit=limit))
            )
        counts = self.count_choices()
        self.assertLess(counts["u3"], min(counts[n] for n in ("u0", "u1", "u2")) / 2)

    def test_own_domain_is_preferred_while_its_latency_is_lower(self):
        for upstream in self.upstreams:
            self.run_attempt(
                upstream, target_answer(), 0.005 if upstream.name == "u0" else 0.008
            )
        self.assertGreater(self.count_choices()["u0"], 150)
        for _ in range(20):
            self.run_attempt(self.upstreams[0], target_answer(), 0.050)
        self.assertLess(self.count_choices()["u0"], 50)

    def test_slow_upstream_is_measured_again(self):
        """An upstream that was slow once never got calls again.

        Its average latency had risen. It was not chosen any more, so no answer
        lowered the average, which did not decay with time.
        """
        for upstream in self.upstreams:
            self.run_attempt(
                upstream, target_answer(), 1.0 if upstream.name == "u2" else 0.01
            )
        self.assertLess(self.count_choices()["u2"], 20)
        for _ in range(300):
            self.at += 0.2
            for number in (0, 1, 3):
                self.run_attempt(self.upstreams[number], target_answer(), 0.01)
        self.assertGreater(self.count_choices()["u2"], 150)

    def test_policy_change_takes_effect_at_once(self):
        self.table.choose(call(), ())
        self.set_policy(routing="round-robin")
        self.assertEqual(set(self.count_choices().values()), {100})

    def test_restart_resets_the_state(self):
        self.run_attempt(self.upstreams[0], error_answer(ErrorKind.LEAVING))
        self.assertNotIn("u0", self.count_choices())
        self.upstreams = [member("u0", "d0", 2), *self.upstreams[1:]]
        self.assertIn("u0", self.count_choices())

    def test_leaving_member_is_not_chosen(self):
        self.count_choices()
        self.upstreams[1].state = MemberState.LEAVING
        self.assertNotIn("u1", self.count_choices())


class SubsetTests(unittest.TestCase):
    def test_subsets_are_balanced_mixed_and_stable(self):
        upstreams = [member(f"u{n}", f"d{n % 4}") for n in range(80)]
        loads = Counter()
        for n in range(800):
            local = member(f"daemon{n}", f"d{n % 4}")
            subset, reserve = choose_subset(local, upstreams, 12, True)
            domains = Counter(upstream.failure_domain for upstream in subset)
            self.assertEqual(domains[local.failure_domain], 6)
            self.assertEqual(len({m.name for m in subset + reserve}), 24)
            fewer, _ = choose_subset(local, upstreams[1:], 12, True)
            changed = {m.name for m in subset} ^ {m.name for m in fewer}
            self.assertLessEqual(len(changed), 2)
            loads.update(upstream.name for upstream in subset)
        self.assertEqual(len(loads), 80)
        self.assertLess(max(loads.values()), 1.5 * 120)
        self.assertGreater(min(loads.values()), 0.6 * 120)

    def test_own_domain_fills_a_subset_with_too_few_others(self):
        upstreams = [member(f"u{n}", "d1" if n else "d2") for n in range(20)]
        subset, _ = choose_subset(member("here", "d1"), upstreams, 12, True)
        self.assertEqual(len(subset), 12)
        self.assertIn("u0", [upstream.name for upstream in subset])

    def test_reserve_is_used_when_the_subset_is_exhausted(self):
        upstreams = [member(f"u{n}", "d1") for n in range(6)]
        members = SimpleNamespace(
            local=member("here", "d1"), upstreams=lambda service: upstreams
        )
        policy = Policy(
            validate_policy({"services": {"stock": {"routing": {"subset": 2}}}}, "test")
        )
        table = RoutingTable(members, lambda: policy, random.Random(1))
        first = table.choose(call(), ())
        subset = {state.member.name for state in table.pools["stock"].subset}
        self.assertIn(first.name, subset)
        for _ in range(20):
            other = table.choose(call(), {first.name})
            self.assertEqual({other.name}, subset - {first.name})
        self.assertNotIn(table.choose(call(), subset).name, subset)
