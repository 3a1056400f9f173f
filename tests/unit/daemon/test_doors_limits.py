"""Size limits of the doors, and ambiguous message lengths."""

import asyncio
import json
from contextlib import suppress

from tests.unit.daemon.door_fakes import (
    DoorTestCase,
    FakeFlow,
    bounded,
    exchange,
    parse,
    request,
)


async def send_endlessly(writer, part):
    """Send a part again and again until the connection is closed."""
    with suppress(ConnectionError):
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)


class LimitTests(DoorTestCase):
    async def test_too_large_headers_are_refused(self):
        for headers in (
            [("X-A", "a" * 5000)],
            [(f"X-{n}", "a" * 80) for n in range(60)],
        ):
            status, _, body = await self.ask(
                FakeFlow(), request(headers=headers), header_bytes=2048
            )
            self.assertEqual(status, 431)
            self.assertIn(b"headers-too-large", body)

    async def test_headers_are_measured_as_they_are_forwarded(self):
        """Guards against forwarding a head that the next hop refuses.

        Fields without a space after the colon are shorter on the wire than
        they are when they are forwarded.
        """
        raw = request(headers=[("Papayabay-Service", "svc")])
        raw = raw[:-2] + b"ab:c\r\n" * 150 + b"\r\n"
        self.assertLess(len(raw), 1_100)
        door = await self.open(FakeFlow(), header_bytes=1_100)
        self.assertEqual(parse(await exchange(door.port, raw))[0], 431)

    async def test_too_large_headers_in_two_segments_are_refused(self):
        """Guards against a head that exceeds the limit in no single segment.

        The first segment also has the end of the request before, so that its
        size alone says little about the head.
        """
        earlier = request("/a", close=False)
        raw = request("/b", headers=[("X-A", "a" * 1500), ("X-B", "b" * 1500)])
        for cut in (40, 1000, 2000, len(raw) - 1):
            door = await self.open(FakeFlow(), header_bytes=2048)
            reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
            self.addCleanup(writer.close)
            writer.write(earlier + raw[:cut])
            await bounded(reader.readuntil(b"ok"))
            writer.write(raw[cut:])
            status, _, _ = parse(await bounded(reader.read()))
            self.assertEqual(status, 431)

    async def test_too_large_declared_length_is_refused(self):
        raw = request(method="POST", headers=[("Content-Length", "5000")])
        door = await self.open(FakeFlow(), body_bytes=2048)
        status, got, _ = parse(await exchange(door.port, raw, b"\r\n\r\n"))
        self.assertEqual((status, dict(got)["Papayabay-Effect"]), (413, "not-run"))
        self.assertEqual(dict(got)["Connection"], "close")

    async def test_too_large_chunked_body_is_refused(self):
        """Guards against a limit that holds only while a body is received."""
        headers = [("Transfer-Encoding", "chunked")]
        for size, expected, runs in ((2048, 200, 1), (2049, 413, 0)):
            flow = FakeFlow()
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"a" * size)
            raw = request(method="POST", headers=headers) + body
            status, _, _ = await self.ask(flow, raw, body_bytes=2048)
            self.assertEqual(status, expected)
            self.assertEqual(len(flow.seen), runs)

    async def test_endless_framing_is_refused(self):
        """Guards against a client that fills the memory with framing."""
        chunked = request(method="POST", headers=[("Transfer-Encoding", "chunked")])
        for name, start, part in (
            ("blank lines", b"", b"\r\n" * 50),
            ("chunk size", chunked, b"0" * 100),
            ("chunk extension", chunked + b"5;a=", b"a" * 100),
            ("trailer", chunked + b"2\r\nok\r\n0\r\nx: ", b"a" * 100),
        ):
            with self.subTest(name):
                flow = FakeFlow()
                door = await self.open(flow, header_bytes=2048)
                reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
                self.addCleanup(writer.close)
                writer.write(start)
                sending = asyncio.create_task(send_endlessly(writer, part))
                status, _, _ = parse(await bounded(reader.read()))
                sending.cancel()
                self.assertEqual((status, flow.seen), (400, []))

    async def test_limit_exceeded_while_streaming_has_unknown_effect(self):
        """A caller got effect "not run" for a request that had started.

        A chunked body exceeds the limit after its first part was passed to
        the target, so the default effect of a 413 does not hold.
        """

        async def reply(incoming):
            async for _ in incoming.body.rest:
                pass

        flow = FakeFlow(reply)
        door = await self.open(flow, inline_body_bytes=1024, body_bytes=8192)
        chunk = b"400\r\n" + b"a" * 1024 + b"\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        self.addCleanup(writer.close)
        headers = [("Transfer-Encoding", "chunked")]
        writer.write(request(method="POST", headers=headers) + chunk * 2)
        await bounded(flow.started.wait())
        writer.write(chunk * 12 + b"0\r\n\r\n")
        status, got, body = parse(await bounded(reader.read()))
        self.assertEqual((status, dict(got)["Papayabay-Effect"]), (413, "unknown"))
        self.assertEqual(json.loads(body)["effect"], "unknown")


class SmugglingTests(DoorTestCase):
    async def test_ambiguous_lengths_are_refused_and_the_connection_closed(self):
        """Request smuggling: a second request was hidden in a body.

        Two readers of one message disagree on where its body ends, so that a
        part of the body is run as another client's request.
        """
        chunked = ("Transfer-Encoding", "chunked")
        cases = {
            "both": [("Content-Length", "5"), chunked],
            "two lengths": [("Content-Length", "5"), ("Content-Length", "6")],
            "sign": [("Content-Length", "+5")],
            "unknown coding": [("Transfer-Encoding", "chunked, odd")],
        }
        hidden = b"0\r\n\r\n" + request("/hidden")
        for name, headers in cases.items():
            with self.subTest(name):
                flow = FakeFlow()
                raw = request(method="POST", headers=headers, close=False) + hidden
                status, got, body = await self.ask(flow, raw)
                self.assertEqual(status, 400)
                self.assertIn(b"urn:papayabay:error:bad-request", body)
                self.assertEqual(dict(got)["Connection"], "close")
                self.assertEqual(flow.seen, [])
                self.assertNotIn(b"HTTP/1.1", body)

    async def test_malformed_chunk_is_refused_and_the_connection_closed(self):
        flow = FakeFlow()
        headers = [("Transfer-Encoding", "chunked")]
        raw = request(method="POST", headers=headers, close=False)
        raw += b"zz\r\n" + request("/hidden")
        status, got, body = await self.ask(flow, raw)
        self.assertEqual((status, dict(got)["Connection"]), (400, "close"))
        self.assertEqual(flow.seen, [])
        self.assertNotIn(b"HTTP/1.1", body)
