"""Tests of writing log lines: buffering, rate limit and decision lines."""

import asyncio
import json
import os
import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.log_lines import (
    BUFFER_BYTES,
    BURST_LINES,
    FLUSH_SECONDS,
    LINES_PER_SECOND,
    LineWriter,
)
from tests.lib.virtual_time import run_in_virtual_time
from tests.unit.daemon.door_fakes import FakeClock, call


class PipeTestCase(unittest.TestCase):
    def setUp(self):
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.writer = LineWriter(write_end)

    def drain(self):
        """Return the content of the pipe."""
        os.set_blocking(self.read_end, False)
        chunks = []
        while True:
            try:
                chunks.append(os.read(self.read_end, 65_536))
            except BlockingIOError:
                return b"".join(chunks)

    def lines(self):
        return [json.loads(line) for line in self.texts()]

    def texts(self):
        """Return all lines, including buffered ones."""
        self.writer.flush()
        content = self.drain()
        while self.writer.buffer:
            self.writer.flush()
            content += self.drain()
        return content.splitlines()


class LineWriterTest(PipeTestCase):
    def test_writing_does_not_block_when_the_reader_stops(self):
        """A stopped log reader must not block the daemon's calls.

        The pipe fills up, and a blocking write in the middle of a call would
        wait until it is read again.
        """
        line = "x" * 1_000
        for _ in range(2_000):
            self.writer.write(line)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(self.writer.buffered_bytes, BUFFER_BYTES)
        buffered = 2_000 - self.writer.dropped
        self.assertEqual(self.texts(), [line.encode()] * buffered)

    def test_batch_is_written_after_the_delay(self):
        """Guards against lines that stay in the buffer of an idle daemon."""

        async def run():
            task = asyncio.ensure_future(self.writer.run())
            await asyncio.sleep(60.0)
            for line in (b"a\n", b"b\n"):
                self.writer.enqueue(line)
                self.assertEqual(self.drain(), b"")
                await asyncio.sleep(FLUSH_SECONDS * 1.01)
                self.assertEqual(self.drain(), line)
            task.cancel()

        run_in_virtual_time(run)

    def test_lines_of_a_full_pipe_are_written_once_it_is_read(self):
        """Guards against a rest that waits for the next line."""

        async def run():
            task = asyncio.ensure_future(self.writer.run())
            for _ in range(150):
                self.writer.write("x" * 1_000)
            self.assertGreater(self.writer.buffered_bytes, 0)
            content = self.drain()
            while len(content) < 150 * 1_001:
                await asyncio.sleep(FLUSH_SECONDS * 1.01)
                self.assertGreater(len(part := self.drain()), 0)
                content += part
            task.cancel()

        run_in_virtual_time(run)


class DecisionTest(PipeTestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.log = DecisionLog(self.writer, lambda: 7, self.clock)

    def test_attempt_line_has_inputs_and_outcome(self):
        upstream = {"name": "b", "heard_ms": 12}
        self.log.record_attempt(call(), 1, upstream, Answer(500), 0.25)
        refused = Answer(503, kind=ErrorKind.OVERLOADED)
        self.log.record_attempt(call(), 2, upstream, refused, 0.01)
        self.log.record_attempt(call(), 3, upstream, None, 0.01)
        first, second, third = self.lines()
        self.assertEqual((first["request"], first["version"]), ("r1", 7))
        self.assertEqual((first["outcome"], first["took_ms"]), ("answered", 250.0))
        self.assertEqual(first["upstream"], upstream)
        self.assertEqual(second["outcome"], "overloaded")
        self.assertEqual(third["outcome"], "cancelled")

    def test_successful_first_attempt_gets_no_line(self):
        """Such attempts are nine in ten and hold no decision to trace."""
        self.log.record_attempt(call(), 1, {}, Answer(200), 0.25)
        self.assertEqual(self.lines(), [])
        self.log.record_attempt(call(), 2, {}, Answer(200), 0.25)
        self.assertEqual([line["attempt"] for line in self.lines()], [2])

    def test_decision_lines_are_written_in_batches(self):
        """An overload causes hundreds of refusals, and lines, a second."""
        for number in range(5):
            self.log.record("admission", f"r{number}", outcome="overloaded")
        self.assertEqual(self.drain(), b"")
        self.writer.write("a line of state")
        self.assertEqual(len(self.drain().splitlines()), 6)

    def test_invalid_unicode_is_written(self):
        """A request must not fail because its log line can't be encoded.

        That happened with an identifier that is not valid Unicode.
        """
        self.log.record("answer", "r\udcff", outcome="overloaded")
        self.assertEqual(self.lines()[0]["request"], "r\udcff")

    def test_rate_is_limited_and_suppressed_lines_are_counted(self):
        flood = int(BURST_LINES) + 50
        for number in range(flood):
            self.log.record("admission", f"r{number}", outcome="overloaded")
        self.assertEqual(len(self.lines()), int(BURST_LINES))
        self.clock.time += 1.5 / LINES_PER_SECOND
        self.log.record("admission", "later", outcome="overloaded")
        (line,) = self.lines()
        self.assertEqual(line["left_out"], 50)

    def test_inputs_are_not_collected_beyond_the_limit(self):
        """An overloaded daemon must not spend time on lines it can't write."""
        for number in range(int(BURST_LINES)):
            self.log.record("admission", f"r{number}", outcome="overloaded")
        self.log.record_attempt(None, 1, None, None, 0.01)
        self.assertFalse(self.log.acquire())
        self.assertEqual(self.log.rate_limit.suppressed, 2)

    def test_nothing_is_written_without_a_writer(self):
        DecisionLog().record("attempt", "r1")
