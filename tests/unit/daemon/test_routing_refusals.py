from papayabay_core.calls import LoadState
from papayabay_core.errors import ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance, level_of
from tests.unit.daemon.routing_support import (
    RoutingCase,
    busy,
    call,
    failed,
    good,
)

CLASS_EDGE = level_of(Importance.NORMAL, 0) - 1


class RefusalTests(RoutingCase):
    def test_refused_early_with_jitter(self):
        self.refuse_all()
        waits = {self.refused(call()).retry_after_ms for _ in range(8)}
        self.assertGreater(len(waits), 3)
        self.assertTrue(all(250 <= wait <= 750 for wait in waits))
        self.assertFalse(self.table.has_other(call(), ()))
        self.table.choose(call(Importance.CRITICAL), ())
        self.assertEqual(self.table.path_level("stock", "stock/look"), CLASS_EDGE)

    def test_limits_reopen_without_answers(self):
        """A service stayed refused after its overload had ended.

        Symptom: no goodput while the upstreams idle. Sequence: each said
        that it admits only the critical class; callers held all else back,
        so no answer came that said otherwise. Cause: hints without age.
        """
        self.refuse_all()
        self.at += 0.49
        self.refused(call(Importance.SHEDDABLE))
        self.at += 0.26
        self.table.choose(call(), ())
        self.at += 0.26
        self.assertTrue(self.table.has_other(call(Importance.SHEDDABLE), ()))
        self.assertEqual(self.table.path_level("stock", "stock/look"), ADMIT_ALL)

    def test_critical_ignores_stale_hints(self):
        self.refuse_all(-1)
        self.assertFalse(self.table.has_other(call(Importance.CRITICAL), ()))
        self.at += 0.21
        self.assertTrue(self.table.has_other(call(Importance.CRITICAL), ()))
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_upstream_with_room_is_believed(self):
        """Requests were refused two services down, after work was spent.

        Symptom: a middle service worked on requests that the service below
        it then refused. Sequence: the middle one's answers carried the level
        from below; it had free slots itself. Cause: an upstream with room
        was not believed to refuse.
        """
        room = LoadState(in_flight=0, queued=0, limit=10, admit_level=CLASS_EDGE)
        for upstream in self.upstreams:
            self.end(upstream, good(room), a_call=call(Importance.CRITICAL))
        self.assertTrue(self.table.has_other(call(Importance.CRITICAL), ()))
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_level_of_a_service_is_the_mean(self):
        levels = [CLASS_EDGE, ADMIT_ALL, ADMIT_ALL, ADMIT_ALL]
        for upstream, level in zip(self.upstreams, levels, strict=True):
            load = LoadState(limit=10, admit_level=level)
            self.end(upstream, good(load), a_call=call(Importance.CRITICAL))
        found = self.table.path_level("stock", call().path_key)
        self.assertEqual(found, sum(levels) // len(levels))

    def test_neighbours_tell_of_an_upstream_not_heard(self):
        """Each upstream of an overloaded service was tried again on its own.

        Symptom: work wasted in bursts a second apart. Sequence: hints of all
        upstreams grow old; one is tried and refuses; the other three, still
        unheard, are tried as well. Cause: hints that stand alone.
        """
        for upstream in self.upstreams[:3]:
            self.end(upstream, good(busy(CLASS_EDGE)), a_call=call(Importance.CRITICAL))
        self.assertFalse(self.table.has_other(call(Importance.SHEDDABLE), ()))

    def test_what_services_below_refuse_is_of_one_path(self):
        below = LoadState(limit=10, path_levels={"stock/look": CLASS_EDGE})
        for upstream in self.upstreams:
            self.end(upstream, good(below), a_call=call(Importance.CRITICAL))
        self.assertFalse(self.table.has_other(call(), ()))
        self.assertTrue(self.table.has_other(call(path_key="stock/other"), ()))

    def test_what_an_upstream_refuses_itself_is_of_all_paths(self):
        self.refuse_all()
        self.assertFalse(self.table.has_other(call(path_key="stock/other"), ()))

    def test_switched_off(self):
        self.set_policy(upstream_refusal=False)
        self.refuse_all()
        self.assertEqual(len(self.spread()), 4)


class EjectionTests(RoutingCase):
    def break_off(self, upstream, kind=ErrorKind.LINK_LOST, times=3):
        for _ in range(times):
            self.end(upstream, failed(kind))

    def test_ejected_for_growing_times(self):
        self.break_off(self.upstreams[1])
        self.assertNotIn("u1", self.spread())
        self.at += 2.1
        self.assertIn("u1", self.spread())
        self.break_off(self.upstreams[1], times=1)
        self.at += 1.1
        self.assertNotIn("u1", self.spread())

    def test_new_incarnation_keeps_the_length(self):
        """A flapping upstream was never ejected for more than a second.

        Symptom: calls kept failing on one upstream. Sequence: its links
        broke, it was ejected and suspected, refuted that with a higher
        incarnation, and its links broke again. Cause: the refutation was
        taken for a restart that wipes the record.
        """
        self.break_off(self.upstreams[1])
        self.upstreams = [*self.upstreams]
        self.upstreams[1].incarnation += 1
        self.at += 2.1
        self.assertIn("u1", self.spread())
        self.break_off(self.upstreams[1], times=1)
        self.at += 1.1
        state = self.table.pools["stock"].states["u1"]
        self.assertTrue(state.ejection.active(self.at))
        self.assertNotIn("u1", self.spread())

    def test_never_more_than_the_share(self):
        """All upstreams were ejected when a service below failed.

        Symptom: NO_UPSTREAM while every target was up. Sequence: a deep
        service hung, all calls through every upstream expired. Cause: a
        fault that they share was held against each of them.
        """
        for upstream in self.upstreams:
            self.break_off(upstream, ErrorKind.EXPIRED, 10)
        states = self.table.pools["stock"].states.values()
        self.assertEqual(sum(s.ejection.active(self.at) for s in states), 1)

    def test_refusals_are_no_failures(self):
        for kind in (ErrorKind.OVERLOADED, ErrorKind.TARGET_SHED):
            self.break_off(self.upstreams[1], kind, 20)
        self.assertIn("u1", self.spread())

    def test_leaving_is_avoided_at_once(self):
        self.end(self.upstreams[3], failed(ErrorKind.LEAVING))
        self.assertNotIn("u3", self.spread())
        self.at += 5.1
        self.assertIn("u3", self.spread())

    def test_quick_errors_attract_nothing(self):
        for upstream in self.upstreams:
            bad = upstream.name == "u0"
            for _ in range(20):
                status, elapsed = (500, 0.001) if bad else (200, 0.01)
                self.end(upstream, good(status=status), elapsed)
        self.assertLess(self.spread()["u0"], 20)

    def test_failures_are_forgiven(self):
        """An upstream that had failed once got no more calls.

        Symptom: one upstream idle although it worked again. Sequence: a
        link broke, or its target answered 500 for a while; from then on it
        lost each draw. Cause: a penalty that only a good answer took off,
        and that kept every call away.
        """
        self.break_off(self.upstreams[1], times=1)
        for _ in range(20):
            self.end(self.upstreams[2], good(status=500))
        counts = self.spread()
        # Only the draw of these two, one in six, ends with either.
        self.assertLess(counts["u1"] + counts["u2"], 100)
        self.at += 5.1
        counts = self.spread()
        self.assertGreater(min(counts["u1"], counts["u2"]), 50)
