"""Tests of the retry count of a request with and without a key."""

import unittest

from papayabay_bench.load.results import Attempt, Request
from papayabay_bench.scenarios.retries import most_retries
from papayabay_bench.targets.records import Execution


def request_of(key, attempts):
    """Return a request with a number of attempts of its caller."""
    sent = [Attempt(sent=0.0) for _ in range(attempts)]
    return Request("r", "a.read", "normal", key, 0.0, attempts=sent)


def execution(execution_id, nonce):
    """Return the execution of a call."""
    return Execution("t-0", "t", "r", nonce, "/", id=execution_id)


TWO_ATTEMPTS = [
    execution("x", "r"),
    execution("x1", "x.0"),
    execution("x2", "x.0"),
    execution("x3", "x2.0"),
    execution("x4", "x2.0"),
    execution("y", "r"),
    execution("y1", "y.0"),
    execution("y2", "y.0"),
]
"""The first attempt has one retry at each of two hops, the second has one."""


class RetriesTest(unittest.TestCase):
    def test_attempts_without_a_key_are_counted_separately(self):
        """Retries of different attempts without a key are not added up.

        A request with one retry credit was sent four times by its caller.
        Each attempt used its credit, and the measure reported four retries.
        """
        self.assertEqual(most_retries([request_of("", 2)], TWO_ATTEMPTS), 2)

    def test_attempts_with_a_key_are_counted_together(self):
        self.assertEqual(most_retries([request_of("k", 2)], TWO_ATTEMPTS), 3)

    def test_retries_of_the_first_call_are_counted(self):
        self.assertEqual(most_retries([request_of("", 1)], TWO_ATTEMPTS), 3)

    def test_other_requests_are_ignored(self):
        self.assertEqual(most_retries([], TWO_ATTEMPTS), 0)
