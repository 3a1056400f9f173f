import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_daemon._internal.doors.headers import filter_headers
from papayabay_platform.caller_dialect import PlatformCallerDialect

PROMISES = {408, 421, 429, 503}
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

    def test_an_id_may_name_its_parent(self):
        self.assertEqual(self.read(RAW).parent_id, "")
        child = [(name, value.replace(b"9c41", b"9c41.7.a")) for name, value in RAW]
        self.assertEqual(self.read(child).parent_id, "9c41.7")

    def test_what_travels_on(self):
        self.assertEqual(
            self.read(RAW).headers,
            [
                ("Host", "hulo.example"),
                ("X-Papayabay-Request-Id", "9c41"),
                ("Accept", "text/plain"),
                ("X-Papayabay-Caller-Service", "svc-a"),
            ],
        )

    def test_no_id_or_a_wrong_deadline_is_a_bad_request(self):
        for left_out in (RAW[:1], [*RAW[:2], (b"X-Papayabay-Deadline-Ms", b"1.5")]):
            with self.subTest(left_out), self.assertRaises(CallError) as caught:
                self.read(left_out)
            self.assertEqual(caught.exception.kind, ErrorKind.BAD_REQUEST)

    def test_a_repeated_id_is_refused(self):
        with self.assertRaises(ValueError):
            self.read([*RAW, (b"x-papayabay-request-id", b"other")])


class AnswerTest(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformCallerDialect("svc-a")

    def test_only_what_has_not_run_gets_a_promise(self):
        """Clients repeat what must run once after 408, 421, 429 and 503."""
        for kind, row in ERROR_ANSWERS.items():
            for effect in Effect:
                with self.subTest(kind=kind, effect=effect):
                    answer = self.dialect.render_error(CallError(kind), (), effect)
                    if answer.status in PROMISES:
                        self.assertIs(effect, Effect.NOT_RUN)
            plain = self.dialect.render_error(CallError(kind))
            if row.effect is Effect.NOT_RUN and row.status >= 500:
                self.assertEqual(plain.status, 503)

    def test_doubt_noted_on_an_answer_goes_before_the_table(self):
        answer = Answer(503, kind=ErrorKind.OVERLOADED, effect=Effect.UNKNOWN)
        self.assertEqual(self.dialect.render_error(answer).status, 502)

    def test_a_refusal_says_when_to_come_back(self):
        error = CallError(ErrorKind.OVERLOADED, retry_after_ms=350)
        self.assertIn(
            ("Retry-After", "0.350"), self.dialect.render_error(error).headers
        )
        leaving = self.dialect.render_error(CallError(ErrorKind.LEAVING))
        self.assertIn("Retry-After", dict(leaving.headers))

    def test_no_error_bears_a_signature(self):
        signed = [("X-Papayabay-Upstream-Signature", "3e1b")]
        answer = Answer(502, signed, kind=ErrorKind.TARGET_LOST)
        rendered = self.dialect.render_error(answer, answer.headers)
        self.assertNotIn("X-Papayabay-Upstream-Signature", dict(rendered.headers))
