"""Malformed frames, failed handshakes and delayed frames on links."""

import asyncio
import dataclasses
import random
from unittest import TestCase
from unittest.mock import patch

from papayabay_core.calls import Answer
from papayabay_core.errors import ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.wire import schema
from papayabay_daemon._internal.links import call_frames, codec, handshake
from papayabay_daemon._internal.links.clock_offset import ClockOffset, now_us
from papayabay_daemon._internal.links.framing import FrameDecoder, pack_length
from papayabay_daemon._internal.links.limits import (
    MAX_FRAME_BYTES,
    OFFSET_BUCKET_US,
    PART_BYTES,
    WINDOW_BYTES,
)
from tests.unit.daemon.links_support import (
    TIMEOUT_SECONDS,
    LinksTestCase,
    echo_path,
    make_call,
    make_links,
)


def add_length_prefix(frame):
    """Return a frame as it is sent."""
    return pack_length(len(frame)) + frame


class RawPeer:
    """A peer that can send any frames, also invalid ones."""

    def __init__(self, links, port, expected="b"):
        cluster = links.settings.cluster
        self.port = port
        self.handshake = handshake.Handshake(cluster, links.local, expected)

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.send(handshake.encode_hello(self.handshake.local_hello))
        with schema.Frame.from_bytes(await self.frame()) as message:
            hello = handshake.decode_hello(message.hello)
        return self.handshake.accept_hello(hello)

    async def open(self):
        self.send(codec.encode_proof(await self.connect()))
        await self.frame()
        return self

    def send(self, frame):
        self.writer.write(add_length_prefix(frame))

    async def frame(self):
        length = int.from_bytes(await self.reader.readexactly(4), "big")
        return await self.reader.readexactly(length)

    async def answer(self):
        while True:
            frame = await self.frame()
            if call_frames.is_call_frame(frame):
                message = call_frames.read_call_frame(frame)
                return message.id, call_frames.decode_answer(message)

    async def ended(self):
        """Wait until the daemon has closed the connection."""
        try:
            while await self.reader.read(65_536):
                pass
        except ConnectionError:
            pass


