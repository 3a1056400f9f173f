"""Requests, answers and errors at the doors, over real connections."""

import asyncio
import json
import unittest

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ERROR_ANSWERS, CallError, Effect, ErrorKind
from papayabay_daemon._internal.doors import StatusDoor
from tests.unit.daemon.door_fakes import (
    DoorTestCase,
    FakeFlow,
    bounded,
    exchange,
    parse,
    request,
    settings,
)


class ForwardingTests(DoorTestCase):
    async def test_request_is_forwarded_unchanged(self):
        flow = FakeFlow()
        headers = [("X-Odd-CASE", "é"), ("Accept-Encoding", "br"), ("X-A", "1, 2")]
        body = bytes(range(256))
        await self.ask(flow, request("/a%2F?q=%20&r", "PUT", headers, body))
        seen = flow.seen[0]
        self.assertEqual((seen.service, seen.method), ("svc", "PUT"))
        self.assertEqual(seen.path, "/a%2F?q=%20&r")
        self.assertEqual(seen.headers, [*headers, ("Via", "1.1 papayabay")])
        self.assertEqual(seen.body.first, body)

    async def test_answer_is_sent_unchanged(self):
        fields = [("Set-Cookie", "a=1"), ("X-q", "é"), ("Set-Cookie", "b=2")]
        fields.append(("Content-Encoding", "gzip"))

        async def reply(incoming):
            return Answer(207, list(fields), Body(b"\x1f\x8bnot really"))

        status, got, body = await self.ask(FakeFlow(reply), request())
        self.assertEqual((status, body), (207, b"\x1f\x8bnot really"))
        self.assertEqual([field for field in got if field in fields], fields)
        names = {name.lower() for name, _ in got}
        self.assertFalse(names & {"server", "content-type"})
        self.assertIn(("Papayabay-Effect", "run"), got)

    async def test_header_bytes_that_are_not_utf8_are_preserved(self):
        async def reply(incoming):
            return Answer(200, incoming.headers)

        raw = request(headers=[("X-A", "@@")]).replace(b"@@", b"\xe9\xff")
        door = await self.open(FakeFlow(reply))
        self.assertIn(b"X-A: \xe9\xff\r\n", await exchange(door.port, raw))

    async def test_head_keeps_the_length_and_has_no_body(self):
        async def reply(incoming):
            return Answer(200, [("Content-Length", "1234")])

        status, got, body = await self.ask(FakeFlow(reply), request(method="HEAD"))
        self.assertIn(("Content-Length", "1234"), got)
        self.assertEqual(body, b"")

    async def test_204_has_neither_length_nor_body(self):
        async def reply(incoming):
            return Answer(204)

        _, got, body = await self.ask(FakeFlow(reply), request())
        self.assertNotIn("Content-Length", dict(got))
        self.assertEqual(body, b"")

    async def test_large_bodies_stream_both_ways(self):
        async def reply(incoming):
            self.assertIsNotNone(incoming.body.rest)
            return Answer(200, [], incoming.body)

        data = bytes(range(256)) * 800
        length = ("Content-Length", str(len(data)))
        raw = request(method="POST", body=data)
        status, got, body = await self.ask(FakeFlow(reply), raw, inline_body_bytes=2048)
        self.assertIn(("Transfer-Encoding", "chunked"), got)
        self.assertNotIn(length, got)
        self.assertTrue(body.endswith(b"0\r\n\r\n"))
        self.assertEqual(unchunk(body), data)

    async def test_keep_alive_serves_several_requests(self):
        flow = FakeFlow()
        one, last = request("/1", close=False), request("/2")
        await self.ask(flow, one + one + last)
        self.assertEqual([seen.path for seen in flow.seen], ["/1", "/1", "/2"])

    async def test_expect_continue_is_answered_by_the_door(self):
        door = await self.open(FakeFlow())
        reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: svc\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        head = await bounded(reader.readuntil(b"\r\n\r\n"))
        self.assertTrue(head.startswith(b"HTTP/1.1 100 "))
        writer.write(b"hi")
        head = await bounded(reader.readuntil(b"\r\n\r\n"))
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
        writer.close()


def unchunk(data):
    parts = []
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16)
        parts.append(data[:count])
        data = data[count + 2 :]
    return b"".join(parts)


class ControlTests(DoorTestCase):
    async def test_forged_control_fields_have_no_effect(self):
        flow = FakeFlow()
        forged = ["Importance", "Credits", "Rank", "Request", "Remaining-Ms", "Depth"]
        headers = [(f"Papayabay-{name}", "0") for name in [*forged, "Call"]]
        await self.ask(flow, request(headers=headers))
        self.assertEqual(flow.seen[0].headers, [("Via", "1.1 papayabay")])
        self.assertEqual(flow.seen[0].call_token, "")

    async def test_service_header_takes_precedence_over_host(self):
        flow = FakeFlow()
        headers = [("Papayabay-Service", "other"), ("Idempotency-Key", "k1")]
        headers.append(("Papayabay-Deadline-Ms", "250"))
        await self.ask(flow, request(headers=headers))
        seen = flow.seen[0]
        self.assertEqual(
            (seen.service, seen.idempotency_key, seen.deadline_ms), ("other", "k1", 250)
        )

    async def test_malformed_control_fields_are_refused(self):
        cases = [("Papayabay-Service", "a/b"), ("Papayabay-Service", "")]
        invalid = ["-1", "0", "1.5", "3600001", "x", "9" * 40]
        cases += [("Papayabay-Deadline-Ms", value) for value in invalid]
        cases.append(("Idempotency-Key", "k" * 256))
        for field in cases:
            with self.subTest(field):
                flow = FakeFlow()
                status, got, body = await self.ask(flow, request(headers=[field]))
                self.assertEqual(status, 400)
                self.assertIn(b"urn:papayabay:error:bad-request", body)
                self.assertEqual(flow.seen, [])

    async def test_repeated_key_is_refused(self):
        headers = [("Idempotency-Key", "a"), ("idempotency-key", "b")]
        status, _, _ = await self.ask(FakeFlow(), request(headers=headers))
        self.assertEqual(status, 400)

    async def test_key_minter(self):
        door = await self.open(FakeFlow(), lambda: "home-1")
        raw = await exchange(door.port, request("/.papayabay/keys", "POST"))
        self.assertEqual(json.loads(parse(raw)[2]), {"key": "home-1"})

    async def test_reserved_paths_never_reach_the_flow(self):
        flow = FakeFlow()
        status, _, _ = await self.ask(flow, request("/.papayabay/keys", "POST"))
        self.assertEqual((status, flow.seen), (400, []))


