"""Tests of the error kinds and their answers."""

import json
import unittest

from papayabay_core.errors import (
    ERROR_ANSWERS,
    CallError,
    Effect,
    ErrorKind,
    Retry,
    detail_member,
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
"""Numbers sent between daemons of different releases. Only add to them."""


class NumberTests(unittest.TestCase):
    def test_numbers_are_stable(self):
        """Guards against a release that renumbers an error kind.

        During an upgrade, a daemon of the older release would read the number
        as another kind and report `not-run` for calls that ran.
        """
        # `__members__` lists aliases too, so duplicate numbers are found.
        found = {name: int(kind) for name, kind in ErrorKind.__members__.items()}
        self.assertEqual(found, NUMBERS)
        self.assertEqual(len(set(found.values())), len(found))


class TableTests(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))

    def test_retry_advice_matches_the_effect(self):
        """Only calls that were not run may be retried without a key."""
        for kind, answer in ERROR_ANSWERS.items():
            with self.subTest(kind.name):
                if answer.effect is Effect.NOT_RUN:
                    self.assertIn(answer.retry, (Retry.NEVER, Retry.LATER))
                else:
                    self.assertIn(answer.retry, (Retry.NEVER, Retry.SAME_KEY))

    def test_no_error_claims_that_the_request_ran(self):
        effects = {answer.effect for answer in ERROR_ANSWERS.values()}
        self.assertEqual(effects, {Effect.NOT_RUN, Effect.UNKNOWN})

    def test_effect_is_unknown_once_a_call_was_forwarded(self):
        """A target or an intermediate daemon may have received the call."""
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

    def test_kinds_never_to_be_retried_are_not_retried_elsewhere(self):
        for kind, answer in ERROR_ANSWERS.items():
            if answer.retry is Retry.NEVER:
                with self.subTest(kind.name):
                    self.assertFalse(answer.retry_elsewhere)

    def test_statuses_are_errors_and_titles_are_unique(self):
        answers = ERROR_ANSWERS.values()
        self.assertTrue(all(400 <= answer.status <= 599 for answer in answers))
        self.assertEqual(len({answer.title for answer in answers}), len(answers))


class ProblemTests(unittest.TestCase):
    def test_body_has_the_values_of_the_answer(self):
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

    def test_body_is_valid_json_whatever_the_detail_holds(self):
        """Guards against a detail that breaks out of the preformatted body.

        Details may quote a caller's text.
        """
        text = 'a "quoted" \\ part\n, "effect": "run", \u00e4\udcff'
        problem = json.loads(problem_body(ErrorKind.EXPIRED, text, text, 7))
        self.assertEqual((problem["detail"], problem["request"]), (text, text))
        self.assertEqual(problem["effect"], "unknown")

    def test_detail_request_and_retry_after_are_added(self):
        problem = json.loads(problem_body(ErrorKind.OVERLOADED, "full", "r-1", 250))
        known = (problem["detail"], problem["request"], problem["retry_after_ms"])
        self.assertEqual(known, ("full", "r-1", 250))

    def test_long_details_are_not_cached(self):
        """Guards against memory that clients fill with long service names.

        The name of an unknown service, as long as `header_bytes` allows, is
        the detail of its refusal.
        """
        before = detail_member.cache_info().currsize
        for number in range(300):
            text = f"{number:0>1000}"
            problem = json.loads(problem_body(ErrorKind.UNKNOWN_SERVICE, text))
            self.assertEqual(problem["detail"], text)
        self.assertEqual(detail_member.cache_info().currsize, before)

    def test_exception_gives_the_answer_of_its_kind(self):
        error = CallError(ErrorKind.LEAVING, "draining")
        self.assertIs(error.answer, ERROR_ANSWERS[ErrorKind.LEAVING])
        self.assertEqual(str(error), "LEAVING: draining")


if __name__ == "__main__":
    unittest.main()
