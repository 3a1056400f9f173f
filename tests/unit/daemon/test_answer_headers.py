"""Tests of the forwarded header fields of answers."""

import random
import unittest

from papayabay_core.http.heads import Head
from papayabay_daemon._internal.doors.headers import (
    DEFAULT_NAMES,
    filter_headers,
    without_field,
)
from papayabay_daemon._internal.target.answer_headers import AnswerHeaders
from papayabay_platform.target_dialect import PlatformTargetDialect

NAMES = (
    b"Content-Length",
    b"Content-Type",
    b"Connection",
    b"Keep-Alive",
    b"X-Hop",
    b"x-\xc3\xa9",
    b"Host",
    b"Idempotency-Key",
    b"Papayabay-Effect",
    b"X-Papayabay-Upstream-Load",
)
VALUES = (
    b"",
    b"12",
    b"keep-alive",
    b"Close",
    b"x-hop, content-length",
    b"\xc3\xa9\xff",
    b"\xe2\x82",
    b"a\0b",
    b"a\r\n b",
)


def outcome(filter_fields, *args):
    """Return the fields, or ValueError where they are refused."""
    try:
        return filter_fields(*args)
    except ValueError:
        return ValueError


def expected_fields(fields, names):
    """Return what the filter of the doors forwards."""
    return filter_headers(fields, names).forwarded


class AnswerHeadersTest(unittest.TestCase):
    def test_same_fields_as_without_the_cache(self):
        """Guards against a cached head that lets other fields through."""
        rng = random.Random(5)
        seen = set()
        for names in (DEFAULT_NAMES, PlatformTargetDialect.names):
            headers = AnswerHeaders(names)
            for _ in range(4_000):
                fields = [
                    (rng.choice(NAMES), rng.choice(VALUES))
                    for _ in range(rng.randrange(5))
                ]
                expected = outcome(expected_fields, fields, names)
                seen.add(expected is ValueError)
                head = Head(fields)
                got = outcome(headers.forwarded, head, True)
                self.assertEqual(got, expected, fields)
                if expected is not ValueError:
                    expected = without_field(expected, "content-length")
                got = outcome(headers.forwarded, head, False)
                self.assertEqual(got, expected, fields)
        self.assertEqual(seen, {True, False})

    def test_first_value_of_a_field_counts(self):
        """Guards against a repeated field whose last value is read."""
        head = Head([(b"A", b"1"), (b"b", b"2"), (b"a", b"3")])
        self.assertEqual(head.first, {b"a": b"1", b"b": b"2"})
        self.assertEqual(Head([]).first, {})

    def test_cache_is_bounded(self):
        """Guards against a target that fills the memory with names."""
        headers = AnswerHeaders(DEFAULT_NAMES)
        for number in range(1_000):
            headers.forwarded(Head([(b"x-%d" % number, b"1")]), True)
        self.assertLessEqual(headers.plan.cache_info().currsize, 64)
