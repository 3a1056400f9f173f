"""Links on which nothing comes any more."""

import asyncio
import dataclasses
from unittest import TestCase

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.settings import TimingSettings
from papayabay_daemon._internal.links.silence import SilenceWatch
from tests.unit.daemon.links_support import (
    BOUND,
    LinksTestCase,
    make_call,
    make_links,
    read_all,
)


class Relay:
    """Forwards one port to another until it is told to be silent."""

    def __init__(self, port):
        self.target = port
        self.silent = False
        self.connections = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self.connections += [writer, far_writer]
        await asyncio.gather(
            self.forward(reader, far_writer), self.forward(far_reader, writer)
        )

    async def forward(self, reader, writer):
        silent = self.silent
        try:
            while data := await reader.read(65_536):
                if not (self.silent and not silent):
                    writer.write(data)
        except ConnectionError:
            pass

    async def close(self):
        self.server.close()
        for writer in self.connections:
            writer.close()


class SilentLinkTests(LinksTestCase):
    async def asyncSetUp(self):
        self.a = await self.started(
            make_links("a", link_heartbeat_ms=40, link_silence_ms=200)
        )
        self.b = await self.started(make_links("b"))
        self.relay = Relay(self.b.local.link_port)
        port = await self.relay.start()
        self.addAsyncCleanup(self.relay.close)
        self.peer = dataclasses.replace(self.b.local, link_port=port)
        self.started_calls = asyncio.Queue()
        self.serve(self.stuck_or_echo)

    async def stuck_or_echo(self, call, peer):
        self.started_calls.put_nowait(call.path)
        if call.path == "/stuck":
            await asyncio.Event().wait()
        body = Body(b"first", self.endless()) if call.path == "/body" else Body()
        return Answer(200, [], body)

    async def endless(self):
        yield b"second"
        await asyncio.Event().wait()

    async def test_silent_link_is_replaced(self):
        """Calls on a forgotten connection end, and later ones go through.

        Symptom: calls hung until their lifetime ended. Sequence: a middlebox
        forgets a connection; writes succeed and nothing returns. Cause: TCP
        tells of it after minutes only.
        """
        streamed = await self.a.call(self.peer, make_call("/body"))
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        async with asyncio.timeout(BOUND):
            while await self.started_calls.get() != "/stuck":
                pass
            self.relay.silent = True
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            with self.assertRaises(CallError):
                await read_all(streamed.body)
            answer = await self.a.call(self.peer, make_call("/after"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.a.counters.links_silent, 1)
        self.assertEqual(self.a.counters.links_opened, 2)


class DoubtTests(SilentLinkTests):
    """Links that may be silent, before they are given up."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        timing = {"link_heartbeat_ms": 20, "link_doubt_ms": 100}
        self.a = await self.started(make_links("a", link_silence_ms=1_500, **timing))
        self.doubts = asyncio.Queue()
        self.a.on_unresponsive(lambda *doubt: self.doubts.put_nowait(doubt))

    async def test_a_silent_link_is_in_doubt_until_it_is_given_up(self):
        """A quarter of the calls of a service hung for two seconds.

        One of its four machines goes dark. Its links are given up after 2 s,
        as that leaves the ends of their calls unknown, and until then each
        fourth call was sent there all the same.
        """
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        async with asyncio.timeout(BOUND):
            await self.started_calls.get()
            self.relay.silent = True
            self.assertEqual(await self.doubts.get(), ("b", True))
            self.assertFalse(stuck.done())
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            self.assertEqual(await self.doubts.get(), ("b", False))

    async def test_a_doubt_outlasts_the_link_that_is_given_up(self):
        """Calls went on to a machine without power, and waited a second each.

        Sequence: a machine goes dark; after 0.6 s its link is in doubt and
        calls go elsewhere; after 2 s the link is given up. Cause: the doubt
        ended with the link, long before anybody declared the machine dead.
        """
        async with asyncio.timeout(BOUND):
            await self.a.call(self.peer, make_call("/"))
            stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
            while await self.started_calls.get() != "/stuck":
                pass
            self.relay.silent = True
            self.relay.server.close()
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            self.assertEqual(await self.doubts.get(), ("b", True))
            await self.assert_kind(
                ErrorKind.LINK_UNAVAILABLE, self.a.call(self.peer, make_call("/"))
            )
            self.assertTrue(self.doubts.empty())
            self.relay.silent = False
            self.relay.server = await asyncio.start_server(
                self.relay.accept, "127.0.0.1", self.peer.link_port
            )
            self.assertEqual(await self.doubts.get(), ("b", False))
            await self.a.call(self.peer, make_call("/"))

    async def test_a_peer_that_answers_heartbeats_is_not_doubted(self):
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        pongs = asyncio.Queue()
        async with asyncio.timeout(BOUND):
            await self.started_calls.get()
            link = self.a.live_link("b")
            receive = link.receivers["pong"]
            link.receivers["pong"] = lambda stamp: (receive(stamp), pongs.put_nowait(1))
            for _ in range(4):
                await pongs.get()
        self.assertTrue(self.doubts.empty())
        stuck.cancel()


class SilenceWatchTests(TestCase):
    def test_own_pause_keeps_links(self):
        """A paused daemon does not cut its healthy links.

        Symptom: after a pause all calls of a daemon were `unknown`.
        Sequence: the process stands still for longer than the silence
        bound, then its heartbeat timer runs. Cause: the peers' frames were
        still unread, and the peers were taken for silent.
        """
        timing = TimingSettings(link_heartbeat_ms=500, link_silence_ms=2_000)
        watch = SilenceWatch(timing, 0.0)
        self.assertFalse(watch.is_silent(0.5, 0.0))
        self.assertFalse(watch.is_silent(100.0, 0.4))
        self.assertTrue(watch.is_silent(100.5, 0.4))

    def test_own_pause_keeps_all_links_that_are_looked_at_together(self):
        """A paused daemon kept one of its links and cut the others.

        All links are looked at in one turn. Cause: the first look noted its
        time, so that the next seemed to come without a pause before it.
        """
        timing = TimingSettings(link_heartbeat_ms=500, link_silence_ms=2_000)
        watch = SilenceWatch(timing, 0.0)
        looks = [watch.is_silent(100.0, 0.4) for _ in range(3)]
        self.assertEqual(looks, [False, False, False])
        self.assertTrue(watch.is_silent(100.5, 0.4))

    def test_silence(self):
        watch = SilenceWatch(TimingSettings(), 0.0)
        beats = [watch.is_silent(beat / 2, 0.0) for beat in range(1, 5)]
        self.assertEqual(beats, [False, False, False, True])
