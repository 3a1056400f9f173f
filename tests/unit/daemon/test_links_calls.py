"""Calls, cancellation and control requests over real links on loopback."""

import asyncio
import random

from papayabay_core.calls import Answer, Body, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from tests.unit.daemon.links_support import (
    TIMEOUT_SECONDS,
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answers = await asyncio.gather(
                *(self.a.call(self.peer, make_call(path)) for path in paths)
            )
        for path, answer in zip(paths, answers, strict=True):
            self.assertEqual(answer.body.first, path.encode() * (len(path) * 50))
        self.assertEqual(self.a.counters.links_opened, 1)

    async def test_cancel_reaches_handler_and_late_answer_is_dropped(self):
        """A later call got the answer of an earlier, cancelled call.

        The handler of a cancelled call answers all the same. The answer must
        be dropped: its identifier must neither be kept nor be reused.
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
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

    async def test_unreachable_peer_gives_link_unavailable(self):
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

    async def test_call_without_an_answer_expires(self):
        """A caller waited beyond its deadline for a peer that was stuck.

        The wait ends shortly after the deadline, the peer's handler is
        cancelled, and the link stays open for other calls.
        """
        cancelled = asyncio.Event()

        async def handler(call, peer):
            if call.path == "/quick":
                return Answer(200)
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        self.serve(handler)
        for connected in (False, True):
            cancelled.clear()
            self.assertEqual(self.a.live_link("b") is not None, connected)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                stuck = self.a.call(self.peer, make_call(lifetime=0.05))
                await self.assert_kind(ErrorKind.EXPIRED, stuck)
                await cancelled.wait()
        quick = await self.a.call(self.peer, make_call("/quick"))
        self.assertEqual(quick.status, 200)
        self.assertEqual(self.a.live_link("b").in_flight, 0)
        self.assertEqual(self.a.counters.links_opened, 1)

    async def test_handlers_are_cancelled_once(self):
        """A slot was never released after a call was cancelled.

        The link closed while the handler of a cancelled call was cleaning up,
        and a second cancellation interrupted the clean-up.
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await running.wait()
            heartbeats_ended = self.b.live_link("a").heartbeats_ended
            heartbeats_ended.add_done_callback(lambda _: link_ended.set())
            stuck.cancel()
            await cleaning.wait()
            await self.a.close()
            await link_ended.wait()
            # A second cancellation, if there is one, is delivered first.
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await running.wait()
            await self.a.close()
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            await ended.wait()

    async def test_retired_link_finishes_its_calls(self):
        """A call was lost when an idle link was closed.

        One end closed the link while a call of the other end was in transit.
        A link may close only after both ends have announced that they send
        no more calls.
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await asyncio.sleep(0)
            old.heartbeats_ended.add_done_callback(lambda _: closed.set())
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
        """Calls to a peer that stopped reading ended with effect `unknown`.

        The call was queued behind data that the peer never read. With a full
        write buffer it must fail unsent, so that it can run elsewhere.
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await self.a.request(self.peer, "turn", b"ab", 5), b"ba")
            with self.assertRaises(ProtocolError):
                await self.a.request(self.peer, "none", b"", 5)
            await self.b.announce_leaving()
            self.assertEqual(await left.get(), "b")
