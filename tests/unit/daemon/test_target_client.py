"""The HTTP client of the target: framing, forwarding and its pool."""

import asyncio
import socket
import struct
import unittest
import unittest.mock

from papayabay_core.calls import Body
from papayabay_core.errors import ErrorKind
from tests.unit.daemon.door_fakes import bounded, call
from tests.unit.daemon.target_client_support import OK, ClientTestCase, replying


class UnframedTests(ClientTestCase):
    """Answers without a length, which end when the connection closes."""

    async def test_an_answer_ended_by_a_close_is_complete(self):
        await self.open(replying(b"HTTP/1.1 200 OK\r\n\r\nall", close=True))
        answer = await self.run_call()
        self.assertEqual(answer.body.first, b"all")

    async def test_an_answer_ended_by_a_reset_is_not_complete(self):
        """Guards against a partial answer that a caller gets as complete.

        The target sends the head and part of a body without a length; then the
        connection is reset. The HTTP parser takes any end of the connection
        for the end of such a body.
        """

        async def behave(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        await self.open(behave)
        await self.fails(ErrorKind.TARGET_LOST)


class ForwardingTests(ClientTestCase):
    async def test_request_and_answer(self):
        data = (
            b"HTTP/1.1 203 O\r\nSet-Cookie: a\r\nX-q: \xc3\xa9\xff\r\nSet-Cookie: b\r\n"
            b"Papayabay-Effect: not-run\r\nContent-Encoding: gzip\r\n"
            b"Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 3\r\n\r\nzip"
        )
        target = await self.open(replying(data))
        sent = call("GET", "/a%2F//..?q=%20", [("X-Odd-CASE", "é\udcff"), ("x-a", "1")])
        answer = await self.run_call(sent)
        cookies = [("Set-Cookie", "a"), ("X-q", "é\udcff"), ("Set-Cookie", "b")]
        self.assertEqual(answer.headers, [*cookies, ("Content-Encoding", "gzip")])
        self.assertEqual((answer.status, answer.body.first), (203, b"zip"))
        lines = target.requests[0].split("\r\n")
        self.assertEqual(lines[0], "GET /a%2F//..?q=%20 HTTP/1.1")
        self.assertEqual(lines[1:4], ["Host: svc", "X-Odd-CASE: é\udcff", "x-a: 1"])
        fields = dict(line.split(": ") for line in lines[4:] if line)
        self.assertLessEqual(int(fields.pop("Papayabay-Remaining-Ms")), 10_000)
        expected = {"Call": "t1", "Request": "r1", "Importance": "1", "Rank": "7"}
        expected |= {"Credits": "3", "Depth": "2"}
        wanted = {f"Papayabay-{key}": value for key, value in expected.items()}
        self.assertEqual(fields, wanted)

    async def test_connection_is_reused(self):
        target = await self.open(replying(OK))
        for _ in range(3):
            await self.run_call()
        self.assertEqual(target.accepted, 1)

    async def test_head_and_interim_answers(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
        await self.open(replying(interim + head))
        answer = await self.run_call(call("HEAD"))
        self.assertEqual(answer.headers, [("Content-Length", "99")])
        self.assertEqual(answer.body.first, b"")

    async def test_large_bodies_stream_both_ways(self):
        received = bytearray()

        async def echo(reader, writer):
            while size := int(await reader.readline(), 16):
                received.extend(await reader.readexactly(size))
                await reader.readline()
            await reader.readline()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(received)
            )
            writer.write(received)

        async def chunks():
            for _ in range(50):
                yield b"b" * 4000

        await self.open(echo)
        answer = await self.run_call(call("POST", body=Body(b"a" * 9, chunks())))
        self.assertIn(("Content-Length", "200009"), answer.headers)
        body = answer.body.first + b"".join([chunk async for chunk in answer.body.rest])
        self.assertEqual(body, b"a" * 9 + b"b" * 200_000)
        self.assertEqual(bytes(received), body)
        self.assertEqual(self.client.pool.users, 0)


class PoolTests(ClientTestCase):
    async def test_connections_that_are_reset_at_once_do_not_count_as_open(self):
        """Guards against a target that gets no calls after it has recovered.

        For a while, the target resets each connection as soon as it is made.
        If closed connections counted as open, the target's limit of
        connections would seem to be reached for good.
        """
        self.announce(9, connections=2)
        pool = self.client.pool_for(self.registry.current)
        loop = asyncio.get_running_loop()

        async def connect(factory, host, port):
            connection = factory()
            connection.connection_made(unittest.mock.Mock())
            connection.connection_lost(None)
            return None, connection

        with unittest.mock.patch.object(loop, "create_connection", connect):
            for _ in range(4):
                with self.assertRaises(ConnectionResetError):
                    await bounded(pool.connect("r1"))
        self.assertEqual((len(pool.open), pool.connecting), (0, 0))

    async def test_new_incarnation_does_not_cut_off_calls_in_flight(self):
        proceed = asyncio.Event()

        async def slow(reader, writer):
            await proceed.wait()
            writer.write(OK)

        old = await self.open(slow)
        running = asyncio.create_task(self.client.run(call(), "t0"))
        await bounded(old.arrived.wait())
        old_pool = self.client.pool
        await self.open(replying(OK))
        await self.run_call()
        proceed.set()
        self.assertEqual((await bounded(running)).body.first, b"ok")
        await bounded(old.gone.wait())
        self.assertTrue(old_pool.closed)

    async def test_a_changed_announcement_applies_to_the_kept_pool(self):
        data = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        target = await self.open(replying(data))
        await self.run_call()
        pool = self.client.pool
        self.announce(target.port, shed_status=503)
        await self.fails(ErrorKind.TARGET_SHED)
        self.assertIs(self.client.pool, pool)

    async def test_refusal_without_token_closes_its_connection(self):
        """Guards against a copy that is read as the refusal of a later call.

        The target runs the second call, and sends a copy of its refusal of the
        first one where the answer is expected.
        """
        refusal = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        refused_on = []

        async def behave(reader, writer):
            if not refused_on:
                refused_on.append(writer)
                writer.write(refusal)
                return
            if writer in refused_on:
                writer.write(refusal)
            writer.write(OK)

        target = await self.open(behave, shed_status=503)
        await self.fails(ErrorKind.TARGET_SHED)
        answer = await self.run_call(call(request_id="r2"))
        self.assertEqual((answer.status, target.accepted), (200, 2))

    async def test_late_copy_with_the_token_of_another_call_is_skipped(self):
        """Guards against a copy that is read as a later call's refusal."""
        refusal = b"HTTP/1.1 503 X\r\nPapayabay-Call: t%d\r\nContent-Length: 0\r\n\r\n"
        answers = [refusal % 1, refusal % 1 + OK]

        async def behave(reader, writer):
            writer.write(answers.pop(0))

        target = await self.open(behave, shed_status=503)
        await self.fails(ErrorKind.TARGET_SHED)
        sent = call(request_id="r2")
        answer = await bounded(self.client.run(sent, "t2"))
        self.assertEqual((answer.status, target.accepted), (200, 1))
        self.assertEqual(self.client.counters["stray_answers"], 1)
