"""Repeats of a service within one budget, kept by the callees' daemons."""

import unittest
from unittest import mock

import logbook

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_daemon._internal.retries import ArrivalBudget, Attempts
from papayabay_daemon._internal.retries.window import RepeatWindow
from tests.unit.daemon.budget_support import SERVICE, WINDOW_S, BudgetCase, make_call


class WindowTests(BudgetCase):
    def test_parts_of_all_daemons_add_up_to_no_more_than_the_budget(self):
        daemons = [self.budget() for _ in range(self.sharers)]
        self.at += WINDOW_S
        repeats = 0
        for second in range(int(2 * WINDOW_S)):
            for number, daemon in enumerate(daemons):
                self.firsts(daemon, number)
                spent = self.allowed(daemon, 40)
                repeats += spent if second >= WINDOW_S else 0
            self.at += 1.0
        firsts = sum(WINDOW_S * number for number in range(self.sharers))
        self.assertLessEqual(repeats, 0.2 * firsts + 48)
        self.assertGreater(repeats, 0.7 * (0.2 * firsts + 48))

    def test_half_a_window_is_let_through_at_once(self):
        """Orders failed in a trouble of a second, while a budget lay idle.

        What each first attempt earns may be spent within a window of it, but
        only half of it at once: the rest is what a successor may grant.
        """
        self.sharers = 4
        budget = self.warm()
        self.steady(budget, 1_000)
        at_once = self.allowed(budget, 400)
        self.assertAlmostEqual(at_once, 0.9 * (0.1 * 1_000 + 12), delta=5)

    def test_nothing_is_saved_for_a_later_window(self):
        """A service got more repeats at once than its callers could cause.

        Calm minutes had filled a bucket; when an upstream failed, all of it
        was spent within a second.
        """
        budget = self.warm()
        for _ in range(1_000):
            self.firsts(budget, 1)
            self.at += 0.1
        spent = self.allowed(budget, 500)
        self.assertLessEqual(spent, 0.2 * 105 + 3)
        self.at += 5.0
        self.assertFalse(self.allow(budget))
        self.at += 6.0
        self.assertTrue(self.allow(budget))

    def test_the_least_class_leaves_a_part_to_the_others(self):
        """Queries failed although the budget had been there for them.

        All upstreams of a service failed half of their calls; look-ups, six
        times as many, had spent the budget on calls of which one in ten
        requests could still complete.
        """
        budget = self.warm()
        self.firsts(budget, 1_000)
        spent = self.allowed(budget, 400, Importance.SHEDDABLE)
        left = self.allowed(budget, 400, Importance.CRITICAL)
        self.assertAlmostEqual(4 * spent, left, delta=5)

    def test_the_least_class_may_use_what_nobody_else_wants(self):
        """Look-ups failed for lost answers while the budget lay idle.

        A quarter of a service's answers got lost. Its critical calls can't be
        repeated, as their effect is unknown; look-ups could, and were held to
        a fifth of a budget that nobody else drew on.
        """
        budget = self.warm()
        self.steady(budget, 1_000)
        repeats = 0
        for _ in range(int(2 * WINDOW_S * 100)):
            self.firsts(budget, 1)
            repeats += self.allow(budget, Importance.SHEDDABLE)
            self.at += 0.01
        self.assertGreater(repeats, 0.6 * 2 * 0.9 * (0.2 * 1_000 + 3))

    def test_the_least_class_stands_back_while_critical_calls_repeat(self):
        """Orders failed for repeats that look-ups had used.

        All upstreams turn half of their calls away, so that critical calls
        alone want more than the budget. Cause: each class had a part of its
        own, whether the others wanted it or not.
        """
        budget = self.warm()
        self.firsts(budget, 1_000)
        spent = 0
        for _ in range(40):
            self.at += 0.1
            self.allowed(budget, 10)
            spent += self.allowed(budget, 10, Importance.SHEDDABLE)
        self.assertLessEqual(spent, 0.1 * 0.2 * 1_000)

    def test_calls_that_are_kept_repeat_as_their_own_class(self):
        """A third of the critical calls' repeats went to look-ups.

        Sequence: a part of every class stands with the critical calls, so
        that none is refused whole. Cause: the class by policy didn't travel.
        """
        budget = self.warm()
        self.firsts(budget, 1_000)
        kept = make_call(repeated=True)
        kept.declared_class = Importance.SHEDDABLE
        with self.assertRaises(CallError):
            for _ in range(400):
                budget.record_arrival(kept, budget.check(kept))
        spent = budget.counters["arrived"]
        self.assertLessEqual(spent, 0.2 * (0.2 * 1_000 + 3))

    def test_calls_of_a_repeated_run_count_as_repeats(self):
        """A service got 2,102 repeats in ten seconds where 2,071 were allowed.

        Sequence: all of its upstreams turn calls away, and the budget is
        spent to its end; services above it repeat a few runs, each of which
        calls it again four times. Cause: those calls counted as first ones,
        which earned even more.
        """
        budget = self.warm()
        self.firsts(budget, 1_000)
        below = self.allowed(budget, 50)
        spent = self.allowed(budget, 400)
        self.assertEqual(below, 50)
        self.assertLessEqual(below + spent, 0.9 * (0.1 * 1_000 + 48))

    def test_first_attempts_before_the_window_earn_nothing(self):
        """More than the budget was spent after a burst of calls had ended.

        Sequence: many calls, then few; ten seconds later a twentieth more
        than a window was looked back on. Of windows that begin with the
        repeats, the one before them holds no call of the burst.
        """
        budget = self.warm()
        self.firsts(budget, 1_000)
        self.at += 10.2
        self.assertLessEqual(self.allowed(budget, 400), 48)

    def test_without_requests_only_the_part_is_left(self):
        self.sharers = 4
        self.assertEqual(self.allowed(self.warm(), 99), 10)

    def test_a_restart_does_not_grant_the_part_twice(self):
        """A service got its floor of repeats once more after each restart.

        Sequence: a daemon lets its part through and is killed; the one that
        follows knows neither that nor how many daemons there are. Cause: an
        account that begins empty looks like one that has spent nothing.
        """
        self.sharers = 1
        budget = self.budget()
        self.assertEqual(self.allowed(budget, 99), 0)
        self.firsts(budget, 100)
        self.assertEqual(self.allowed(budget, 99), 9)
        self.at += WINDOW_S + 1
        self.assertEqual(self.allowed(budget, 99), 43)

    def test_a_repeat_that_gets_no_slot_is_given_back(self):
        self.sharers = 4
        budget = self.warm()
        repeat = make_call(repeated=True)
        for _ in range(99):
            budget.release(repeat, budget.check(repeat))
        self.assertEqual(self.allowed(budget, 99), 10)
        self.assertEqual(budget.counters["arrived"], 10)

    def test_a_repeat_that_waits_in_line_counts_until_it_has_arrived(self):
        """More repeats arrived at once than a window's part.

        Sequence: repeats wait for slots, while earlier ones leave the window;
        then all arrive together. Cause: they counted from when they were let
        through, and not when the target got them.
        """
        self.sharers = 4
        budget = self.warm()
        repeat = make_call(repeated=True)
        waiting = [budget.check(repeat) for _ in range(10)]
        self.at += WINDOW_S + 1
        self.assertFalse(self.allow(budget))
        for account in waiting:
            budget.record_arrival(repeat, account)
        self.at += WINDOW_S - 1
        self.assertFalse(self.allow(budget))

    def test_another_service_or_window_begins_without_savings(self):
        """A target that was changed forth and back spent its budget twice."""
        self.sharers = 4
        budget = self.warm()
        self.firsts(budget, 1_000)
        first = budget.window_of(SERVICE, WINDOW_S)
        self.assertIsNot(budget.window_of(SERVICE, 2 * WINDOW_S), first)
        self.assertFalse(self.allow(budget))

    def test_metrics_tell_what_the_account_rests_on(self):
        """Nobody could tell which of three causes had exceeded a budget.

        Cause: only totals of repeats were counted, and not how old the account
        was, what had earned them, or how many daemons shared the rest.
        """
        self.sharers = 4
        budget = self.warm()
        self.firsts(budget, 100)
        self.allowed(budget, 2, Importance.SHEDDABLE)
        self.allowed(budget, 1)
        levels = budget.levels()
        self.assertAlmostEqual(levels.pop("allowed"), 0.9 * (0.1 * 100 + 12))
        expected = {"repeats": 3, "firsts": 100, "sharers": 4, "age_s": WINDOW_S}
        self.assertEqual(levels, expected)
        totals = budget.totals()
        by_class = {"critical": 1, "normal": 0, "sheddable": 2}
        self.assertEqual(totals["arrived_by_class"], by_class)
        self.assertEqual(totals["first_attempts"], 100)
        self.assertEqual(totals["first_missed"], 0)

    def test_a_spent_budget_is_logged_once_and_so_is_its_return(self):
        self.sharers = 4
        budget = self.warm()
        with logbook.TestHandler() as handler:
            self.allowed(budget, 99)
            self.at += WINDOW_S + 1.0
            self.assertTrue(self.allow(budget))
        lines = [record.message for record in handler.records]
        self.assertEqual(len(lines), 2)
        self.assertIn("10 let through of 10.8", lines[0])
        self.assertIn("there again, after 89 refused", lines[1])

    def test_a_refusal_is_reckoned_once(self):
        """An overloaded daemon took twice the time it needs to refuse repeats.

        Sequence: its budget is spent, and a thousand repeats a second are
        refused. Cause: each was reckoned again for a line that only the first
        of them writes.
        """
        budget = self.warm()
        with mock.patch.object(RepeatWindow, "windows", autospec=True) as windows:
            windows.return_value = [(0, 0.0, 0)]
            self.assertEqual(self.allowed(budget, 99), 0)
        self.assertEqual(windows.call_count, 99 + 1)

    def test_without_a_window_nothing_is_counted(self):
        policy = Policy()
        budget = ArrivalBudget(lambda: policy, lambda service: 1, lambda: self.at)
        self.assertEqual(self.allowed(budget, 99), 99)


class AttemptsTests(unittest.TestCase):
    """Which attempts a target has seen."""

    def arrived_after(self, kind):
        attempts = Attempts()
        row = ERROR_ANSWERS[kind]
        attempts.ended("a", Answer(row.status, kind=kind, effect=row.effect))
        return attempts.reached_target

    def test_an_attempt_that_no_target_saw_is_no_arrival(self):
        """Repeats were refused for a budget that nobody had drawn on.

        Sequence: daemons refuse calls whose targets are leaving or busy; each
        next attempt counted against the service although no target had seen
        the first. Cause: every attempt but a call's first was a repeat.
        """
        for kind in (ErrorKind.LEAVING, ErrorKind.OVERLOADED):
            self.assertFalse(self.arrived_after(kind), kind)
        for kind in (ErrorKind.TARGET_REJECTED, ErrorKind.LINK_LOST):
            self.assertTrue(self.arrived_after(kind), kind)
