"""Calls, bodies and cancellation over real links on loopback."""

import asyncio
import random

from papayabay_core.calls import Answer, Body, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from tests.unit.daemon.links_support import (
    BOUND,
    LinksTestCase,
    echo_path,
    make_call,
)


class CallTests(LinksTestCase):
    async def test_fields_survive(self):
        seen = []

        async def handler(call, peer):
            seen.append((call, peer))
            load = LoadState(1, 2, 3, 4.5, 5.5, -1)
            return Answer(
                201, call.headers, Body(b"x"), None, credits_left=1, load=load
            )

        self.serve(handler)
        sent = make_call("/a?b", b"body")
        answer = await self.a.call(self.peer, sent)
        got, peer = seen[0]
        self.assertEqual(peer, "a")
        self.assertAlmostEqual(got.expires_at, sent.expires_at, delta=1.0)
        got.expires_at = sent.expires_at
        self.assertEqual(got, sent)
        self.assertEqual(answer.headers, sent.headers)
        self.assertEqual(answer.load, LoadState(1, 2, 3, 4.5, 5.5, -1))
        self.assertEqual((answer.status, answer.credits_left), (201, 1))

    async def test_interleaved_calls_get_their_own_answers(self):
        rng = random.Random(7)
        waiting = []

        async def handler(call, peer):
            turn = asyncio.get_running_loop().create_future()
            waiting.append(turn)
            if len(waiting) == 1_000:
                rng.shuffle(waiting)
                for number, other in enumerate(waiting):
                    asyncio.get_running_loop().call_later(number / 1e5, release, other)
            await turn
            return Answer(200, [], Body(call.path.encode() * (len(call.path) * 50)))

        def release(turn):
            turn.set_result(None)

        self.serve(handler)
        paths = [f"/{number}" for number in range(1_000)]
        async with asyncio.timeout(BOUND):
            answers = await asyncio.gather(
                *(self.a.call(self.peer, make_call(path)) for path in paths)
            )
        for path, answer in zip(paths, answers, strict=True):
            self.assertEqual(answer.body.first, path.encode() * (len(path) * 50))
        self.assertEqual(self.a.counters.links_opened, 1)

    async def test_cancel_reaches_handler_and_late_answer_is_dropped(self):
        """An answer to an ended call is dropped.

        Symptom: a later call got an earlier call's answer. Sequence: a call
        is cancelled; its handler answers all the same. Cause: an identifier
        that is still known, or known again, when the answer comes.
        """
        running, cancelled = asyncio.Event(), asyncio.Queue()

        async def handler(call, peer):
            if call.path == "/second":
                return Answer(200, [], Body(b"second"))
            try:
                running.set()
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.put_nowait(call.path)
                return Answer(200, [], Body(b"late"))

        self.serve(handler)
        task = asyncio.create_task(self.a.call(self.peer, make_call("/first")))
        async with asyncio.timeout(BOUND):
            await running.wait()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assertEqual(await cancelled.get(), "/first")
            answer = await self.a.call(self.peer, make_call("/second"))
        self.assertEqual(answer.body.first, b"second")
        self.assertTrue(cancelled.empty())
        self.assertEqual(self.a.counters.late_answers, 1)
        self.assertEqual(self.b.counters.calls_cancelled, 1)

    async def test_handler_errors_become_answers(self):
        async def handler(call, peer):
            if call.path == "/full":
                raise CallError(ErrorKind.OVERLOADED, "", 70)
            if call.path == "/nul":
                return Answer(200, [("a", "b\0c")])
            raise RuntimeError("fault of the test")

        self.serve(handler)
        full = await self.a.call(self.peer, make_call("/full"))
        self.assertEqual((full.kind, full.retry_after_ms), (ErrorKind.OVERLOADED, 70))
        for path in ("/nul", "/fault"):
            answer = await self.a.call(self.peer, make_call(path))
            self.assertEqual(answer.kind, ErrorKind.INTERNAL)

    async def test_nothing_sent(self):
        await self.b.close()
        for _ in range(2):
            call = self.a.call(self.peer, make_call())
            await self.assert_kind(ErrorKind.LINK_UNAVAILABLE, call)
        self.assertEqual(self.a.counters.dials_failed, 1)
        self.assertEqual(self.a.counters.calls_unsent, 2)

    async def test_expired_call_is_not_sent(self):
        expired = self.a.call(self.peer, make_call(lifetime=-1))
        await self.assert_kind(ErrorKind.EXPIRED_UNSENT, expired)
        self.assertEqual(self.a.counters.calls_sent, 0)

    async def test_handlers_are_cancelled_once(self):
        """A handler that cleans up after its cancel is left to finish.

        Symptom: a slot was never given back. Sequence: a call is cancelled,
        its handler cleans up, and meanwhile the link ends. Cause: a second
        cancellation in the middle of the cleaning up.
        """
        running, cleaning = asyncio.Event(), asyncio.Event()
        go_on, link_ended = asyncio.Event(), asyncio.Event()
        ends = asyncio.Queue()

        async def handler(call, peer):
            running.set()
            try:
                await asyncio.Event().wait()
            finally:
                cleaning.set()
                try:
                    await go_on.wait()
                    ends.put_nowait("cleaned up")
                except asyncio.CancelledError:
                    ends.put_nowait("cut off")

        self.serve(handler)
        stuck = asyncio.create_task(self.a.call(self.peer, make_call()))
        async with asyncio.timeout(BOUND):
            await running.wait()
            heart = self.b.live_link("a").heart
            heart.add_done_callback(lambda heart: link_ended.set())
            stuck.cancel()
            await cleaning.wait()
            await self.a.close()
            await link_ended.wait()
            # Lets a second cancellation, if there is one, arrive first.
            await asyncio.sleep(0)
            go_on.set()
            self.assertEqual(await ends.get(), "cleaned up")

    async def test_link_end_cancels_handlers(self):
        running, ended = asyncio.Event(), asyncio.Event()

        async def handler(call, peer):
            running.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        self.serve(handler)
        stuck = asyncio.create_task(self.a.call(self.peer, make_call()))
        async with asyncio.timeout(BOUND):
            await running.wait()
            await self.a.close()
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            await ended.wait()

    async def test_retired_link_finishes_its_calls(self):
        """A link that is given up for being idle cuts off no call.

        Symptom: a call was lost with a link that was closed as unused.
        Sequence: one end closes while the other's call is on the way.
        Cause: closing without having heard that the peer sends no more.
        """
        go_on, closed = asyncio.Event(), asyncio.Event()

        async def handler(call, peer):
            if call.path == "/slow":
                await go_on.wait()
            return Answer(200)

        self.serve(handler)
        await self.a.call(self.peer, make_call())
        old = self.a.live_link("b")
        slow = asyncio.create_task(self.a.call(self.peer, make_call("/slow")))
        async with asyncio.timeout(BOUND):
            await asyncio.sleep(0)
            old.heart.add_done_callback(lambda heart: closed.set())
            old.retire()
            await self.a.call(self.peer, make_call())
            self.assertFalse(old.closed)
            go_on.set()
            self.assertEqual((await slow).status, 200)
            await closed.wait()
        self.assertEqual(self.a.counters.links_opened, 2)
        self.assertEqual(self.a.counters.links_lost, 0)
        self.assertEqual(self.a.counters.calls_lost, 0)

    async def test_full_socket_refuses_new_calls(self):
        """A call that could not be written was not run.

        Symptom: calls to a peer that stopped reading ended as `unknown`.
        Sequence: the socket is full when the call comes. Cause: the call
        was put behind the data that nobody reads.
        """
        self.serve(echo_path)
        await self.a.call(self.peer, make_call())
        self.a.live_link("b").pause_writing()
        call = self.a.call(self.peer, make_call())
        await self.assert_kind(ErrorKind.LINK_UNAVAILABLE, call)
        self.assertEqual(self.b.counters.calls_received, 1)

    async def test_control_requests_and_leaving(self):
        left = asyncio.Queue()
        self.a.on_leaving(left.put_nowait)

        async def topic(payload, peer):
            return payload[::-1]

        self.b.handle_requests("turn", topic)
        async with asyncio.timeout(BOUND):
            self.assertEqual(await self.a.request(self.peer, "turn", b"ab", 5), b"ba")
            with self.assertRaises(ProtocolError):
                await self.a.request(self.peer, "none", b"", 5)
            await self.b.announce_leaving()
            self.assertEqual(await left.get(), "b")
