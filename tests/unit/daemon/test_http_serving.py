"""Pipelined requests on server connections."""

import asyncio
import unittest
from contextlib import suppress

from hypothesis import given, settings, strategies as st

from papayabay_core.calls import Answer, Body
from tests.unit.daemon.door_fakes import (
    DoorTestCase,
    FakeFlow,
    bounded,
    exchange,
    open_door,
    request,
)

EXAMPLES = 60


def get(path, close=False):
    return request(path, close=close)


def post(path, body=b"data", close=False):
    return request(path, "POST", body=body, close=close)


async def echo(incoming):
    return Answer(200, [], Body(incoming.path.encode()))


class Gates:
    """A reply function that blocks for each path until the test opens it."""

    def __init__(self):
        self.started = []
        self.opened = {}
        self.changed = asyncio.Condition()

    async def __call__(self, incoming):
        async with self.changed:
            self.started.append(incoming.path)
            self.changed.notify_all()
            await self.changed.wait_for(lambda: self.opened.get(incoming.path))
        return await echo(incoming)

    async def open(self, path):
        async with self.changed:
            self.opened[path] = True
            self.changed.notify_all()

    async def wait_started(self, *paths):
        async def wait():
            async with self.changed:
                await self.changed.wait_for(lambda: set(paths) <= set(self.started))

        await bounded(wait())


