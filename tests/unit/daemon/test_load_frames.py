"""Load states of answer frames with figures that can't be true."""

import unittest
from math import inf, nan

from papayabay_core.calls import Answer, LoadState
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.links import call_frames
from tests.unit.daemon.routing_support import RoutingCase, call, target_answer


def over_a_link(load):
    """Return a load state as the caller's daemon reads it."""
    frame = call_frames.encode_answer(1, Answer(200, load=load), b"", True)
    return call_frames.decode_answer(call_frames.read_call_frame(frame)).load


class LoadFrameTests(RoutingCase):
    def test_implausible_slowdown_counts_as_none(self):
        """Guards against a division by 0 that loses the answer of a run."""
        for slowdown in (0.0, -2.5, nan, inf, 1e300):
            load = over_a_link(LoadState(limit=10, slowdown=slowdown))
            self.assertEqual(load.slowdown, 1.0, slowdown)
        self.assertEqual(over_a_link(LoadState(slowdown=2.5)).slowdown, 2.5)

    def test_implausible_service_time_leaves_the_means_usable(self):
        """Guards against a mean that one answer makes infinite for ever."""
        values = {"services": {"stock": {"routing": {"score": "completion"}}}}
        self.policy = Policy(validate_policy(values, "test"))
        for service_ms in (10.0, inf, nan, -1e300, 1e300):
            load = over_a_link(LoadState(5, 0, 10, service_ms=service_ms))
            for upstream in self.upstreams:
                self.run_attempt(upstream, target_answer(load))
        model = self.table.pool("stock", self.policy).completion
        self.assertLess(0.0, model.service_s)
        self.assertLess(model.service_s, 1.0)
        self.assertEqual(len(self.count_choices()), 4)
        self.table.choose(call(), ())


if __name__ == "__main__":
    unittest.main()
