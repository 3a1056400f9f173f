"""Tests of requests to upstreams and of the verdicts on their answers."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.http.heads import Head
from papayabay_core.http.payload import MAX_BUFFERED_BYTES
from papayabay_core.settings import TargetSettings
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.target import HttpTargetClient
from papayabay_daemon._internal.target.dialect import TargetReport
from papayabay_daemon._internal.target.pool import MAX_REFUSALS
from papayabay_daemon.adapters import Announcement, Verdict
from papayabay_platform.target_dialect import PlatformTargetDialect, load_of
from tests.unit.daemon.door_fakes import BOUND_SECONDS, bounded, call, settings
from tests.unit.daemon.target_client_support import ClientTestCase, endless

ID = b"X-Papayabay-Request-Id"
SIGNATURE = (b"X-Papayabay-Upstream-Signature", b"3e1b")
OWN = (ID, b"r1")
NOT_RUN = (b"X-Papayabay-Not-Run", b"1")
FREE_SLOTS = (b"X-Papayabay-Upstream-Load", b"3,0,8")
CHUNK = b"400\r\n%b\r\n" % (b"a" * 1024)
MAX_SEGMENT_BYTES = 262_144
"""Most bytes that the event loop reads at once."""


def announcement(**changes):
    values = {"service": "svc", "host": "127.0.0.1", "port": 9, "slots": 4}
    return Announcement(
        **{**values, "connections": 8, "incarnation": "i-1", "lease_ms": 60_000}
        | changes
    )


def response(status, *fields, body=b"ok"):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
    lines += [b"%s: %s" % field for field in fields]
    return b"\r\n".join([*lines, b"", body])


def chunked_head(status, *fields):
    framing = b"Transfer-Encoding", b"chunked"
    head = response(status, framing, *fields, body=b"")
    return head.replace(b"Content-Length: 0\r\n", b"")


class ClassificationTest(unittest.TestCase):
    def classify(self, status, *fields):
        made = call()
        values = Head(fields).first
        return PlatformTargetDialect().classify(made, announcement(), status, values)

    def test_verdicts(self):
        coded = (b"Content-Encoding", b"gzip")
        busy = (b"X-Papayabay-Upstream-Load", b"8,9,8")
        odd = (b"X-Papayabay-Upstream-Load", b"odd")
        free_of_four = (b"X-Papayabay-Upstream-Load", b"3,0,8,250")
        busy_of_four = (b"X-Papayabay-Upstream-Load", b"8,0,8,250")
        for status, fields, verdict in (
            (200, (OWN, SIGNATURE), Verdict.ANSWER),
            (200, (OWN,), Verdict.UNVERIFIED),
            (200, (OWN, SIGNATURE, coded), Verdict.UNVERIFIED),
            (200, (SIGNATURE,), Verdict.UNVERIFIED),
            (500, (OWN, SIGNATURE), Verdict.ANSWER),
            (503, (OWN,), Verdict.ANSWER),
            (429, (OWN, SIGNATURE), Verdict.ANSWER),
            (503, (OWN, NOT_RUN), Verdict.SHED),
            (503, (OWN, NOT_RUN, busy), Verdict.SHED),
            (503, (OWN, NOT_RUN, odd), Verdict.SHED),
            (503, (OWN, NOT_RUN, FREE_SLOTS), Verdict.REJECTED),
            (503, (OWN, NOT_RUN, free_of_four), Verdict.REJECTED),
            (503, (OWN, NOT_RUN, busy_of_four), Verdict.SHED),
            (429, (OWN, NOT_RUN), Verdict.SHED),
            (400, (OWN, NOT_RUN), Verdict.SHED),
            (200, (OWN, NOT_RUN), Verdict.UNVERIFIED),
            (200, (OWN, SIGNATURE, NOT_RUN), Verdict.UNVERIFIED),
            (500, (OWN, SIGNATURE, NOT_RUN), Verdict.UNVERIFIED),
            (504, (OWN, NOT_RUN), Verdict.UNVERIFIED),
            (421, (OWN,), Verdict.REPLACED),
            (421, (OWN, NOT_RUN), Verdict.REPLACED),
            (503, (NOT_RUN,), Verdict.UNVERIFIED),
            (503, (NOT_RUN, FREE_SLOTS), Verdict.UNVERIFIED),
            (429, (NOT_RUN,), Verdict.UNVERIFIED),
            (421, (), Verdict.UNVERIFIED),
            (421, (NOT_RUN,), Verdict.UNVERIFIED),
        ):
            with self.subTest(status=status, fields=fields):
                self.assertIs(self.classify(status, *fields), verdict)

    def test_promises_for_requests_that_may_run_once_need_a_proof(self):
        """Guards against a promise to the caller of a request that ran."""
        made = call("POST")
        made.idempotent = False
        for status in (408, 429, 503):
            for fields in ((OWN,), (OWN, SIGNATURE)):
                verdict = PlatformTargetDialect().classify(
                    made, announcement(), status, Head(fields).first
                )
                self.assertIs(verdict, Verdict.UNVERIFIED, (status, fields))

    def test_rate_limits_are_read(self):
        """A limit that can't be read must not end the one in effect."""
        for content, rate in (
            (b"3.6", 3.6),
            (b"12", 12.0),
            (b"0", 0.0),
            (b"0.25", 0.25),
        ):
            report = PlatformTargetDialect().report({b"server-limit": content})
            self.assertEqual(report.rate_per_s, rate)
        for content in (b"-1", b"nan", b"1e9", b"", b"3, 4", b"inf", b"1.", b" 5 "):
            report = PlatformTargetDialect().report({b"server-limit": content})
            self.assertIsNone(report, content)
        self.assertIsNone(PlatformTargetDialect().report({}).rate_per_s)

    def test_load_reports_with_any_number_of_figures_are_read(self):
        """A figure more than three made the whole report unreadable."""
        for content, slowdown in (
            (b"3,0,8", None),
            (b"3,0,8,100", 1.0),
            (b"3,0,8,250", 2.5),
            (b"3,0,8,250,7,odd", 2.5),
            (b"3,0,8,", None),
            (b"3,0,8,0", None),
            (b"3,0,8,99999", None),
            (b"3,0,8,123456789012", None),
            (b"3,0,8,nan", None),
            (b"3,0,8,-100", None),
            (b"3,0,8,1e3", None),
        ):
            with self.subTest(content=content):
                fields = {b"x-papayabay-upstream-load": content}
                load = load_of(fields)
                self.assertEqual((load.running, load.waiting, load.slots), (3, 0, 8))
                self.assertEqual(load.slowdown, slowdown)
                report = PlatformTargetDialect().report(fields)
                self.assertEqual(report.slowdown, slowdown)
        for content in (b"", b"3,0", b"a,0,8,100", b"3,,8,100", b"3;0;8;100"):
            self.assertIsNone(load_of({b"x-papayabay-upstream-load": content}))

    def test_slowdown_is_read_beside_an_unreadable_rate_limit(self):
        """An unreadable rate limit hid everything else that was reported."""
        report = PlatformTargetDialect().report(
            {b"server-limit": b"odd", b"x-papayabay-upstream-load": b"3,0,8,250"}
        )
        self.assertEqual((report.slowdown, report.rate_is_known), (2.5, False))

    def test_healthy_upstream_is_announced(self):
        target = TargetSettings(service="svc", host="10.0.0.1", port=80)
        instance = (b"X-Papayabay-Upstream-Instance", b"i-7")
        load = (b"X-Papayabay-Upstream-Load", b"3,0,8")

        def announcement_from_health(target, status, fields):
            return PlatformTargetDialect().announcement_from_health(
                target, status, Head(fields).first
            )

        found = announcement_from_health(target, 200, (instance, load))
        self.assertEqual((found.incarnation, found.slots), ("i-7", 8))
        four = (b"X-Papayabay-Upstream-Load", b"3,0,8,250")
        found = announcement_from_health(target, 200, (instance, four))
        self.assertEqual((found.incarnation, found.slots), ("i-7", 8))
        self.assertIsNone(announcement_from_health(target, 503, (instance, load)))
        self.assertIsNone(announcement_from_health(target, 200, (instance,)))
        self.assertIsNone(announcement_from_health(target, 200, (load,)))

    def test_head_has_expected_instance_and_deadline(self):
        made = call()
        made.headers = [("Host", "hulo.example")]
        before = made.remaining() * 1_000
        head = PlatformTargetDialect().request_head(made, "t", announcement())
        after = made.remaining() * 1_000
        lines = head.decode().split("\r\n")
        self.assertEqual(lines[1], "Host: hulo.example")
        self.assertIn("X-Papayabay-Expected-Instance: i-1", lines)
        left = dict(line.split(": ") for line in lines[1:] if line)
        sent = int(left["X-Papayabay-Deadline-Ms"])
        self.assertLessEqual(sent, before)
        self.assertGreater(sent, after - 1)


