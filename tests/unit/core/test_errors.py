"""The closed list of error kinds and its table."""

import json
import unittest

from papayabay_core.errors import (
    ERROR_ANSWERS,
    CallError,
    Effect,
    ErrorKind,
    Retry,
    problem_body,
)

NUMBERS = {
    "BAD_REQUEST": 1,
    "HEADERS_TOO_LARGE": 2,
    "BODY_TOO_LARGE": 3,
    "UNKNOWN_SERVICE": 4,
    "UNKNOWN_CALL": 5,
    "TOO_DEEP": 6,
    "NO_UPSTREAM": 10,
    "OVERLOADED": 11,
    "LEAVING": 12,
    "TARGET_SHED": 13,
    "TARGET_UNREACHABLE": 14,
    "RETRIES_SPENT": 15,
    "LIFETIME_TOO_SHORT": 16,
    "EXPIRED_UNSENT": 17,
    "LINK_UNAVAILABLE": 18,
    "REFUSED_BELOW": 19,
    "EXPIRED": 20,
    "TARGET_LOST": 21,
    "LINK_LOST": 22,
    "CALLER_LEFT": 23,
    "TARGET_REJECTED": 24,
    "QUARANTINED": 25,
    "ISOLATED": 26,
    "KEY_MISSING": 30,
    "KEY_CONFLICT": 31,
    "KEY_IN_PROGRESS": 32,
    "OUTCOME_UNKNOWN": 33,
    "STORE_UNAVAILABLE": 34,
    "INTERNAL": 40,
    "UNAUTHENTICATED": 50,
    "ACCOUNTS_STALE": 51,
    "RATE_LIMITED": 52,
    "LIMIT_UNKNOWN": 53,
}
"""Daemons of two releases talk to each other in these. Only add to them."""


class NumberTests(unittest.TestCase):
    def test_numbers_are_stable(self):
        """A kind keeps its number over releases.

        Symptom: during an upgrade, callers are told `not-run` of calls that
        ran.
        Sequence: a kind is renumbered; a daemon of the older release reads
        the number as another kind.
        Cause: the numbers are part of the protocol between daemons.
        """
        # `__members__` also has aliases: two kinds of one number are seen.
        found = {name: int(kind) for name, kind in ErrorKind.__members__.items()}
        self.assertEqual(found, NUMBERS)
        self.assertEqual(len(set(found.values())), len(found))


class TableTests(unittest.TestCase):
    def test_every_kind_has_a_row(self):
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))

    def test_advice_fits_the_effect(self):
        """Only what certainly wasn't run may be sent again without a key."""
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind.name):
                if answer.effect is Effect.NOT_RUN:
                    self.assertIn(answer.retry, (Retry.NEVER, Retry.LATER))
                else:
                    self.assertIn(answer.retry, (Retry.NEVER, Retry.SAME_KEY))

    def test_no_error_claims_that_the_request_ran(self):
        effects = {answer.effect for answer in ERROR_ANSWERS.values()}
        self.assertEqual(effects, {Effect.NOT_RUN, Effect.UNKNOWN})

    def test_kinds_after_handing_over_promise_nothing(self):
        """These end calls that a target, or a daemon on the way to it, had."""
        for name in (
            "EXPIRED",
            "TARGET_LOST",
            "LINK_LOST",
            "CALLER_LEFT",
            "KEY_IN_PROGRESS",
            "OUTCOME_UNKNOWN",
            "INTERNAL",
        ):
            with self.subTest(name):
                self.assertIs(ERROR_ANSWERS[ErrorKind[name]].effect, Effect.UNKNOWN)

    def test_what_advises_never_is_tried_nowhere_else(self):
        for kind, answer in ERROR_ANSWERS.items():
            if answer.retry is Retry.NEVER:
                with self.subTest(kind.name):
                    self.assertFalse(answer.retry_elsewhere)

    def test_statuses_are_errors_and_titles_differ(self):
        answers = ERROR_ANSWERS.values()
        self.assertTrue(all(400 <= answer.status <= 599 for answer in answers))
        self.assertEqual(len({answer.title for answer in answers}), len(answers))


class ProblemTests(unittest.TestCase):
    def test_body_says_what_the_row_says(self):
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind.name):
                problem = json.loads(problem_body(kind))
                name = kind.name.lower().replace("_", "-")
                self.assertEqual(
                    problem,
                    {
                        "type": f"urn:papayabay:error:{name}",
                        "title": answer.title,
                        "status": answer.status,
                        "effect": answer.effect.value,
                        "retry": answer.retry.value,
                    },
                )

    def test_what_is_known_is_added(self):
        problem = json.loads(problem_body(ErrorKind.OVERLOADED, "full", "r-1", 250))
        known = (problem["detail"], problem["request"], problem["retry_after_ms"])
        self.assertEqual(known, ("full", "r-1", 250))

    def test_exception_carries_its_row(self):
        error = CallError(ErrorKind.LEAVING, "draining")
        self.assertIs(error.answer, ERROR_ANSWERS[ErrorKind.LEAVING])
        self.assertEqual(str(error), "LEAVING: draining")


if __name__ == "__main__":
    unittest.main()
