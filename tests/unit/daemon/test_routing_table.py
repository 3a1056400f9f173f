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
    failed,
    good,
    member,
)


class NearTests(RoutingCase):
    """Upstreams of the own failure domain, here u0, go before all others."""

    def set_policy(self, **decisions):
        services = {"stock": {"routing": {"own_domain_usage": 0.5}}}
        values = {"decisions": decisions, "services": services}
        self.policy = Policy(validate_policy(values, "test"))

    def measure_all(self, elapsed=0.01):
        for upstream in self.upstreams:
            self.end(upstream, good(), elapsed)

    def test_it_gets_all_while_it_is_sound(self):
        self.measure_all()
        self.assertEqual(self.spread().keys(), {"u0"})

    def test_the_others_share_the_load_once_it_is_half_used(self):
        self.measure_all()
        for _ in range(5):
            self.table.started(self.upstreams[0], call())
        self.assertGreaterEqual(self.spread().keys(), {"u1", "u2", "u3"})

    def test_one_that_fails_or_is_slow_is_left_to_the_draw(self):
        """Callers of one failure domain were served worse than all others.

        Their own upstream had turned slow or failed part of its calls, and
        still got all of them.
        """
        for answer, elapsed in ((good(status=500), 0.01), (good(), 0.2)):
            self.setUp()
            self.measure_all()
            for _ in range(10):
                self.end(self.upstreams[0], answer, elapsed)
            self.assertGreaterEqual(self.spread().keys(), {"u1", "u2", "u3"})

    def test_without_one_there_all_are_drawn(self):
        self.measure_all()
        self.upstreams = self.upstreams[1:]
        self.assertEqual(self.spread().keys(), {"u1", "u2", "u3"})


class ChoiceTests(RoutingCase):
    def test_no_call_follows_others_over_a_link_in_doubt(self):
        self.spread()
        self.table.set_link_unresponsive("u1", True)
        self.assertNotIn("u1", self.spread())
        self.table.set_link_unresponsive("u1", False)
        self.assertIn("u1", self.spread())

    def test_excluded_and_none_left(self):
        names = {upstream.name for upstream in self.upstreams}
        chosen = self.table.choose(call(), names - {"u2"})
        self.assertEqual(chosen.name, "u2")
        with self.assertRaises(CallError) as caught:
            self.table.choose(call(), names)
        self.assertEqual(caught.exception.kind, ErrorKind.NO_UPSTREAM)

    def test_in_flight_counts_once_and_steers(self):
        for _ in range(30):
            self.table.choose(call(), ())
            self.table.started(self.upstreams[1], call())
        self.assertEqual(self.table.pools["stock"].states["u1"].in_flight, 30)
        self.assertEqual(self.spread()["u1"], 0)
        for _ in range(31):
            self.table.ended(self.upstreams[1], call(), None, 0.0)
        self.assertEqual(self.table.pools["stock"].states["u1"].in_flight, 0)

    def test_small_limit_gets_less(self):
        for upstream in self.upstreams:
            limit = 2 if upstream.name == "u3" else 20
            self.end(upstream, good(LoadState(in_flight=2, limit=limit)))
        counts = self.spread()
        self.assertLess(counts["u3"], min(counts[n] for n in ("u0", "u1", "u2")) / 2)

    def test_own_domain_until_its_latency_is_no_better(self):
        for upstream in self.upstreams:
            self.end(upstream, good(), 0.005 if upstream.name == "u0" else 0.008)
        self.assertGreater(self.spread()["u0"], 150)
        for _ in range(20):
            self.end(self.upstreams[0], good(), 0.050)
        self.assertLess(self.spread()["u0"], 50)

    def test_old_slowness_is_measured_again(self):
        """A slow upstream got no more calls for good.

        Symptom: one upstream idle long after it had recovered. Sequence:
        one slow spell raised its average latency; nobody chose it, so
        nothing lowered the average. Cause: latency without age.
        """
        for upstream in self.upstreams:
            self.end(upstream, good(), 1.0 if upstream.name == "u2" else 0.01)
        self.assertLess(self.spread()["u2"], 20)
        for _ in range(300):
            self.at += 0.2
            for number in (0, 1, 3):
                self.end(self.upstreams[number], good(), 0.01)
        self.assertGreater(self.spread()["u2"], 150)

    def test_policy_change_takes_effect_at_once(self):
        self.table.choose(call(), ())
        self.set_policy(routing="round-robin")
        self.assertEqual(set(self.spread().values()), {100})

    def test_restart_forgets_what_was_learned(self):
        self.end(self.upstreams[0], failed(ErrorKind.LEAVING))
        self.assertNotIn("u0", self.spread())
        self.upstreams = [member("u0", "d0", 2), *self.upstreams[1:]]
        self.assertIn("u0", self.spread())

    def test_member_that_turns_leaving_in_place(self):
        self.spread()
        self.upstreams[1].state = MemberState.LEAVING
        self.assertNotIn("u1", self.spread())


class SubsetTests(unittest.TestCase):
    def test_even_mixed_and_stable(self):
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

    def test_few_others_are_filled_from_the_own_domain(self):
        upstreams = [member(f"u{n}", "d1" if n else "d2") for n in range(20)]
        subset, _ = choose_subset(member("here", "d1"), upstreams, 12, True)
        self.assertEqual(len(subset), 12)
        self.assertIn("u0", [upstream.name for upstream in subset])

    def test_lost_domain_leaves_a_daemon_its_reserve(self):
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
