"""Tests of reading clients' requests and reporting errors to them."""

import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_daemon._internal.doors.headers import filter_headers
from papayabay_platform.caller_dialect import PlatformCallerDialect

NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses after which clients retry even requests that must run only once."""
RAW = [
    (b"Host", b"hulo.example"),
    (b"X-Papayabay-Request-Id", b"9c41"),
    (b"X-Papayabay-Deadline-Ms", b"5000"),
    (b"X-Papayabay-Caller-Service", b"forged"),
    (b"X-Papayabay-Expected-Instance", b"i-forged"),
    (b"Accept", b"text/plain"),
    (b"Connection", b"keep-alive"),
]


class ReadingTest(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformCallerDialect("svc-a")

    def read(self, raw):
        fields = filter_headers(raw, self.dialect.names)
        return self.dialect.read("GET", "/leny/2f?x=1", fields)

    def test_request(self):
        incoming = self.read(RAW)
        self.assertEqual(incoming.host, "hulo.example")
        self.assertEqual(incoming.request_id, "9c41")
        self.assertEqual(incoming.deadline_ms, 5_000)
        self.assertEqual(incoming.service, "")

    def test_parent_id_is_taken_from_the_request_id(self):
        self.assertEqual(self.read(RAW).parent_id, "")
        child = [(name, value.replace(b"9c41", b"9c41.7.a")) for name, value in RAW]
        self.assertEqual(self.read(child).parent_id, "9c41.7")

    def test_forwarded_headers(self):
        self.assertEqual(
            self.read(RAW).headers,
            [
                ("Host", "hulo.example"),
                ("X-Papayabay-Request-Id", "9c41"),
                ("Accept", "text/plain"),
                ("X-Papayabay-Caller-Service", "svc-a"),
            ],
        )

    def test_missing_id_or_invalid_deadline_is_a_bad_request(self):
        for raw in (RAW[:1], [*RAW[:2], (b"X-Papayabay-Deadline-Ms", b"1.5")]):
            with self.subTest(raw), self.assertRaises(CallError) as caught:
                self.read(raw)
            self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)

    def test_duplicate_id_is_refused(self):
        with self.assertRaises(ValueError):
            self.read([*RAW, (b"x-papayabay-request-id", b"other")])


class AnswerTest(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformCallerDialect("svc-a")

    def test_not_run_statuses_only_for_effect_not_run(self):
        """Guards against a client that retries a request which has run."""
        for kind, row in ERROR_ANSWERS.items():
            for effect in Effect:
                with self.subTest(kind=kind, effect=effect):
                    answer = self.dialect.render_error(CallError(kind), (), effect)
                    if answer.status in NOT_RUN_STATUSES:
                        self.assertIs(effect, Effect.NOT_RUN)
            plain = self.dialect.render_error(CallError(kind))
            if row.effect is Effect.NOT_RUN and row.status >= 500:
                self.assertEqual(plain.status, 503)

    def test_effect_of_an_answer_overrides_that_of_its_kind(self):
        answer = Answer(503, kind=ErrorKind.OVERLOADED, effect=Effect.UNKNOWN)
        self.assertEqual(self.dialect.render_error(answer).status, 502)

    def test_refusals_have_retry_after(self):
        error = CallError(ErrorKind.OVERLOADED, retry_after_ms=350)
        self.assertIn(
            ("Retry-After", "0.350"), self.dialect.render_error(error).headers
        )
        leaving = self.dialect.render_error(CallError(ErrorKind.LEAVING))
        self.assertIn("Retry-After", dict(leaving.headers))

    def test_error_answers_have_no_upstream_signature(self):
        signed = [("X-Papayabay-Upstream-Signature", "3e1b")]
        answer = Answer(502, signed, kind=ErrorKind.TARGET_LOST)
        rendered = self.dialect.render_error(answer, answer.headers)
        self.assertNotIn("X-Papayabay-Upstream-Signature", dict(rendered.headers))
