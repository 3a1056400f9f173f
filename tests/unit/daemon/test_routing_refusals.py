"""Routing avoids upstreams that refuse calls, fail, or are leaving."""

from papayabay_core.calls import LoadState
from papayabay_core.errors import ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance
from tests.unit.daemon.routing_support import (
    CRITICAL_ONLY,
    RoutingCase,
    call,
    error_answer,
    high_load,
    target_answer,
)


class RefusalTests(RoutingCase):
    def test_refusal_before_sending_has_a_jittered_retry_after(self):
        self.refuse_all()
        waits = {self.assert_refused(call()).retry_after_ms for _ in range(8)}
        self.assertGreater(len(waits), 3)
        self.assertTrue(all(100 <= wait <= 400 for wait in waits))
        self.assertFalse(self.table.has_other(call(), ()))
        self.table.choose(call(Importance.CRITICAL), ())
        self.assertEqual(self.table.path_level("stock", "stock/look"), CRITICAL_ONLY)

    def test_retry_after_follows_the_chance_of_the_class(self):
        """Guards against callers that come back to a closed class."""
        self.refuse_all()
        for _ in range(150):
            self.table.choose(call(Importance.CRITICAL), ())
            closed = self.assert_refused(call()).retry_after_ms
        self.assertGreaterEqual(closed, 2_500)
        delays = self.table.pools["stock"].retry_delays
        told = [
            delays.delay_ms(Importance.CRITICAL, self.table.random) for _ in range(50)
        ]
        self.assertLessEqual(max(told), 300)

    def test_calls_of_begun_requests_do_not_count_as_admitted(self):
        """Guards against a closed class that looks open by calls under way."""
        self.set_policy(queue_order="due")
        self.refuse_all()
        begun = call()
        begun.depth = 1
        for _ in range(150):
            self.table.choose(begun, ())
            closed = self.assert_refused(call()).retry_after_ms
        self.assertGreaterEqual(closed, 2_500)

    def test_refusal_ends_without_new_answers(self):
        """Calls to a service were refused after its overload had ended.

        Each upstream had reported that it admits only the critical class.
        Callers refused all other calls, so no answer came with a new level,
        and the upstreams were idle. Hints had no TTL.
        """
        self.refuse_all()
        self.at += 0.49
        self.assert_refused(call(Importance.SHEDDABLE))
        self.at += 0.26
        self.table.choose(call(), ())
        self.at += 0.26
        self.assertTrue(self.table.has_other(call(Importance.SHEDDABLE), ()))
        self.assertEqual(self.table.path_level("stock", "stock/look"), ADMIT_ALL)

    def test_critical_calls_ignore_stale_hints(self):
        self.refuse_all(-1)
        self.assertFalse(self.table.has_other(call(Importance.CRITICAL), ()))
        self.at += 0.21
        self.assertTrue(self.table.has_other(call(Importance.CRITICAL), ()))
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_level_of_an_upstream_with_free_slots_is_used(self):
        """A service worked on requests that the service below it refused.

        Its answers reported the level from below, but it had free slots
        itself, and levels of upstreams with free slots were ignored.
        """
        free_slots = LoadState(
            in_flight=0, queued=0, limit=10, admit_level=CRITICAL_ONLY
        )
        for upstream in self.upstreams:
            self.run_attempt(
                upstream, target_answer(free_slots), a_call=call(Importance.CRITICAL)
            )
        self.assertTrue(self.table.has_other(call(Importance.CRITICAL), ()))
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_level_of_a_service_is_the_mean(self):
        levels = [CRITICAL_ONLY, ADMIT_ALL, ADMIT_ALL, ADMIT_ALL]
        for upstream, level in zip(self.upstreams, levels, strict=True):
            load = LoadState(limit=10, admit_level=level)
            self.run_attempt(
                upstream, target_answer(load), a_call=call(Importance.CRITICAL)
            )
        found = self.table.path_level("stock", call().path_key)
        self.assertEqual(found, sum(levels) // len(levels))

    def test_hints_of_the_service_apply_to_an_upstream_without_answers(self):
        """Each upstream of an overloaded service was tried again separately.

        When the hints of all upstreams were stale, one was tried and refused,
        and the other three were tried as well, since hints of one upstream
        said nothing about others. That wasted work in bursts a second apart.
        """
        for upstream in self.upstreams[:3]:
            self.run_attempt(
                upstream,
                target_answer(high_load(CRITICAL_ONLY)),
                a_call=call(Importance.CRITICAL),
            )
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_level_of_services_below_applies_to_one_path(self):
        below = LoadState(limit=10, path_levels={"stock/look": CRITICAL_ONLY})
        for upstream in self.upstreams:
            self.run_attempt(
                upstream, target_answer(below), a_call=call(Importance.CRITICAL)
            )
        self.assertFalse(self.table.has_other(call(), ()))
        self.assertTrue(self.table.has_other(call(path_key="stock/other"), ()))

    def test_level_of_the_upstream_itself_applies_to_all_paths(self):
        self.refuse_all()
        self.assertFalse(self.table.has_other(call(path_key="stock/other"), ()))

    def test_policy_can_disable_refusals(self):
        self.set_policy(upstream_refusal=False)
        self.refuse_all()
        self.assertEqual(len(self.count_choices()), 4)


class EjectionTests(RoutingCase):
    def fail_attempts(self, upstream, kind=ErrorKind.LINK_LOST, times=3):
        for _ in range(times):
            self.run_attempt(upstream, error_answer(kind))

    def test_second_ejection_lasts_longer(self):
        self.fail_attempts(self.upstreams[1])
        self.assertNotIn("u1", self.count_choices())
        self.at += 2.1
        self.assertIn("u1", self.count_choices())
        self.fail_attempts(self.upstreams[1], times=1)
        self.at += 1.1
        self.assertNotIn("u1", self.count_choices())

    def test_new_incarnation_keeps_the_ejection_length(self):
        """An upstream with a flapping network was ejected for a second only.

        Its links broke, it was ejected and suspected, refuted the suspicion
        with a higher incarnation, and its links broke again. The new
        incarnation was taken for a restart, which reset the ejection length.
        """
        self.fail_attempts(self.upstreams[1])
        self.upstreams = [*self.upstreams]
        self.upstreams[1].incarnation += 1
        self.at += 2.1
        self.assertIn("u1", self.count_choices())
        self.fail_attempts(self.upstreams[1], times=1)
        self.at += 1.1
        state = self.table.pools["stock"].states["u1"]
        self.assertTrue(state.ejection.active(self.at))
        self.assertNotIn("u1", self.count_choices())

    def test_ejections_are_limited_to_a_share(self):
        """All upstreams were ejected when a service below them failed.

        A service further down hung, and the calls through every upstream
        expired. Calls failed with NO_UPSTREAM while every target was up.
        """
        for upstream in self.upstreams:
            self.fail_attempts(upstream, ErrorKind.EXPIRED, 10)
        states = self.table.pools["stock"].states.values()
        self.assertEqual(sum(s.ejection.active(self.at) for s in states), 1)

    def test_refusals_do_not_eject(self):
        for kind in (ErrorKind.OVERLOADED, ErrorKind.TARGET_SHED):
            self.fail_attempts(self.upstreams[1], kind, 20)
        self.assertIn("u1", self.count_choices())

    def test_leaving_upstream_gets_no_calls(self):
        self.run_attempt(self.upstreams[3], error_answer(ErrorKind.LEAVING))
        self.assertNotIn("u3", self.count_choices())
        self.at += 5.1
        self.assertIn("u3", self.count_choices())

    def test_fast_errors_do_not_attract_calls(self):
        for upstream in self.upstreams:
            bad = upstream.name == "u0"
            for _ in range(20):
                status, elapsed = (500, 0.001) if bad else (200, 0.01)
                self.run_attempt(upstream, target_answer(status=status), elapsed)
        self.assertLess(self.count_choices()["u0"], 20)

    def test_penalties_decay(self):
        """An upstream that had failed once got no more calls.

        A link broke, or its target answered 500 for a while. Its penalty made
        it lose each comparison, and only a successful answer would have
        removed the penalty.
        """
        self.fail_attempts(self.upstreams[1], times=1)
        for _ in range(20):
            self.run_attempt(self.upstreams[2], target_answer(status=500))
        counts = self.count_choices()
        # Only a pair of these two, which is one draw in six, chooses either.
        self.assertLess(counts["u1"] + counts["u2"], 100)
        self.at += 5.1
        counts = self.count_choices()
        self.assertGreater(min(counts["u1"], counts["u2"]), 50)
