"""A service's retry budget is kept when daemons restart, join or leave."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from papayabay_core.importance import Importance
from tests.unit.daemon.budget_fleet import BudgetFleet
from tests.unit.daemon.budget_support import budget_policy

RATE = 200.0
"""Calls a second that the four daemons beside a service's targets receive."""
REJECTION_SHARE = 0.55


class RestartTests(unittest.TestCase):
    """5,496 retries reached a service in ten seconds; 4,771 were allowed.

    After some seconds without failures, callers send 1.9 times as many calls,
    and the service's targets reject 55 in 100 of them. Two seconds later three
    of the four daemons beside the targets are killed. They restart within a
    second, while the targets reject calls for six seconds more.

    Each daemon counted the retries in memory only. A window's worth of them,
    earned before the fault, was spent before the kill, and the restarted
    daemons admitted the full share again. Without a kill, the budget is kept.
    """

    def run_incident(self, killed, importance=Importance.CRITICAL):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.run(12.0, RATE)
        fleet.run(1.0, 1.9 * RATE, importance=importance)
        fleet.rejection_share = REJECTION_SHARE
        fleet.run(2.0, 1.9 * RATE, importance=importance)
        for daemon in fleet.daemons[:killed]:
            daemon.restart()
        fleet.run(6.0, RATE, importance=importance)
        fleet.rejection_share = 0.0
        fleet.run(6.0, RATE, importance=importance)
        return fleet

    def test_no_restart(self):
        self.assertLessEqual(self.run_incident(0).max_budget_use(), 1.0)

    def test_three_of_four_restart(self):
        self.assertLessEqual(self.run_incident(3).max_budget_use(), 1.0)

    def test_all_restart(self):
        self.assertLessEqual(self.run_incident(4).max_budget_use(), 1.0)

    def test_all_restart_with_sheddable_calls(self):
        fleet = self.run_incident(4, Importance.SHEDDABLE)
        self.assertLessEqual(fleet.max_budget_use(), 1.0)

    def test_successive_restarts(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.run(12.0, RATE)
        fleet.rejection_share = REJECTION_SHARE
        for number in range(12):
            fleet.run(0.7, RATE)
            fleet.daemons[number % 4].restart()
        self.assertLessEqual(fleet.max_budget_use(), 1.0)


class OverloadTests(unittest.TestCase):
    """Overloaded daemons admitted more retries than the service's budget.

    A call that a daemon refuses for overload is sent to another one. No target
    has received it, so it is a first attempt there too. First attempts were
    counted when they came to a daemon, and not when they reached its target,
    so that one call earned retries at up to four daemons. The same happens if
    targets are unreachable, seconds before others reject calls.
    """

    def test_a_call_refused_for_overload_earns_retries_once(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.overload_share = 0.6
        fleet.rejection_share = REJECTION_SHARE
        fleet.run(25.0, RATE)
        self.assertLessEqual(fleet.max_budget_use(), 1.0)

    def test_a_call_to_an_unreachable_target_earns_retries_once(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.unreachable_share = 0.75
        fleet.run(20.0, RATE)
        fleet.unreachable_share = 0.0
        fleet.rejection_share = REJECTION_SHARE
        fleet.run(12.0, RATE)
        self.assertLessEqual(fleet.max_budget_use(), 1.0)


class LeavingTests(unittest.TestCase):
    """A service that lost daemons got the fixed part of its budget twice.

    Targets reject nearly all of a few calls, so that each of four daemons
    spends its quarter of the fixed part. Three of them leave, and the fourth
    admitted the whole fixed part: it was divided among the present daemons,
    and not among all that were there within the window.
    """

    def test_the_share_of_daemons_that_left_is_not_spent_again(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.run(12.0, 5.0)
        fleet.rejection_share = 0.95
        fleet.run(4.0, 5.0, max_attempts=8)
        del fleet.daemons[:3]
        fleet.run(6.0, 5.0, max_attempts=8)
        self.assertLessEqual(fleet.max_budget_use(), 1.0)


SEGMENTS = st.lists(
    st.tuples(
        st.sampled_from((0.3, 1.0, 2.5, 5.0)),
        st.sampled_from((2.0, 20.0, 80.0)),
        st.sampled_from((0.0, 0.0, 0.55, 0.95)),
        st.sampled_from((0.0, 0.0, 0.5)),
        st.sampled_from(tuple(Importance)),
        st.booleans(),
        st.sets(st.integers(0, 3)),
        st.integers(-2, 2),
    ),
    min_size=2,
    max_size=8,
)
"""Segments of a simulation: seconds, calls a second, shares of calls rejected
and refused for overload, class, whether retried runs make calls, and at the
segment's end which daemons restart and how many join or, if negative,
leave."""


class RandomFaultTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**16), SEGMENTS)
    def test_no_window_exceeds_the_budget(self, seed, segments):
        fleet = BudgetFleet(4, random.Random(seed), budget_policy(window_repeats=8))
        fleet.run(11.0, 20.0)
        for seconds, rate, rejected, refused, importance, retried, *changes in segments:
            killed, joining = changes
            fleet.rejection_share, fleet.overload_share = rejected, refused
            fleet.run(seconds, rate, importance=importance)
            if retried:
                for _ in range(20):
                    fleet.call(importance, from_retry=True)
            for number in killed:
                fleet.daemons[number % len(fleet.daemons)].restart()
            fleet.resize(max(1, len(fleet.daemons) + joining))
        self.assertLessEqual(fleet.max_budget_use(), 1.0)
