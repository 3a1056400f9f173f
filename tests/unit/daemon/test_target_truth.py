"""Which calls count as run, as not run and as unknown by a target's answer."""

import asyncio
import socket

from papayabay_core.calls import Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.http.payload import PayloadBroken
from tests.unit.daemon.door_fakes import bounded, call
from tests.unit.daemon.target_client_support import (
    OK,
    ClientTestCase,
    endless,
    replying,
    silent,
)

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EffectTests(ClientTestCase):
    async def test_refused_connection_was_not_run(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            self.announce(unused.getsockname()[1])
            for _ in range(3):
                await self.fails(ErrorKind.TARGET_UNREACHABLE)
        self.assertIsNone(self.registry.current)

    async def test_unannounced_target_gets_no_calls(self):
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

    async def test_endless_bytes_that_are_no_answer_end_the_call(self):
        """Guards against a target that keeps a call and sends without end."""
        for name, start, part in (
            ("blank lines", b"", b"\r\n" * 1_000),
            ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            ("field", b"HTTP/1.1 200 OK\r\nx: ", b"a" * 1_000),
            ("chunk extension", CHUNKED + b"5;a=", b"a" * 1_000),
            ("trailer", CHUNKED + b"0\r\nx: ", b"a" * 1_000),
        ):
            with self.subTest(name):
                target = await self.open(endless(start, part))
                await self.fails(ErrorKind.TARGET_LOST)
                await bounded(target.gone.wait())

    async def test_lost_request_is_not_retried_on_a_new_connection(self):
        """Guards against a call that runs twice after a connection was lost.

        The target reads a request on a reused connection and closes it without
        an answer. Many HTTP clients then retry some methods on their own.
        """
        replies = [OK, None]

        async def behave(reader, writer):
            reply = replies.pop(0)
            writer.write(reply) if reply else writer.close()

        target = await self.open(behave)
        await self.run_call()
        await self.fails(ErrorKind.TARGET_LOST)
        self.assertEqual(len(target.requests), 2)

    async def test_shed_status_is_a_refusal_only_when_announced(self):
        data = b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
        await self.open(replying(data))
        self.assertEqual((await self.run_call()).status, 503)
        target = await self.open(replying(data), shed_status=503)
        error = await self.fails(ErrorKind.TARGET_SHED)
        self.assertEqual(error.retry_after_ms, 2000)
        await self.fails(ErrorKind.TARGET_SHED, call(request_id="r2"))
        self.assertEqual((len(target.requests), target.accepted), (2, 2))

    async def test_refusal_with_the_token_of_its_call_keeps_the_connection(self):
        """Guards against a new connection after each refusal."""
        data = b"HTTP/1.1 503 Busy\r\nPapayabay-Call: t1\r\nContent-Length: 0\r\n\r\n"
        target = await self.open(replying(data), shed_status=503)
        await self.fails(ErrorKind.TARGET_SHED)
        await self.fails(ErrorKind.TARGET_SHED, call(request_id="r2"))
        self.assertEqual((len(target.requests), target.accepted), (2, 1))

    async def test_refusal_passed_on_is_not_the_targets_answer(self):
        """Guards against a refusal that is stored as the answer of its key.

        The service that a target calls refuses, and the target passes that on
        with `not-run`. If this counted as an answer, the idempotency gate
        would store it, and each retry would get the same refusal even after
        the overload.
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

    async def test_deadline_exceeded_before_sending(self):
        target = await self.open(silent)
        await self.fails(ErrorKind.EXPIRED_UNSENT, call(life=-1))
        self.assertEqual(target.requests, [])

    async def test_deadline_exceeded_while_waiting_for_a_connection(self):
        target = await self.open(silent, connections=1)
        first = asyncio.create_task(self.client.run(call(), "t0"))
        await bounded(target.arrived.wait())
        await self.fails(ErrorKind.EXPIRED_UNSENT, call(life=0.05))
        first.cancel()
        self.assertEqual(len(target.requests), 1)

    async def test_deadline_exceeded_at_the_target_closes_and_cancels(self):
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
        """Guards against the answer "not run" to a request sent in part.

        The body's source fails when the target has received part of it. The
        kind of that error states that nothing was run.
        """

        async def chunks():
            yield b"part"
            raise CallError(ErrorKind.BODY_TOO_LARGE)

        target = await self.open(silent)
        sent = call("POST", body=Body(b"first", chunks()))
        await self.fails(ErrorKind.TARGET_LOST, sent)
        await bounded(target.gone.wait())

    async def test_answer_stream_that_breaks_off_raises(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"
        proceed = asyncio.Event()

        async def behave(reader, writer):
            writer.write(head + b"a" * 2000)
            await proceed.wait()
            writer.close()

        await self.open(behave)
        answer = await self.run_call()
        proceed.set()
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
