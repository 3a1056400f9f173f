"""Which header fields are forwarded and which are stripped."""

import unittest

from papayabay_daemon._internal.doors import headers as rules


def forwarded(fields):
    raw = [(name.encode(), value.encode()) for name, value in fields]
    return rules.filter_headers(raw).forwarded


class FilterHeadersTests(unittest.TestCase):
    def test_order_case_and_repetition_are_preserved(self):
        fields = [("X-b", "1"), ("Set-Cookie", "a"), ("x-B", "2"), ("Set-Cookie", "b")]
        self.assertEqual(forwarded(fields), fields)

    def test_hop_by_hop_fields_are_stripped(self):
        names = ["TE", "Trailer", "Transfer-Encoding", "Upgrade", "Keep-Alive"]
        names += ["Proxy-Authorization", "Proxy-Connection", "Host", "Expect"]
        fields = [(name, "x") for name in names]
        self.assertEqual(forwarded([*fields, ("X-A", "1")]), [("X-A", "1")])

    def test_fields_named_by_connection_are_stripped(self):
        fields = [("X-A", "1"), ("X-Hop", "2"), ("connection", "close, x-hop")]
        self.assertEqual(forwarded(fields), [("X-A", "1")])

    def test_connection_cannot_drop_the_idempotency_key(self):
        """An idempotency key was lost, so that the request could run twice.

        A caller's proxy names Idempotency-Key in the Connection field.
        """
        fields = [("Idempotency-Key", "k"), ("Connection", "idempotency-key")]
        self.assertEqual(forwarded(fields), [("Idempotency-Key", "k")])

    def test_control_fields_are_stripped(self):
        names = ["Papayabay-Importance", "PAPAYABAY-CREDITS", "papayabay-rank"]
        self.assertEqual(forwarded([(name, "0") for name in names]), [])

    def test_a_line_break_within_a_field_is_refused(self):
        """An answer was sent with a field that the target did not set.

        A lenient parser accepts a bare line break in a value; when the value
        is written, the rest of it becomes a field of its own.
        """
        for mark in "\n\r\0":
            with self.subTest(mark), self.assertRaises(ValueError):
                forwarded([("X-A", f"1{mark}Set-Cookie: a=b")])

    def test_long_names_are_not_cached(self):
        """Guards against clients that fill the memory with long names."""
        rules.DEFAULT_NAMES.known.clear()
        forwarded([("X" * 65, "1")])
        self.assertFalse(rules.DEFAULT_NAMES.known)

    def test_cached_names_are_bounded(self):
        """Guards against clients that fill the memory with many names."""
        for number in range(rules.MAX_CACHED_NAMES + 10):
            forwarded([(f"X-{number}", "1")])
        self.assertLessEqual(len(rules.DEFAULT_NAMES.known), rules.MAX_CACHED_NAMES)
