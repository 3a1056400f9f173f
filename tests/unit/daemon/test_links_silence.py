"""Links whose peer stops responding while the connection stays open."""

import asyncio
import dataclasses
from unittest import TestCase

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.settings import TimingSettings
from papayabay_daemon._internal.links.liveness import LivenessDetector
from tests.unit.daemon.links_support import (
    TIMEOUT_SECONDS,
    LinksTestCase,
    make_call,
    make_links,
    read_all,
)


class Relay:
    """Forwards a port; drops data of older connections once `silent`."""

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
        """Calls hung until their deadline on a dead connection.

        A middlebox drops the state of a connection: writes succeed, nothing
        is received, and TCP reports the loss only after minutes. The calls
        must fail when the link times out, and later calls use a new link.
        """
        streamed = await self.a.call(self.peer, make_call("/body"))
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        async with asyncio.timeout(TIMEOUT_SECONDS):
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


class UnresponsivePeerTests(SilentLinkTests):
    """Peers that are unresponsive, before and after their link times out."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        timing = {"link_heartbeat_ms": 20, "link_doubt_ms": 100}
        self.a = await self.started(make_links("a", link_silence_ms=1_500, **timing))
        self.reports = asyncio.Queue()
        self.a.on_unresponsive(lambda *report: self.reports.put_nowait(report))

    async def test_a_silent_peer_is_reported_before_its_link_times_out(self):
        """A quarter of the calls of a service hung for two seconds.

        One of its four machines loses power. Its links time out only after
        2 s, because closing them leaves the outcome of their calls unknown,
        and until then every fourth call was still sent there.
        """
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.started_calls.get()
            self.relay.silent = True
            self.assertEqual(await self.reports.get(), ("b", True))
            self.assertFalse(stuck.done())
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            self.assertEqual(await self.reports.get(), ("b", False))

    async def test_a_peer_stays_unresponsive_after_its_link_timed_out(self):
        """Calls were sent to a machine without power and waited a second each.

        After 0.6 s the machine counts as unresponsive and calls go elsewhere;
        after 2 s its link times out. The peer must stay unresponsive then, as
        it is declared dead only much later.
        """
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.a.call(self.peer, make_call("/"))
            stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
            while await self.started_calls.get() != "/stuck":
                pass
            self.relay.silent = True
            self.relay.server.close()
            await self.assert_kind(ErrorKind.LINK_LOST, stuck)
            self.assertEqual(await self.reports.get(), ("b", True))
            await self.assert_kind(
                ErrorKind.LINK_UNAVAILABLE, self.a.call(self.peer, make_call("/"))
            )
            self.assertTrue(self.reports.empty())
            self.relay.silent = False
            self.relay.server = await asyncio.start_server(
                self.relay.accept, "127.0.0.1", self.peer.link_port
            )
            self.assertEqual(await self.reports.get(), ("b", False))
            await self.a.call(self.peer, make_call("/"))

    async def test_a_peer_that_answers_heartbeats_is_responsive(self):
        stuck = asyncio.create_task(self.a.call(self.peer, make_call("/stuck")))
        pongs = asyncio.Queue()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.started_calls.get()
            link = self.a.live_link("b")
            receive = link.receivers["pong"]
            link.receivers["pong"] = lambda stamp: (receive(stamp), pongs.put_nowait(1))
            for _ in range(4):
                await pongs.get()
        self.assertTrue(self.reports.empty())
        stuck.cancel()


class LivenessDetectorTests(TestCase):
    def test_own_pause_keeps_links(self):
        """After a pause, all calls of a daemon had the effect `unknown`.

        The process is paused for longer than the silence limit, then its
        liveness check runs before the peers' frames are read. Healthy links
        must not time out.
        """
        timing = TimingSettings(link_heartbeat_ms=500, link_silence_ms=2_000)
        detector = LivenessDetector(timing, 0.0)
        self.assertFalse(detector.has_timed_out(0.5, 0.0))
        self.assertFalse(detector.has_timed_out(100.0, 0.4))
        self.assertTrue(detector.has_timed_out(100.5, 0.4))

    def test_own_pause_keeps_all_links_of_one_check(self):
        """After a pause, a daemon kept one of its links and closed the others.

        All links are checked in one turn. The check of the first link stored
        the time, so that the checks of the others did not see the pause.
        """
        timing = TimingSettings(link_heartbeat_ms=500, link_silence_ms=2_000)
        detector = LivenessDetector(timing, 0.0)
        checks = [detector.has_timed_out(100.0, 0.4) for _ in range(3)]
        self.assertEqual(checks, [False, False, False])
        self.assertTrue(detector.has_timed_out(100.5, 0.4))

    def test_silence(self):
        detector = LivenessDetector(TimingSettings(), 0.0)
        checks = [detector.has_timed_out(check / 2, 0.0) for check in range(1, 5)]
        self.assertEqual(checks, [False, False, False, True])