class ConnectionTest(ClientTestCase):
    """The target client with the platform's dialect, over a real socket."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.client.close()
        self.client = HttpTargetClient(
            settings(inline_body_bytes=1024), self.registry, PlatformTargetDialect()
        )
        self.addAsyncCleanup(self.client.close)

    async def test_late_second_answer_is_skipped(self):
        """Guards against a caller that gets the answer to another request.

        The target answers request r0 a second time, after r1 was sent on the
        same connection. The echoed request id shows that it is not the answer
        to r1.
        """

        async def behave(reader, writer):
            writer.write(response(200, (ID, b"r0"), SIGNATURE, body=b"stale"))
            writer.write(response(200, OWN, SIGNATURE, body=b"own"))

        await self.open(behave, incarnation="i-1")
        answer = await self.run_call(call())
        self.assertEqual(answer.body.first, b"own")
        self.assertEqual(self.client.counters["stray_answers"], 1)

    async def open_repeating(self, **changes):
        """Open a target that refuses r1 and sends each refusal twice.

        The copy is sent where the answer to the next request on the connection
        is expected. Each request on another connection, and each with another
        id, is answered.
        """
        refused_on = []
        refusal = response(503, OWN, NOT_RUN, FREE_SLOTS)

        async def behave(reader, writer):
            request_id = target.requests[-1].partition(f"{ID.decode()}: ")[2][:2]
            if not refused_on:
                refused_on.append(writer)
                writer.write(refusal)
                return
            if writer in refused_on:
                writer.write(refusal)
            writer.write(response(200, (ID, request_id.encode()), SIGNATURE))

        target = await self.open(behave, incarnation="i-1", **changes)
        return target

    def identified(self, request_id):
        """Return a call whose id is sent to the target."""
        headers = [(ID.decode(), request_id)]
        return call("POST", headers=headers, request_id=request_id)

    async def test_copy_of_a_refusal_is_not_the_answer_to_a_retry(self):
        """Guards against a request that runs twice after a doubled refusal."""
        target = await self.open_repeating()
        await self.fails(ErrorKind.TARGET_REJECTED, self.identified("r1"))
        answer = await self.run_call(self.identified("r1"))
        self.assertEqual((answer.status, target.accepted), (200, 2))

    async def test_other_requests_use_the_connection_of_a_refusal(self):
        """Guards against a new connection after each refusal."""
        target = await self.open_repeating()
        await self.fails(ErrorKind.TARGET_REJECTED, self.identified("r1"))
        answer = await self.run_call(self.identified("r2"))
        self.assertEqual((answer.status, target.accepted), (200, 1))

    async def test_retry_replaces_the_only_connection(self):
        """Guards against a retry that waits in vain for another connection."""
        target = await self.open_repeating(connections=1)
        await self.fails(ErrorKind.TARGET_REJECTED, self.identified("r1"))
        answer = await self.run_call(self.identified("r1"))
        self.assertEqual((answer.status, target.accepted), (200, 2))
        self.assertEqual(len(self.client.pool.open), 1)

    async def test_line_of_a_refusal_tells_connection_and_attribution(self):
        """Guards against refusals whose proof can't be told from the log."""
        lines = []
        writer = mock.Mock(dropped=0, enqueue=lambda line: lines.append(line))
        self.client.log = DecisionLog(writer, lambda: 1)
        await self.open_repeating()
        await self.fails(ErrorKind.TARGET_REJECTED, self.identified("r1"))
        (line,) = map(json.loads, lines)
        self.assertEqual((line["decision"], line["request"]), ("refusal", "r1"))
        self.assertEqual((line["outcome"], line["status"]), ("rejected", 503))
        self.assertEqual((line["names_request"], line["connection"]), ("own", 1))

    async def test_number_of_kept_ids_is_limited(self):
        """Guards against a target that fills the memory with refusals."""

        async def behave(reader, writer):
            head = target.requests[-1]
            request_id = head.partition(f"{ID.decode()}: ")[2].split("\r\n")[0]
            writer.write(response(503, (ID, request_id.encode()), NOT_RUN))

        target = await self.open(behave, incarnation="i-1")
        for number in range(MAX_REFUSALS + 1):
            await self.fails(ErrorKind.TARGET_SHED, self.identified(f"r{number}"))
        self.assertEqual(target.accepted, 2)
        self.assertEqual(list(map(len, self.client.pool.refused_ids.values())), [1])

    async def test_reports_are_taken_from_the_target_itself_only(self):
        """A late answer, or one of another process, told of the target."""
        fields = (b"Server-Limit", b"3.6"), (b"Server-Leaving", b"1")
        refusal = response(503, OWN, (b"X-Papayabay-Not-Run", b"1"), *fields)
        for content, count in (
            (response(200, (ID, b"r0"), SIGNATURE, *fields) + response(200, OWN), 0),
            (response(421, OWN, *fields), 0),
            (refusal, 1),
            (response(500, OWN, SIGNATURE, *fields), 1),
            (response(200, OWN, SIGNATURE, *fields), 1),
        ):
            listener = mock.Mock()
            self.client.report_listeners = [listener]

            async def behave(reader, writer, content=content):
                writer.write(content)

            await self.open(behave, incarnation="i-1")
            with contextlib.suppress(CallError):
                await self.run_call(call())
            reports = [one.args[1] for one in listener.call_args_list]
            self.assertEqual(reports, [TargetReport(3.6, True)] * count, content)

    async def test_effect_is_unknown_if_all_answers_are_to_other_requests(self):
        async def behave(reader, writer):
            for _ in range(8):
                writer.write(response(200, (ID, b"r0"), SIGNATURE))

        await self.open(behave, incarnation="i-1")
        await self.fails(ErrorKind.TARGET_LOST, call())

    async def test_endless_answer_waits_for_its_reader(self):
        """Guards against an endless answer that fills the memory."""
        head = chunked_head(200, OWN, SIGNATURE)
        target = await self.open(endless(head, CHUNK), incarnation="i-1")
        sent = call()
        answer = await self.run_call(sent)
        (connection,) = self.client.pool.open
        async with asyncio.timeout(BOUND_SECONDS):
            while not connection.read_pauses:
                await asyncio.sleep(0.001)
        buffered = answer.body.rest.exchange.message.payload.buffered_bytes
        self.assertLessEqual(buffered, MAX_BUFFERED_BYTES + MAX_SEGMENT_BYTES)
        sent.expires_at = now()
        with self.assertRaises(TimeoutError):
            async for _ in answer.body.rest:
                pass
        await bounded(target.gone.wait())

    async def test_endless_bodies_end_with_the_call(self):
        """Guards against a target that sends a body without end."""
        for kind, status, fields in (
            (ErrorKind.TARGET_LOST, 200, [(ID, b"r0"), SIGNATURE]),
            (ErrorKind.TARGET_LOST, 200, [OWN]),
            (ErrorKind.TARGET_SHED, 503, [OWN, NOT_RUN]),
            (ErrorKind.TARGET_SHED, 421, [OWN]),
        ):
            with self.subTest(status=status, fields=fields):
                head = chunked_head(status, *fields)
                target = await self.open(endless(head, CHUNK), incarnation="i-1")
                await self.fails(kind, call())
                await bounded(target.gone.wait())

    async def test_bytes_on_an_idle_connection_close_it(self):
        """Guards against reading stray bytes as the answer to a request.

        After a complete answer the target sends further bytes on the idle
        connection. If it were reused, they would be read as the next answer,
        and the effect of that request would be unknown.
        """
        served = []

        async def behave(reader, writer):
            served.append(writer)
            writer.write(response(200, OWN, SIGNATURE))
            writer.write(response(200, (ID, b"r0"), SIGNATURE, body=b"stale"))

        await self.open(behave, incarnation="i-1")
        for _ in range(3):
            answer = await self.run_call(call())
            self.assertEqual(answer.body.first, b"ok")

    async def test_status_alone_does_not_prove_that_a_request_was_not_run(self):
        """Guards against a promise to the caller of a request that ran."""
        for status in (408, 429, 503):

            async def behave(reader, writer, status=status):
                writer.write(response(status, OWN, SIGNATURE))

            await self.open(behave, incarnation="i-1")
            sent = call("POST")
            sent.idempotent = False
            await self.fails(ErrorKind.TARGET_LOST, sent)

    async def test_refusal_that_names_no_request_proves_nothing(self):
        """Guards against a copy that is taken for the refusal of a request."""
        for status, fields in (
            (503, (NOT_RUN,)),
            (503, (NOT_RUN, FREE_SLOTS)),
            (429, (NOT_RUN,)),
            (421, ()),
        ):

            async def behave(reader, writer, status=status, fields=fields):
                writer.write(response(status, *fields))

            await self.open(behave, incarnation="i-1")
            await self.fails(ErrorKind.TARGET_LOST, call("POST"))

    async def test_success_with_the_field_of_a_refusal_proves_nothing(self):
        """Guards against an answer of which one half says that it ran."""

        async def behave(reader, writer):
            writer.write(response(200, OWN, SIGNATURE, NOT_RUN))

        await self.open(behave, incarnation="i-1")
        await self.fails(ErrorKind.TARGET_LOST, call("POST"))

    async def test_unsigned_success_is_refused(self):
        async def behave(reader, writer):
            writer.write(response(200, OWN))

        await self.open(behave, incarnation="i-1")
        await self.fails(ErrorKind.TARGET_LOST, call())

    async def test_answer_of_another_instance_means_not_run(self):
        async def behave(reader, writer):
            writer.write(response(421, OWN))

        await self.open(behave, incarnation="i-1")
        with self.assertRaises(CallError) as caught:
            await self.run_call(call())
        self.assertEqual(caught.exception.kind, ErrorKind.TARGET_SHED)