class ErrorTests(DoorTestCase):
    async def test_each_kind_is_rendered_from_the_table(self):
        for kind, row in ERROR_ANSWERS.items():
            with self.subTest(kind.name):

                async def reply(incoming, kind=kind):
                    raise CallError(kind, "why", 1200)

                status, got, body = await self.ask(FakeFlow(reply), request())
                fields = dict(got)
                self.assertEqual(status, row.status)
                self.assertEqual(fields["Content-Type"], "application/problem+json")
                self.assertEqual(fields["Papayabay-Effect"], row.effect.value)
                self.assertEqual(fields["Retry-After"], "2")
                self.assertEqual(fields["Papayabay-Retry-After-Ms"], "1200")
                self.assertEqual(json.loads(body)["detail"], "why")

    async def test_answer_of_an_error_kind_keeps_the_request_identifier(self):
        async def reply(incoming):
            headers = [("Papayabay-Request", "r9")]
            kind = ErrorKind.OVERLOADED
            return Answer(503, headers, kind=kind, effect=Effect.NOT_RUN)

        _, got, body = await self.ask(FakeFlow(reply), request())
        self.assertIn(("Papayabay-Request", "r9"), got)
        self.assertEqual(json.loads(body)["request"], "r9")
        self.assertNotIn("Retry-After", dict(got))

    async def test_an_internal_error_has_unknown_effect_and_no_details(self):
        async def reply(incoming):
            raise RuntimeError("secret detail")

        status, got, body = await self.ask(FakeFlow(reply), request())
        self.assertEqual((status, dict(got)["Papayabay-Effect"]), (500, "unknown"))
        self.assertNotIn(b"secret", body)


class ConnectionTests(DoorTestCase):
    async def test_a_truncated_answer_resets_the_connection(self):
        """A caller took half a document for a complete one.

        The target fails in the middle of a streamed answer. A regular close
        of the connection would mark the end of a body without length.
        """

        async def parts():
            yield b"first"
            raise ConnectionError("gone")

        async def reply(incoming):
            return Answer(200, [], Body(b"begin", parts()))

        door = await self.open(FakeFlow(reply))
        for version in (b"HTTP/1.1", b"HTTP/1.0"):
            with self.subTest(version), self.assertRaises(ConnectionResetError):
                raw = request().replace(b"HTTP/1.1", version)
                await exchange(door.port, raw)

    async def test_an_answer_of_the_wrong_length_resets_the_connection(self):
        """A caller got a part of another request's answer.

        A streamed answer ends early without an error. If the connection
        stayed open, the next answer would be read as the missing part.
        """

        async def parts():
            yield b"abc"

        for length in ("2", "9"):

            async def reply(incoming, length=length):
                headers = [("Content-Length", length)]
                return Answer(200, headers, Body(b"", parts()))

            with self.subTest(length):
                door = await self.open(FakeFlow(reply))
                with self.assertRaises(ConnectionResetError):
                    await exchange(door.port, request(close=False))

    async def test_an_answer_that_cannot_be_written_resets_the_connection(self):
        """A client waited for an answer until its own timeout.

        A header value can't be encoded. The error ended the task that
        answers, but nothing closed the connection.
        """

        async def reply(incoming):
            return Answer(200, [("X-A", "\ud800")], Body(b"ok"))

        door = await self.open(FakeFlow(reply))
        with self.assertRaises(ConnectionResetError):
            await exchange(door.port, request(close=False))

    async def test_leaving_client_cancels_the_call(self):
        async def reply(incoming):
            await asyncio.Event().wait()

        flow = FakeFlow(reply)
        door = await self.open(flow)
        _, writer = await asyncio.open_connection("127.0.0.1", door.port)
        writer.write(request())
        await bounded(flow.started.wait())
        writer.close()
        await bounded(flow.cancelled.wait())

    async def test_stop_accepting_ends_connections_after_their_answer(self):
        go = asyncio.Event()

        async def reply(incoming):
            await go.wait()
            return Answer(200, [], Body(b"done"))

        flow = FakeFlow(reply)
        door = await self.open(flow)
        answer = asyncio.create_task(exchange(door.port, request(close=False)))
        await bounded(flow.started.wait())
        await door.stop_accepting()
        go.set()
        _, got, body = parse(await bounded(answer))
        self.assertEqual((dict(got)["Connection"], body), ("close", b"done"))
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", door.port)


class StatusDoorTests(unittest.IsolatedAsyncioTestCase):
    async def test_views(self):
        async def view(query):
            return {"query": query}

        door = StatusDoor(settings(), {"/view": view})
        await door.start()
        self.addAsyncCleanup(door.close)
        _, _, body = parse(await exchange(door.port, request("/view?a=1")))
        self.assertEqual(json.loads(body), {"query": {"a": "1"}})
        status, _, _ = parse(await exchange(door.port, request("/none")))
        self.assertEqual(status, 404)