class BadFrameTests(LinksTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.serve(echo_path)
        self.raw = await RawPeer(make_links("raw"), self.peer.link_port).open()
        self.addAsyncCleanup(self.raw.writer.wait_closed)
        self.addCleanup(self.raw.writer.close)

    def call_frame(self, number, sent_at_us=None, lifetime=30.0):
        call = make_call(f"/{number}", lifetime=lifetime)
        stamp = now_us() if sent_at_us is None else sent_at_us
        return call_frames.encode_call(number, call, b"", True, stamp, 0)

    async def assert_only_this_link_ends(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.raw.ended()
            answer = await self.a.call(self.peer, make_call("/other"))
        self.assertEqual(answer.body.first, b"/other")
        self.assertEqual(self.b.counters.frames_bad, 1)
        self.assertEqual([entry["peer"] for entry in self.b.status()], ["a"])

    async def test_bad_frames_close_only_their_link(self):
        """Malformed frames of one peer ended calls of other peers, or ran.

        One of two links gets malformed data, a length above the limit or an
        identifier that was used before. Only that link may be closed.
        """
        rng = random.Random(11)
        garbage = add_length_prefix(rng.randbytes(512))
        unaligned = add_length_prefix(b"xyz")
        empty = add_length_prefix(b"")
        oversized = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        cut_short = add_length_prefix(self.call_frame(1)[:-64])
        twice = add_length_prefix(self.call_frame(1)) * 2
        hello = add_length_prefix(
            handshake.encode_hello(self.raw.handshake.local_hello)
        )
        unsent = add_length_prefix(call_frames.encode_answer(9, Answer(200), b"", True))
        window = add_length_prefix(codec.encode_window(1, 2**31, False))
        cases = {
            "garbage": garbage,
            "unaligned": unaligned,
            "empty": empty,
            "oversized": oversized,
            "cut short": cut_short,
            "twice": twice,
            "hello": hello,
            "unsent": unsent,
        }
        for name, frames in cases.items():
            with self.subTest(name):
                self.b.counters.frames_bad = 0
                self.raw.writer.write(frames)
                await self.assert_only_this_link_ends()
                port = self.peer.link_port
                self.raw = await RawPeer(make_links("raw"), port).open()
        # A window for an unknown call is late, not malformed.
        self.raw.writer.write(window)
        self.raw.send(self.call_frame(1))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual((await self.raw.answer())[0], 1)

    async def test_truncated_frame(self):
        self.raw.writer.write(add_length_prefix(self.call_frame(1))[:-8])
        self.raw.writer.write_eof()
        await self.assert_only_this_link_ends()
        # Only the call on the other link was received.
        self.assertEqual(self.b.counters.calls_received, 1)

    async def test_body_beyond_window(self):
        """A daemon's memory grew because of one slow reader.

        A peer streams a body that nobody reads and ignores its window. Its
        link must be closed instead of buffering all parts.
        """
        self.serve(lambda call, peer: asyncio.Event().wait())
        call = make_call()
        self.raw.send(call_frames.encode_call(1, call, b"", False, now_us(), 0))
        for _ in range(WINDOW_BYTES // PART_BYTES + 1):
            self.raw.send(codec.encode_part(1, bytes(PART_BYTES), False))
        await self.assert_ended_bad()

    async def assert_ended_bad(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.raw.ended()
        self.assertEqual(self.b.counters.frames_bad, 1)

    async def test_unknown_frame_is_ignored(self):
        frame = bytearray(codec.encode_number("ping", 5))
        kind = frame.index((6).to_bytes(2, "little"), 16)
        frame[kind : kind + 2] = (999).to_bytes(2, "little")
        self.raw.send(bytes(frame))
        self.raw.send(self.call_frame(1))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            number, answer = await self.raw.answer()
        self.assertEqual((number, answer.body.first), (1, b"/1"))
        self.assertEqual(self.b.counters.frames_unknown, 1)

    async def test_excess_delay_reduces_life(self):
        """A call was run long after its caller had timed out.

        The sender was paused between stamping a frame and sending it. That
        delay must be subtracted from the remaining time in the frame.
        """
        lives = asyncio.Queue()

        async def handler(call, peer):
            lives.put_nowait(call.remaining())
            return Answer(200)

        self.serve(handler)
        stamp = now_us()
        self.raw.send(self.call_frame(1, stamp))
        self.raw.send(self.call_frame(2, stamp - 10_000_000))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            undelayed, delayed = await lives.get(), await lives.get()
        self.assertAlmostEqual(undelayed, 30, delta=5)
        self.assertAlmostEqual(undelayed - delayed, 10, delta=5)


class HandshakeTests(LinksTestCase):
    async def assert_refused(self, links):
        call = links.call(self.peer, make_call())
        await self.assert_kind(ErrorKind.LINK_UNAVAILABLE, call)
        self.assertEqual(self.b.counters.calls_received, 0)
        self.assertEqual(self.b.counters.links_opened, 0)

    async def test_wrong_secret(self):
        await self.assert_refused(await self.started(make_links("c", "another one")))

    async def test_wrong_name(self):
        self.peer = dataclasses.replace(self.peer, name="x")
        call = self.a.call(self.peer, make_call())
        await self.assert_kind(ErrorKind.LINK_UNAVAILABLE, call)

    async def test_wrong_protocol_version(self):
        with patch.object(handshake, "PROTOCOL_VERSION", 99):
            raw = RawPeer(make_links("raw"), self.peer.link_port)
        with self.assertRaises(ProtocolError):
            await raw.connect()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await raw.ended()
        self.assertEqual(self.b.counters.links_refused, 1)
        raw.writer.close()

    async def test_reflected_proof(self):
        """A peer without the secret was accepted.

        It reflects the daemon's own hello and proof. A proof must differ
        between the two directions.
        """
        port = self.peer.link_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for _ in range(2):
                length = await reader.readexactly(4)
                frame = await reader.readexactly(int.from_bytes(length, "big"))
                writer.write(length + frame)
            await reader.read()
        writer.close()
        self.assertEqual(self.b.counters.links_opened, 0)
        self.assertEqual(self.b.counters.links_refused, 1)

    async def test_newer_incarnation_replaces_older(self):
        old = await RawPeer(make_links("raw"), self.peer.link_port).open()
        newer = make_links("raw", incarnation=2)
        new = await RawPeer(newer, self.peer.link_port).open()
        self.assertEqual(self.b.live_link("raw").incarnation, 2)
        self.assertEqual(self.b.counters.links_replaced, 1)
        late = await RawPeer(make_links("raw"), self.peer.link_port).open()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await late.ended()
        self.assertEqual(self.b.live_link("raw").incarnation, 2)
        for raw in (old, new, late):
            raw.writer.close()


class ClockOffsetTests(TestCase):
    def test_excess_is_beyond_smallest(self):
        offset = ClockOffset()
        self.assertEqual(offset.observe(1_000_000, 5_000_000), 0)
        self.assertEqual(offset.observe(4_000_000, 6_000_000), 2.0)
        self.assertEqual(offset.observe(4_000_000, 9_000_000), 0)

    def test_delayed_frames_after_pause_do_not_become_normal(self):
        offset = ClockOffset()
        offset.observe(0, 0)
        late = 3 * OFFSET_BUCKET_US
        self.assertEqual(offset.observe(late, 1_000_000), late / 1e6 - 1)
        self.assertEqual(offset.observe(late, 2_000_000), late / 1e6 - 2)

    def test_window_slides(self):
        offset = ClockOffset()
        offset.observe(0, 0)
        for bucket in (1, 2):
            offset.observe(bucket * OFFSET_BUCKET_US, bucket * OFFSET_BUCKET_US - 500)
        self.assertEqual(offset.smallest, 500)


class FrameDecoderTests(TestCase):
    def test_any_cut_gives_the_same_frames(self):
        rng = random.Random(5)
        frames = [rng.randbytes(rng.randint(1, 90)) for _ in range(200)]
        stream = b"".join(map(add_length_prefix, frames))
        decoder, got = FrameDecoder(100), []
        while stream:
            size = rng.randint(1, 150)
            got += decoder.split(stream[:size])
            stream = stream[size:]
        self.assertEqual(got, frames)
        self.assertFalse(decoder.buffer)

    def test_limit_raised_by_a_frame_holds_for_the_next(self):
        """The first call after a handshake closed the link.

        The last frame of the handshake and a long call came in one segment,
        and the call was measured by the limit of the handshake.
        """
        long = b"x" * 90
        decoder = FrameDecoder(10)
        got = []
        for frame in decoder.split(
            add_length_prefix(b"proof") + add_length_prefix(long)
        ):
            got.append(frame)
            decoder.max_bytes = 100
        self.assertEqual(got, [b"proof", long])
