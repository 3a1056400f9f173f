import json
import os
import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.log_lines import (
    BUFFER_BYTES,
    BURST_LINES,
    LINES_PER_SECOND,
    LineWriter,
)
from tests.unit.daemon.door_fakes import FakeClock, call


class PipeTestCase(unittest.TestCase):
    def setUp(self):
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.writer = LineWriter(write_end)

    def drain(self):
        """Return what the pipe holds."""
        os.set_blocking(self.read_end, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.read_end, 65_536))
            except BlockingIOError:
                return b"".join(parts)

    def lines(self):
        return [json.loads(line) for line in self.texts()]

    def texts(self):
        """Return all lines, those that waited for the pipe too."""
        self.writer.flush()
        content = self.drain()
        while self.writer.waiting:
            self.writer.flush()
            content += self.drain()
        return content.splitlines()


class LineWriterTest(PipeTestCase):
    def test_a_reader_that_stops_holds_up_nothing(self):
        """All calls of a daemon stood still.

        Whoever reads its log stops reading. The pipe fills, and the next
        line would wait in the middle of a call until somebody reads.
        """
        line = "x" * 1_000
        for _ in range(2_000):
            self.writer.write(line)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(self.writer.waiting_bytes, BUFFER_BYTES)
        kept = 2_000 - self.writer.dropped
        self.assertEqual(self.texts(), [line.encode()] * kept)


class DecisionTest(PipeTestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.log = DecisionLog(self.writer, lambda: 7, self.clock)

    def test_an_attempt_tells_its_inputs_and_its_end(self):
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

    def test_an_ordinary_success_gets_no_line(self):
        """Load: calls that end well at their first attempt, nine in ten."""
        self.log.record_attempt(call(), 1, {}, Answer(200), 0.25)
        self.assertEqual(self.lines(), [])
        self.log.record_attempt(call(), 2, {}, Answer(200), 0.25)
        self.assertEqual([line["attempt"] for line in self.lines()], [2])

    def test_lines_on_requests_are_written_together(self):
        """Load: an overload, with hundreds of refusals a second."""
        for number in range(5):
            self.log.record("admission", f"r{number}", outcome="overloaded")
        self.assertEqual(self.drain(), b"")
        self.writer.write("a line of state")
        self.assertEqual(len(self.drain().splitlines()), 6)

    def test_text_that_is_no_unicode_is_written_too(self):
        """Symptom: a request with odd bytes in its id failed.

        Cause: the line about it could not be encoded.
        """
        self.log.record("answer", "r\udcff", outcome="overloaded")
        self.assertEqual(self.lines()[0]["request"], "r\udcff")

    def test_a_flood_is_bounded_and_what_is_left_out_is_counted(self):
        flood = int(BURST_LINES) + 50
        for number in range(flood):
            self.log.record("admission", f"r{number}", outcome="overloaded")
        self.assertEqual(len(self.lines()), int(BURST_LINES))
        self.clock.time += 1.5 / LINES_PER_SECOND
        self.log.record("admission", "later", outcome="overloaded")
        (line,) = self.lines()
        self.assertEqual(line["left_out"], 50)

    def test_nothing_is_written_without_a_writer(self):
        DecisionLog().record("attempt", "r1")
