"""Streamed bodies over real links on loopback."""

import asyncio
import random

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, ErrorKind
from tests.unit.daemon.links_support import (
    TIMEOUT_SECONDS,
    LinksTestCase,
    broken_parts,
    make_call,
    parts_of,
    read_all,
)

BODY_BYTES = 5 * 1024 * 1024


class BodyTests(LinksTestCase):
    async def test_slow_reader_does_not_block_small_calls(self):
        content = random.Random(3).randbytes(BODY_BYTES)
        go_on = asyncio.Event()
        half = asyncio.Event()

        async def handler(call, peer):
            if call.path == "/small":
                return Answer(200)
            half.set()
            await go_on.wait()
            got = await read_all(call.body)
            return Answer(200, [], Body(got[:10], parts_of(got[10:], 100_000)))

        self.serve(handler)
        body = Body(content)
        call = make_call("/large")
        call.body = body
        large = asyncio.create_task(self.a.call(self.peer, call))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await half.wait()
            for _ in range(20):
                await self.a.call(self.peer, make_call("/small"))
            go_on.set()
            answer = await large
            for _ in range(20):
                await self.a.call(self.peer, make_call("/small"))
            self.assertTrue(await read_all(answer.body) == content)
        self.assertEqual(self.a.status()[0]["in_flight"], 0)

    async def test_truncated_body_raises_in_its_reader(self):
        """Half a document was stored as if it were complete.

        The source of a body fails after its first part. The end of the parts
        must not be taken for the end of the body.
        """
        failed = asyncio.Queue()

        async def handler(call, peer):
            try:
                await read_all(call.body)
            except CallError as error:
                failed.put_nowait(error.kind)
            return Answer(200, [], Body(b"a", broken_parts(b"b")))

        self.serve(handler)
        call = make_call(body=b"a", rest=broken_parts(b"b"))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await self.a.call(self.peer, call)
            self.assertEqual(await failed.get(), ErrorKind.LINK_LOST)
        await self.assert_kind(ErrorKind.LINK_LOST, read_all(answer.body))

    async def test_unread_body_is_released(self):
        ended = asyncio.Event()

        async def endless():
            try:
                while True:
                    yield bytes(10_000)
            finally:
                ended.set()

        async def handler(call, peer):
            return Answer(200, [], Body(b"", endless()))

        self.serve(handler)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await self.a.call(self.peer, make_call())
            del answer
            await ended.wait()
        self.assertEqual(self.a.status()[0]["in_flight"], 0)
