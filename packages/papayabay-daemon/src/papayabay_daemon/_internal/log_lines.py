"""Log lines on their way out of the process: never waited for, and bounded."""

import asyncio
import os
from collections import deque

BUFFER_BYTES = 256 * 1024
"""Buffered output of a slow reader; about a thousand lines."""
FLUSH_SECONDS = 0.1
"""How long lines on single requests are batched."""
FLUSH_BYTES = 16 * 1024
"""Batch size that is written at once."""
LINES_PER_SECOND = 300.0
"""Rate limit of lines on single requests."""
BURST_LINES = 600.0


class LineWriter:
    """Writes lines to a file descriptor that may take no more for a while.

    Lines that exceed the buffer are dropped, and their number is written with
    the next line: waiting for the reader would block all calls.

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
        """Write a line, and all that wait before it; drop what is too much.

        Parameters
        ----------
        line : str
            Without its end.
        """
        self.keep((line + "\n").encode("utf-8", "backslashreplace"))
        self.flush()

    def keep(self, content):
        """Write a line soon, together with others.

        Parameters
        ----------
        content : bytes
            With its end.
        """
        if self.waiting_bytes + len(content) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.waiting.append(content)
        self.waiting_bytes += len(content)
        if self.waiting_bytes >= FLUSH_BYTES:
            self.flush()

    async def run(self):
        """Write what waits for the reader again and again, until cancelled."""
        try:
            while True:
                await asyncio.sleep(FLUSH_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self):
        """Write what waits, as far as the descriptor takes it."""
        while self.waiting:
            content = b"".join(self.waiting)
            self.waiting.clear()
            self.waiting.append(content)
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