class PipeliningTests(DoorTestCase):
    async def connect(self, reply, **limits):
        self.flow = FakeFlow(reply)
        self.door = await self.open(self.flow, **limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.door.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_body(self, reader):
        """Return the next answer's status, body and Connection field."""
        head = await bounded(reader.readuntil(b"\r\n\r\n"))
        lines = head.decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await bounded(reader.readexactly(int(fields["content-length"])))
        return int(lines[0].split()[1]), body, fields.get("connection")

    async def test_a_slow_request_does_not_delay_later_safe_requests(self):
        """Look-ups took twice as long as their tree of calls.

        A client pipelines three look-ups, the first of which has a slow
        upstream. The second started only when the first was answered.
        """
        gates = Gates()
        reader, writer = await self.connect(gates)
        writer.write(get("/1") + get("/2") + get("/3"))
        await gates.wait_started("/1", "/2", "/3")
        await gates.open("/3")
        await gates.open("/2")
        await gates.open("/1")
        got = [(await self.read_body(reader))[1] for _ in range(3)]
        self.assertEqual(got, [b"/1", b"/2", b"/3"])

    async def test_requests_with_unsafe_methods_run_alone(self):
        gates = Gates()
        reader, writer = await self.connect(gates)
        writer.write(get("/1") + post("/2") + get("/3") + get("/4"))
        await gates.wait_started("/1")
        await gates.open("/1")
        await gates.wait_started("/2")
        self.assertEqual(gates.started, ["/1", "/2"])
        await gates.open("/2")
        await gates.wait_started("/3", "/4")
        await gates.open("/3")
        await gates.open("/4")
        got = [(await self.read_body(reader))[1] for _ in range(4)]
        self.assertEqual(got, [b"/1", b"/2", b"/3", b"/4"])

    async def test_the_number_of_concurrent_requests_is_limited(self):
        gates = Gates()
        reader, writer = await self.connect(gates, pipelined_requests=2)
        writer.write(b"".join(get(f"/{number}") for number in range(8)))
        await gates.wait_started("/0", "/1")
        self.assertEqual(len(gates.started), 2)
        for number in range(8):
            await gates.open(f"/{number}")
        got = [(await self.read_body(reader))[1] for _ in range(8)]
        self.assertEqual(got, [f"/{number}".encode() for number in range(8)])

    async def test_a_client_that_leaves_cancels_all_of_its_requests(self):
        left = asyncio.Event()
        running = set()

        async def reply(incoming):
            running.add(incoming.path)
            try:
                await asyncio.Event().wait()
            finally:
                running.discard(incoming.path)
                if not running:
                    left.set()

        _, writer = await self.connect(reply)
        writer.write(get("/1") + get("/2"))
        await bounded(self.flow.started.wait())
        writer.transport.abort()
        await bounded(left.wait())

    async def test_requests_after_a_closing_one_are_not_started(self):
        reader, writer = await self.connect(echo)
        writer.write(get("/1") + get("/2", close=True) + get("/3"))
        got = [await self.read_body(reader) for _ in range(2)]
        self.assertEqual([body for _, body, _ in got], [b"/1", b"/2"])
        self.assertEqual(got[1][2], "close")
        self.assertEqual(await bounded(reader.read()), b"")
        self.assertEqual([seen.path for seen in self.flow.seen], ["/1", "/2"])

    async def test_a_stopping_door_answers_only_started_requests(self):
        """A request was passed to an upstream and never answered.

        With several requests on a connection, the door stops, and the first
        answer has `Connection: close`. Closing after that answer would drop
        the answers to the other started requests.
        """
        gates = Gates()
        reader, writer = await self.connect(gates)
        writer.write(get("/1") + get("/2"))
        await gates.wait_started("/1", "/2")
        self.door.disable_keep_alive()
        writer.write(get("/3"))
        await gates.open("/1")
        await gates.open("/2")
        got = [await self.read_body(reader) for _ in range(2)]
        self.assertEqual([body for _, body, _ in got], [b"/1", b"/2"])
        self.assertEqual([connection for _, _, connection in got], [None, "close"])
        self.assertEqual(await bounded(reader.read()), b"")
        self.assertEqual(gates.started, ["/1", "/2"])

    async def test_requests_before_malformed_bytes_are_answered(self):
        gates = Gates()
        reader, writer = await self.connect(gates)
        writer.write(get("/1") + b"what is this\r\n\r\n" + get("/2"))
        await gates.wait_started("/1")
        await gates.open("/1")
        first, second = [await self.read_body(reader) for _ in range(2)]
        self.assertEqual(first[:2], (200, b"/1"))
        self.assertEqual((second[0], second[2]), (400, "close"))
        self.assertEqual(await bounded(reader.read()), b"")
        self.assertEqual(gates.started, ["/1"])

    async def test_a_protocol_upgrade_is_ignored(self):
        door = await self.open(FakeFlow(echo))
        fields = [("Upgrade", "h2c"), ("Connection", "Upgrade")]
        raw = request("/1", headers=fields, close=False) + get("/2", close=True)
        got = await exchange(door.port, raw)
        self.assertTrue(got.endswith(b"/2"))
        self.assertEqual(got.count(b"HTTP/1.1 200 "), 2)

    async def test_an_http_1_0_client_with_keep_alive(self):
        door = await self.open(FakeFlow(echo))
        old = get("/1").replace(b"HTTP/1.1", b"HTTP/1.0")
        old = old.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n")
        got = await exchange(door.port, old + get("/2", close=True))
        self.assertIn(b"Connection: keep-alive\r\n", got)
        self.assertTrue(got.endswith(b"/2"))


sent_request = st.tuples(
    st.sampled_from(["GET", "POST", "chunked"]),
    st.integers(0, 5_000),
    st.integers(0, 3),
)


class InterleavingTests(unittest.TestCase):
    """Random requests, split into segments at random places."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(
        st.lists(sent_request, min_size=1, max_size=6),
        st.lists(st.integers(1, 700), max_size=8),
        st.integers(0, 6),
    )
    def test_answers_are_sent_in_the_order_of_the_requests(
        self, requests, cuts, unread
    ):
        asyncio.run(bounded(self.run_case(requests, cuts, unread)))

    async def run_case(self, requests, cuts, unread):
        """Send the requests; do not read the last `unread` answers."""
        running = 0

        async def reply(incoming):
            nonlocal running
            running += 1
            try:
                turns = int(incoming.path.rpartition("/")[2])
                for _ in range(turns):
                    await asyncio.sleep(0)
                parts = [incoming.body.first]
                if incoming.body.rest is not None:
                    parts += [part async for part in incoming.body.rest]
                size = sum(map(len, parts))
                return Answer(200, [], Body(f"{incoming.path} {size}".encode()))
            finally:
                running -= 1

        door = await open_door(FakeFlow(reply))
        raw, expected = self.encode(requests)
        reader, writer = await asyncio.open_connection("127.0.0.1", door.port)
        try:
            for piece in pieces(raw, cuts):
                writer.write(piece)
                await asyncio.sleep(0)
            answers = expected[: len(expected) - unread] if unread else expected
            for body in answers:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                assert await reader.readexactly(length) == body, body
        finally:
            writer.transport.abort()
        with suppress(ConnectionError):
            await writer.wait_closed()
        while running or door.connections:
            await asyncio.sleep(0.001)
        await door.close()

    def encode(self, requests):
        """Return the requests' bytes, and the bodies of their answers."""
        raw, expected = b"", []
        for number, (kind, size, turns) in enumerate(requests):
            path = f"/{number}/{turns}"
            if kind == "GET":
                size = 0
                raw += get(path)
            elif kind == "POST":
                raw += post(path, b"b" * size) if size else get(path)
            else:
                coded = b"%x\r\n%b\r\n" % (size, b"c" * size) if size else b""
                head = [("Transfer-Encoding", "chunked")]
                raw += request(path, "PUT", head, close=False) + coded + b"0\r\n\r\n"
            expected.append(f"{path} {size}".encode())
        return raw, expected


def pieces(raw, cuts):
    """Yield pieces of the given sizes, then the rest."""
    for size in cuts:
        yield raw[:size]
        raw = raw[size:]
    yield raw
