import asyncio
import socket
import struct
import unittest
import unittest.mock

from papayabay_core.calls import Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.http.payload import PayloadBroken
from papayabay_daemon._internal.target import (
    Announcement,
    HttpTargetClient,
    TargetRegistry,
)
from tests.unit.daemon.door_fakes import RawTarget, bounded, call, settings


def replying(data, close=False):
    async def behave(reader, writer):
        writer.write(data)
        if close:
            writer.close()

    return behave


async def silent(reader, writer):
    await reader.read()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.registry = TargetRegistry()
        self.client = HttpTargetClient(settings(inline_body_bytes=1024), self.registry)
        self.addAsyncCleanup(self.client.close)

    async def open(self, behave, **changes):
        target = RawTarget(behave)
        await self.enterAsyncContext(target)
        self.announce(target.port, **changes)
        return target

    def announce(self, port, **changes):
        values = {"service": "svc", "host": "127.0.0.1", "port": port, "slots": 4}
        values["connections"] = 4
        self.registry.announce(Announcement(**{**values, **changes}))

    async def run_call(self, made=None):
        return await bounded(self.client.run(made or call(), "t1"))

    async def fails(self, kind, made=None):
        with self.assertRaises(CallError) as caught:
            await self.run_call(made)
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception


class UnframedTests(ClientTestCase):
    """Answers without a length, which end with their connection."""

    async def test_one_that_is_closed_is_whole(self):
        await self.open(replying(b"HTTP/1.1 200 OK\r\n\r\nall", close=True))
        answer = await self.run_call()
        self.assertEqual(answer.body.first, b"all")

    async def test_one_that_is_reset_is_not(self):
        """A caller got half an answer as a whole one.

        The target sends head and a part of a body without a length, and its
        connection is reset. The HTTP library takes any end of the connection
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


class PassingTests(ClientTestCase):
    async def test_request_and_answer(self):
        data = (
            b"HTTP/1.1 203 O\r\nSet-Cookie: a\r\nX-q: \xc3\xa9\xff\r\nSet-Cookie: b\r\n"
            b"Papayabay-Effect: not-run\r\nContent-Encoding: gzip\r\n"
            b"Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 3\r\n\r\nzip"
        )
        target = await self.open(replying(data))
        made = call("GET", "/a%2F//..?q=%20", [("X-Odd-CASE", "é\udcff"), ("x-a", "1")])
        answer = await self.run_call(made)
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

    async def test_connection_is_used_again(self):
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
        got = bytearray()

        async def echo(reader, writer):
            while size := int(await reader.readline(), 16):
                got.extend(await reader.readexactly(size))
                await reader.readline()
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(got))
            writer.write(got)

        async def parts():
            for _ in range(50):
                yield b"b" * 4000

        await self.open(echo)
        answer = await self.run_call(call("POST", body=Body(b"a" * 9, parts())))
        self.assertIn(("Content-Length", "200009"), answer.headers)
        body = answer.body.first + b"".join([part async for part in answer.body.rest])
        self.assertEqual(body, b"a" * 9 + b"b" * 200_000)
        self.assertEqual(bytes(got), body)
        self.assertEqual(self.client.pool.users, 0)


class TruthTests(ClientTestCase):
    async def test_refused_connection_was_not_run(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            self.announce(unused.getsockname()[1])
            for _ in range(3):
                await self.fails(ErrorKind.TARGET_UNREACHABLE)
        self.assertIsNone(self.registry.current)

    async def test_unannounced_target_gets_nothing(self):
        await self.fails(ErrorKind.TARGET_UNREACHABLE)

    async def test_lost_answers_are_unknown(self):
        cases = {
            "closed before the answer": b"",
            "closed within the head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "closed within the body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx",
            "not HTTP": b"garbage\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                await self.open(replying(data, close=True))
                await self.fails(ErrorKind.TARGET_LOST)

    async def test_lost_request_is_not_repeated_on_a_new_connection(self):
        """An order ran twice after an idle connection was lost.

        The target reads a request on a kept connection and dies before it
        answers. HTTP clients repeat some methods by themselves then.
        """
        replies = [OK, None]

        async def behave(reader, writer):
            reply = replies.pop(0)
            writer.write(reply) if reply else writer.close()

        target = await self.open(behave)
        await self.run_call()
        await self.fails(ErrorKind.TARGET_LOST)
        self.assertEqual(len(target.requests), 2)

    async def test_shed_status_is_a_refusal_only_when_promised(self):
        data = b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
        await self.open(replying(data))
        self.assertEqual((await self.run_call()).status, 503)
        target = await self.open(replying(data), shed_status=503)
        error = await self.fails(ErrorKind.TARGET_SHED)
        self.assertEqual(error.retry_after_ms, 2000)
        await self.fails(ErrorKind.TARGET_SHED)
        self.assertEqual((len(target.requests), target.accepted), (2, 1))

    async def test_refusal_from_below_is_not_the_targets_answer(self):
        """A refused order could never be repeated with its key.

        Symptom: every repeat of a refused order got the same refusal, long
        after the overload. Sequence: the service below refused, the target
        passed that on, and the gate kept it as the key's first answer.
        Cause: a refusal that says `not-run` was taken for an answer.
        """
        data = (
            b"HTTP/1.1 503 Busy\r\nPapayabay-Effect: not-run\r\n"
            b"Papayabay-Retry-After-Ms: 340\r\nRetry-After: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await self.open(replying(data))
        error = await self.fails(ErrorKind.REFUSED_BELOW)
        self.assertEqual(error.retry_after_ms, 340)
        self.assertIs(error.answer.effect, Effect.NOT_RUN)

    async def test_success_that_claims_not_run_is_an_answer(self):
        data = (
            b"HTTP/1.1 200 OK\r\nPapayabay-Effect: not-run\r\nContent-Length: 0\r\n\r\n"
        )
        await self.open(replying(data))
        self.assertEqual((await self.run_call()).status, 200)

    async def test_life_that_ended_before_sending(self):
        target = await self.open(silent)
        await self.fails(ErrorKind.EXPIRED_UNSENT, call(life=-1))
        self.assertEqual(target.requests, [])

    async def test_life_that_ends_while_waiting_for_a_connection(self):
        target = await self.open(silent, connections=1)
        first = asyncio.create_task(self.client.run(call(), "t0"))
        await bounded(target.arrived.wait())
        await self.fails(ErrorKind.EXPIRED_UNSENT, call(life=0.05))
        first.cancel()
        self.assertEqual(len(target.requests), 1)

    async def test_life_that_ends_at_the_target_closes_and_cancels(self):
        notices = await self.open(replying(OK))
        self.client.notices.post = lambda item, token: notices.requests.append(token)
        target = await self.open(silent)
        await self.fails(ErrorKind.EXPIRED, call(life=0.1))
        await bounded(target.gone.wait())
        self.assertEqual(notices.requests, ["t1"])

    async def test_cancellation_reaches_the_cancel_path(self):
        posted = asyncio.Event()
        target = await self.open(silent, cancel_path="/cancel/{call}")

        async def behave(reader, writer):
            if target.requests[-1].startswith("POST /cancel/t%2F1 "):
                posted.set()
            await silent(reader, writer)

        target.behave = behave
        running = asyncio.create_task(self.client.run(call(), "t/1"))
        await bounded(target.arrived.wait())
        running.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await running
        await bounded(posted.wait())

    async def test_request_body_that_breaks_off_is_unknown(self):
        """A caller was told "not run" of a request that was begun.

        The body's source fails with an error whose table row says that
        nothing was run, when parts of it are at the target already.
        """

        async def parts():
            yield b"part"
            raise CallError(ErrorKind.BODY_TOO_LARGE)

        target = await self.open(silent)
        made = call("POST", body=Body(b"first", parts()))
        await self.fails(ErrorKind.TARGET_LOST, made)
        await bounded(target.gone.wait())

    async def test_answer_stream_that_breaks_off_raises(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
        go = asyncio.Event()

        async def behave(reader, writer):
            writer.write(head + b"a" * 2000)
            await go.wait()
            writer.close()

        await self.open(behave)
        answer = await self.run_call()
        go.set()
        with self.assertRaises(PayloadBroken):
            await bounded(self.drain(answer.body.rest))
        self.assertEqual(self.client.pool.users, 0)

    async def test_closing_an_unread_stream_closes_its_connection(self):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + b"a" * 2000
        target = await self.open(replying(data))
        answer = await self.run_call()
        await answer.body.rest.aclose()
        await bounded(target.gone.wait())
        self.assertEqual(self.client.pool.users, 0)

    async def drain(self, stream):
        async for _ in stream:
            pass


class PoolTests(ClientTestCase):
    async def test_connections_that_end_at_once_take_no_place(self):
        """A target got no more calls, though it was well again.

        Sequence: it resets each connection as soon as it is made, for a
        while. Cause: connections that had ended were counted as open, until
        there seemed to be as many as it takes.
        """
        self.announce(9, connections=2)
        pool = self.client.pool_of(self.registry.current)
        loop = asyncio.get_running_loop()

        async def connect(factory, host, port):
            connection = factory()
            connection.connection_made(unittest.mock.Mock())
            connection.connection_lost(None)
            return None, connection

        with unittest.mock.patch.object(loop, "create_connection", connect):
            for _ in range(4):
                with self.assertRaises(ConnectionResetError):
                    await bounded(pool.connect())
        self.assertEqual((len(pool.open), pool.dialling), (0, 0))

    async def test_new_incarnation_does_not_cut_off_calls_under_way(self):
        go = asyncio.Event()

        async def slow(reader, writer):
            await go.wait()
            writer.write(OK)

        old = await self.open(slow)
        running = asyncio.create_task(self.client.run(call(), "t0"))
        await bounded(old.arrived.wait())
        old_pool = self.client.pool
        await self.open(replying(OK))
        await self.run_call()
        go.set()
        self.assertEqual((await bounded(running)).body.first, b"ok")
        await bounded(old.gone.wait())
        self.assertTrue(old_pool.closed)

    async def test_changed_promises_hold_for_a_kept_pool(self):
        data = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        target = await self.open(replying(data))
        await self.run_call()
        pool = self.client.pool
        self.announce(target.port, shed_status=503)
        await self.fails(ErrorKind.TARGET_SHED)
        self.assertIs(self.client.pool, pool)
