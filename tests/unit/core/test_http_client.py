"""Tests of client connections without a server."""

import asyncio
import gc
import itertools
import unittest
from unittest import mock

from papayabay_core.http.client import MAX_UNREAD_ANSWERS, ClientConnection
from papayabay_core.settings import LimitSettings

FIELD = b"x: 1\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SEGMENTS = 1_000
ENDLESS = {
    "blank lines": (b"", b"\r\n" * 50),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 4),
    "reason phrase": (b"HTTP/1.1 200 ", b"a" * 100),
    "field name": (b"HTTP/1.1 200 OK\r\n", b"a" * 100),
    "field value": (b"HTTP/1.1 200 OK\r\nx: ", b"a" * 100),
    "field value of an interim answer": (b"HTTP/1.1 103 X\r\nx: ", b"a" * 100),
    "chunk size": (CHUNKED, b"0" * 100),
    "chunk extension": (CHUNKED + b"5;a=", b"a" * 100),
    "trailer": (CHUNKED + b"2\r\nok\r\n0\r\nx: ", b"a" * 100),
}
"""The beginning of an answer, and bytes that never end it."""


class ClientConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connection = ClientConnection(LimitSettings(), lambda connection: None)
        self.connection.connection_made(mock.Mock())
        self.connection.start_request(bodiless=False)

    async def test_number_of_fields_is_limited(self):
        """Guards against a target that fills the memory with fields."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        for data in (
            [b"HTTP/1.1 200 OK\r\n" + FIELD * 300 + b"\r\n"],
            [b"HTTP/1.1 200 OK\r\n", *[FIELD * 10] * 30],
            [chunked, *[FIELD * 10] * 30],
        ):
            with self.subTest(data=data[0]):
                await self.asyncSetUp()
                for part in data:
                    self.connection.data_received(part)
                self.assertTrue(self.connection.unusable)
                self.assertTrue(self.connection.transport.abort.called)
                with self.assertRaises(ConnectionError):
                    await self.connection.receive()

    async def test_bytes_that_never_end_an_answer_are_limited(self):
        """Guards against a faulty target whose answer grows without end."""
        header_bytes = LimitSettings().header_bytes
        for name, (start, part) in ENDLESS.items():
            with self.subTest(name):
                await self.asyncSetUp()
                answer = self.connection.receive()
                self.connection.data_received(start)
                received = 0
                for _ in range(SEGMENTS):
                    if self.connection.unusable:
                        break
                    self.connection.data_received(part)
                    received += len(part)
                self.assertLessEqual(received, header_bytes + len(part))
                self.assertTrue(self.connection.transport.abort.called)
                with self.assertRaises(ConnectionError):
                    await answer

    async def test_status_out_of_range_fails_the_wait_at_once(self):
        """Guards against an answer with no HTTP status, or a wait for one."""
        framings = (
            b"Content-Length: 2\r\n\r\nok",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            b"\r\nok",
            b"Content-Length: 0\r\n\r\n",
        )
        statuses = (b"000", b"001", b"099", b"600", b"999")
        for status, framing in itertools.product(statuses, framings):
            with self.subTest(status=status, framing=framing):
                await self.asyncSetUp()
                answer = self.connection.receive()
                head = b"HTTP/1.1 " + status + b" OK\r\n"
                self.connection.data_received(head + framing)
                self.assertTrue(answer.done())
                self.assertIsInstance(answer.exception(), ConnectionError)
                self.assertFalse(self.connection.reusable)

    async def test_answers_that_nobody_waits_for_are_limited(self):
        """Guards against a faulty target that sends answers without end."""
        for name, parts in (
            ("segments of one answer", [ANSWER] * SEGMENTS),
            ("one segment", [ANSWER * SEGMENTS]),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                answer = self.connection.receive()
                for part in parts:
                    self.connection.data_received(part)
                self.assertLessEqual(len(self.connection.received), MAX_UNREAD_ANSWERS)
                self.assertTrue(self.connection.transport.abort.called)
                self.assertEqual((await answer).payload.read_all_nowait(), b"ok")

    async def test_bytes_after_a_last_answer_close_the_connection(self):
        """Guards against reading all that follows the last answer."""
        answer = self.connection.receive()
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
        self.connection.data_received(head + b"ok")
        self.assertFalse(self.connection.transport.abort.called)
        self.connection.data_received(b"a" * 100)
        self.assertTrue(self.connection.transport.abort.called)
        self.assertEqual((await answer).payload.read_all_nowait(), b"ok")

    async def test_long_bodies_in_small_chunks_are_not_limited(self):
        """Guards against a limit that counts the framing of a sound answer."""
        answer = self.connection.receive()
        self.connection.data_received(CHUNKED)
        for _ in range(SEGMENTS):
            self.connection.data_received(b"1;extension=%s\r\n" % (b"a" * 100))
            self.connection.data_received(b"b\r\n")
        self.connection.data_received(b"0\r\n\r\n")
        message = await answer
        self.assertTrue(message.payload.complete)
        self.assertEqual(message.payload.received_bytes, SEGMENTS)

    async def test_wait_ends_after_its_time_and_no_later_wait_does(self):
        """Guards against the timer of one request that ends another's wait."""
        with self.assertRaises(TimeoutError):
            await self.connection.receive(0.001)
        first = self.connection.receive(0.01)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.connection.data_received(answer)
        self.assertEqual((await first).status, 200)
        second = self.connection.receive()
        await asyncio.sleep(0.02)
        self.assertFalse(second.done())
        self.connection.data_received(answer)
        self.assertEqual((await second).status, 200)

    async def test_failure_of_a_cancelled_reader_is_not_logged(self):
        """Guards against an error line for each caller that leaves."""
        errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        waiter = self.connection.receive(1.0)
        self.connection.connection_lost(None)
        self.assertTrue(waiter.done())
        del waiter
        gc.collect()
        self.assertEqual(errors, [])
