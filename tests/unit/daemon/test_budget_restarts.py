"""A service's budget of repeats holds however daemons start anew."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from papayabay_core.importance import Importance
from tests.unit.daemon.budget_fleet import BudgetFleet
from tests.unit.daemon.budget_support import budget_policy

RATE = 200.0
"""Calls a second that four daemons beside one service's targets get."""
TURNED_AWAY = 0.55


class RestartTests(unittest.TestCase):
    """5,496 repeats reached a service in ten seconds; 4,771 were allowed.

    Sequence: calm seconds; then callers send 1.9 times as much, and all of
    the service's targets turn away 55 in 100 of its calls. Two seconds later
    three of the four daemons beside them are killed; within a second they
    have started again, while the targets turn calls away for six seconds
    more.

    Cause: each daemon kept in memory what it had let through. A window's
    worth of repeats, earned in the calm seconds, was spent before the kill
    and forgotten with it, and the processes that followed granted the full
    share of all that came to them.

    Proof: the same without a kill stays within the budget.
    """

    def play(self, killed, importance=Importance.CRITICAL):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.play(12.0, RATE)
        fleet.play(1.0, 1.9 * RATE, importance=importance)
        fleet.turned_away = TURNED_AWAY
        fleet.play(2.0, 1.9 * RATE, importance=importance)
        for daemon in fleet.daemons[:killed]:
            daemon.restart()
        fleet.play(6.0, RATE, importance=importance)
        fleet.turned_away = 0.0
        fleet.play(6.0, RATE, importance=importance)
        return fleet

    def test_no_restart(self):
        self.assertLessEqual(self.play(0).worst_use(), 1.0)

    def test_three_of_four_restart(self):
        self.assertLessEqual(self.play(3).worst_use(), 1.0)

    def test_all_restart(self):
        self.assertLessEqual(self.play(4).worst_use(), 1.0)

    def test_all_restart_with_calls_of_the_least_class(self):
        fleet = self.play(4, Importance.SHEDDABLE)
        self.assertLessEqual(fleet.worst_use(), 1.0)

    def test_restarts_in_series(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.play(12.0, RATE)
        fleet.turned_away = TURNED_AWAY
        for turn in range(12):
            fleet.play(0.7, RATE)
            fleet.daemons[turn % 4].restart()
        self.assertLessEqual(fleet.worst_use(), 1.0)


class OverloadTests(unittest.TestCase):
    """Overloaded daemons granted more repeats than their service may get.

    Sequence: calls that a daemon refuses for load are tried at another one.
    As no target has seen them, they are first attempts there too, and each
    of the daemons that refused them had granted a share of one repeat more.

    Cause: first attempts were counted as they came to a daemon, not as they
    reached its target, so that one call was counted up to four times. It is
    the same where they find their target's process gone, seconds before the
    others turn calls away.
    """

    def test_a_call_that_is_refused_on_the_way_earns_once(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.overloaded = 0.6
        fleet.turned_away = TURNED_AWAY
        fleet.play(25.0, RATE)
        self.assertLessEqual(fleet.worst_use(), 1.0)

    def test_a_call_that_finds_no_way_to_a_target_earns_once(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.unreachable = 0.75
        fleet.play(20.0, RATE)
        fleet.unreachable = 0.0
        fleet.turned_away = TURNED_AWAY
        fleet.play(12.0, RATE)
        self.assertLessEqual(fleet.worst_use(), 1.0)


class LeavingTests(unittest.TestCase):
    """A service that lost daemons got the fixed part of its budget twice.

    Sequence: few calls, nearly all turned away, so that each of four daemons
    spends its quarter of the fixed part; three of them leave, and the fourth
    takes the whole for its own. Cause: the part was an equal one of those who
    are there now, not of those who were within the window.
    """

    def test_the_part_of_those_who_have_left_is_not_spent_again(self):
        fleet = BudgetFleet(4, random.Random(26))
        fleet.play(12.0, 5.0)
        fleet.turned_away = 0.95
        fleet.play(4.0, 5.0, attempts=8)
        del fleet.daemons[:3]
        fleet.play(6.0, 5.0, attempts=8)
        self.assertLessEqual(fleet.worst_use(), 1.0)


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
"""Parts of a day: seconds, calls a second, shares turned away and refused for
load, class, whether repeated runs make calls, and who restarts and how many
join or, below zero, leave at its end."""


class AnyDayTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**16), SEGMENTS)
    def test_no_window_is_ever_over_the_budget(self, seed, segments):
        fleet = BudgetFleet(4, random.Random(seed), budget_policy(window_repeats=8))
        fleet.play(11.0, 20.0)
        for seconds, rate, away, refused, importance, again, *changes in segments:
            killed, joining = changes
            fleet.turned_away, fleet.overloaded = away, refused
            fleet.play(seconds, rate, importance=importance)
            if again:
                for _ in range(20):
                    fleet.call(importance, of_repeat=True)
            for number in killed:
                fleet.daemons[number % len(fleet.daemons)].restart()
            fleet.resize(max(1, len(fleet.daemons) + joining))
        self.assertLessEqual(fleet.worst_use(), 1.0)
