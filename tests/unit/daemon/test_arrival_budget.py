"""A service's retry budget, enforced by the daemons beside its targets."""

import unittest
from unittest import mock

import logbook

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_daemon._internal.retries import ArrivalBudget, Attempts
from papayabay_daemon._internal.retries.window import BudgetWindow
from tests.unit.daemon.budget_support import SERVICE, WINDOW_S, BudgetCase, make_call


class WindowTests(BudgetCase):
    def test_shares_of_all_daemons_do_not_exceed_the_budget(self):
        daemons = [self.budget() for _ in range(self.sharers)]
        self.at += WINDOW_S
        retries = 0
        for second in range(int(2 * WINDOW_S)):
            for number, daemon in enumerate(daemons):
                self.send_first_attempts(daemon, number)
                admitted = self.admit_many(daemon, 40)
                retries += admitted if second >= WINDOW_S else 0
            self.at += 1.0
        firsts = sum(WINDOW_S * number for number in range(self.sharers))
        self.assertLessEqual(retries, 0.2 * firsts + 48)
        self.assertGreater(retries, 0.7 * (0.2 * firsts + 48))

    def test_half_a_window_of_retries_is_admitted_at_once(self):
        """Orders failed in a fault of one second although budget was left.

        The retries that a first attempt earns may be used within a window of
        it, and half of them at once. The rest is what a restarted daemon may
        admit.
        """
        self.sharers = 4
        budget = self.warm_budget()
        self.send_steadily(budget, 1_000)
        at_once = self.admit_many(budget, 400)
        self.assertAlmostEqual(at_once, 0.9 * (0.1 * 1_000 + 12), delta=5)

    def test_unused_budget_is_not_kept_for_a_later_window(self):
        """A service received far more retries at once than were earned.

        A token bucket had filled during minutes without failures. When an
        upstream failed, all of it was spent within a second.
        """
        budget = self.warm_budget()
        for _ in range(1_000):
            self.send_first_attempts(budget, 1)
            self.at += 0.1
        admitted = self.admit_many(budget, 500)
        self.assertLessEqual(admitted, 0.2 * 105 + 3)
        self.at += 5.0
        self.assertFalse(self.admit(budget))
        self.at += 6.0
        self.assertTrue(self.admit(budget))

    def test_sheddable_calls_leave_budget_to_other_classes(self):
        """Queries failed because sheddable look-ups had spent the budget.

        All upstreams of a service failed half of their calls. There were six
        times as many look-ups as queries, and of the requests that made them
        only one in ten could still complete.
        """
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        admitted = self.admit_many(budget, 400, Importance.SHEDDABLE)
        left = self.admit_many(budget, 400, Importance.CRITICAL)
        self.assertAlmostEqual(4 * admitted, left, delta=5)

    def test_sheddable_calls_may_use_what_other_classes_leave(self):
        """Look-ups failed for lost answers although budget was left.

        A quarter of a service's answers were lost. Its critical calls can't be
        retried, as their effect is unknown. Look-ups can, but were limited to
        a fifth of the budget that no other class used.
        """
        budget = self.warm_budget()
        self.send_steadily(budget, 1_000)
        retries = 0
        for _ in range(int(2 * WINDOW_S * 100)):
            self.send_first_attempts(budget, 1)
            retries += self.admit(budget, Importance.SHEDDABLE)
            self.at += 0.01
        self.assertGreater(retries, 0.6 * 2 * 0.9 * (0.2 * 1_000 + 3))

    def test_sheddable_calls_yield_to_retries_of_critical_calls(self):
        """Orders failed because look-ups had used the retry budget.

        All upstreams reject half of their calls, so that critical calls alone
        need more than the budget. Each class had a fixed part, whether other
        classes needed it or not.
        """
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        admitted = 0
        for _ in range(40):
            self.at += 0.1
            self.admit_many(budget, 10)
            admitted += self.admit_many(budget, 10, Importance.SHEDDABLE)
        self.assertLessEqual(admitted, 0.1 * 0.2 * 1_000)

    def test_calls_admitted_as_critical_are_retried_as_their_own_class(self):
        """A third of the critical calls' retries were used by look-ups.

        A part of every class is admitted as critical, so that no class is
        refused completely. The class by policy was not sent along with calls.
        """
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        promoted = make_call(repeated=True)
        promoted.declared = Importance.SHEDDABLE
        with self.assertRaises(CallError):
            for _ in range(400):
                budget.record_arrival(promoted, budget.check(promoted))
        admitted = budget.counters["arrived"]
        self.assertLessEqual(admitted, 0.2 * (0.2 * 1_000 + 3))

    def test_calls_of_a_retried_run_count_as_retries(self):
        """A service got 2,102 retries in ten seconds where 2,071 were allowed.

        All of its upstreams reject calls, and the budget is exhausted.
        Services above it retry a few runs, each of which calls it again four
        times. These calls counted as first attempts, and even earned further
        retries.
        """
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        below = self.admit_many(budget, 50)
        admitted = self.admit_many(budget, 400)
        self.assertEqual(below, 50)
        self.assertLessEqual(below + admitted, 0.9 * (0.1 * 1_000 + 48))

    def test_first_attempts_before_the_previous_window_earn_nothing(self):
        """More than the budget was spent after a burst of calls had ended.

        Many calls are followed by few. Ten seconds later, first attempts of a
        twentieth more than a window were counted. The window before the one
        that begins with the retries contains no call of the burst.
        """
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        self.at += 10.2
        self.assertLessEqual(self.admit_many(budget, 400), 48)

    def test_without_requests_only_the_fixed_part_is_admitted(self):
        self.sharers = 4
        self.assertEqual(self.admit_many(self.warm_budget(), 99), 10)

    def test_a_restart_does_not_admit_the_fixed_part_twice(self):
        """A service got the fixed part of its budget again after each restart.

        A daemon admits its share and is killed. The restarted daemon knows
        neither that nor how many daemons there are, and its empty counters
        looked as if nothing had been spent.
        """
        self.sharers = 1
        budget = self.budget()
        self.assertEqual(self.admit_many(budget, 99), 0)
        self.send_first_attempts(budget, 100)
        self.assertEqual(self.admit_many(budget, 99), 9)
        self.at += WINDOW_S + 1
        self.assertEqual(self.admit_many(budget, 99), 43)

    def test_a_retry_that_gets_no_slot_is_released(self):
        self.sharers = 4
        budget = self.warm_budget()
        retry = make_call(repeated=True)
        for _ in range(99):
            budget.release(retry, budget.check(retry))
        self.assertEqual(self.admit_many(budget, 99), 10)
        self.assertEqual(budget.counters["arrived"], 10)

    def test_a_queued_retry_counts_until_it_is_forwarded(self):
        """More retries reached a target at once than a window allows.

        Retries wait for slots, while earlier ones leave the window; then all
        are forwarded together. They were counted when they were admitted, and
        not when the target received them.
        """
        self.sharers = 4
        budget = self.warm_budget()
        retry = make_call(repeated=True)
        windows = [budget.check(retry) for _ in range(10)]
        self.at += WINDOW_S + 1
        self.assertFalse(self.admit(budget))
        for window in windows:
            budget.record_arrival(retry, window)
        self.at += WINDOW_S - 1
        self.assertFalse(self.admit(budget))

    def test_another_service_or_window_starts_with_empty_counters(self):
        """A target that changed its service and back got two budgets."""
        self.sharers = 4
        budget = self.warm_budget()
        self.send_first_attempts(budget, 1_000)
        first = budget.window_for(SERVICE, WINDOW_S)
        self.assertIsNot(budget.window_for(SERVICE, 2 * WINDOW_S), first)
        self.assertFalse(self.admit(budget))

    def test_metrics_report_what_the_budget_is_computed_from(self):
        """The cause of an exceeded budget could not be found.

        Metrics had only the total of retries, and neither the age of the
        counters, nor the first attempts, nor the number of daemons that share
        the fixed part.
        """
        self.sharers = 4
        budget = self.warm_budget()
        self.send_first_attempts(budget, 100)
        self.admit_many(budget, 2, Importance.SHEDDABLE)
        self.admit_many(budget, 1)
        levels = budget.levels()
        self.assertAlmostEqual(levels.pop("allowed"), 0.9 * (0.1 * 100 + 12))
        expected = {"repeats": 3, "firsts": 100, "sharers": 4, "age_s": WINDOW_S}
        self.assertEqual(levels, expected)
        totals = budget.totals()
        by_class = {"critical": 1, "normal": 0, "sheddable": 2}
        self.assertEqual(totals["arrived_by_class"], by_class)
        self.assertEqual(totals["first_attempts"], 100)
        self.assertEqual(totals["first_missed"], 0)

    def test_exhaustion_and_recovery_are_logged_once_each(self):
        self.sharers = 4
        budget = self.warm_budget()
        with logbook.TestHandler() as handler:
            self.admit_many(budget, 99)
            self.at += WINDOW_S + 1.0
            self.assertTrue(self.admit(budget))
        lines = [record.message for record in handler.records]
        self.assertEqual(len(lines), 2)
        self.assertIn("10 retries of 10.8 allowed", lines[0])
        self.assertIn("replenished after 89 refused retries", lines[1])

    def test_a_refusal_computes_the_windows_once(self):
        """An overloaded daemon took twice as long as needed to refuse retries.

        Its budget is exhausted, and a thousand retries a second are refused.
        The windows were computed a second time for each of them, for a log
        line that only the first one writes.
        """
        budget = self.warm_budget()
        with mock.patch.object(BudgetWindow, "windows", autospec=True) as windows:
            windows.return_value = [(0, 0.0, 0)]
            self.assertEqual(self.admit_many(budget, 99), 0)
        self.assertEqual(windows.call_count, 99 + 1)

    def test_without_a_budget_all_retries_are_admitted(self):
        policy = Policy()
        budget = ArrivalBudget(lambda: policy, lambda service: 1, lambda: self.at)
        self.assertEqual(self.admit_many(budget, 99), 99)


class AttemptsTests(unittest.TestCase):
    """Which attempts have reached a target."""

    def reached_target_after(self, kind):
        attempts = Attempts()
        row = ERROR_ANSWERS[kind]
        attempts.ended("a", Answer(row.status, kind=kind, effect=row.effect))
        return attempts.reached_target

    def test_an_attempt_refused_by_a_daemon_has_not_reached_a_target(self):
        """Retries were refused although the budget was not used.

        Daemons refuse calls because their targets are leaving or overloaded.
        The next attempt counted as a retry although no target had received the
        first one: each attempt but a call's first did.
        """
        for kind in (ErrorKind.LEAVING, ErrorKind.OVERLOADED):
            self.assertFalse(self.reached_target_after(kind), kind)
        for kind in (ErrorKind.TARGET_REJECTED, ErrorKind.LINK_LOST):
            self.assertTrue(self.reached_target_after(kind), kind)
