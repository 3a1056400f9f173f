"""Log lines on their way out of the process: never waited for, and bounded."""

import asyncio
import os
from collections import deque

BUFFER_BYTES = 256 * 1024
"""What may wait for a slow reader of the log; about a thousand lines."""
FLUSH_SECONDS = 0.5
"""How long the last lines before a silence may wait for their reader."""
LINES_PER_SECOND = 300.0
"""Lines on single requests that are written on average. A daemon of the size
to design for takes 108 calls a second and its target makes as many; what an
overload adds beyond that repeats itself."""
BURST_LINES = 600.0


class LineWriter:
    """Writes lines to a file descriptor that may take no more for a while.

    A process that waited for the reader of its log would stand still with
    all of its calls. What does not fit is dropped and counted instead, and
    the count stands in the next line that gets through.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.waiting = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def write(self, line):
        """Write a line, or keep it until the next one; drop what is too much.

        Parameters
        ----------
        line : str
            Without its end.
        """
        content = (line + "\n").encode("utf-8", "backslashreplace")
        if self.waiting_bytes + len(content) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.waiting.append(content)
        self.waiting_bytes += len(content)
        self.flush()

    async def run(self):
        """Write what waits for the reader again and again, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self):
        """Write what waits, as far as the descriptor takes it."""
        while self.waiting:
            content = self.waiting[0]
            try:
                written = os.write(self.descriptor, content)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more. There is no other place to tell it.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(content):
                self.waiting[0] = content[written:]
                return
            self.waiting.popleft()


class Allowance:
    """How many lines on single requests may still be written.

    Parameters
    ----------
    clock : callable
        Seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.lines = BURST_LINES
        self.refilled_at = clock()
        self.left_out = 0

    def take(self):
        """Return whether one more line may be written; count it if not."""
        at = self.clock()
        earned = (at - self.refilled_at) * LINES_PER_SECOND
        self.refilled_at = at
        self.lines = min(BURST_LINES, self.lines + earned)
        if self.lines < 1.0:
            self.left_out += 1
            return False
        self.lines -= 1.0
        return True
