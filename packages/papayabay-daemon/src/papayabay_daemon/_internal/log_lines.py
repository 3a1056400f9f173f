"""Writes log lines without blocking, through a bounded buffer."""

import asyncio
import os
from collections import deque

BUFFER_BYTES = 256 * 1024
"""Limit of output that waits for a slow reader, about a thousand lines."""
FLUSH_SECONDS = 0.1
"""Delay after which batched lines are written."""
FLUSH_BYTES = 16 * 1024
"""Size of a batch that is written without waiting for the interval."""
LINES_PER_SECOND = 300.0
"""Rate limit of lines on single requests."""
BURST_LINES = 600.0
"""Burst that the rate limit allows."""


class LineWriter:
    """Writes lines to a file descriptor whose reader may be slow.

    The descriptor is set to non-blocking mode, because waiting for the reader
    would block all calls. Output that it does not accept is buffered; lines
    that exceed the buffer are dropped. `DecisionLog` writes their number with
    its next line.

    Parameters
    ----------
    descriptor : int

    Attributes
    ----------
    dropped : int
        Lines dropped since their number was last written.
    pending : asyncio.Event
        Set while lines are buffered.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.buffer = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.pending = asyncio.Event()
        os.set_blocking(self.descriptor, False)

    def write(self, line):
        """Write a line at once, after all that are buffered.

        Parameters
        ----------
        line : str
            Without a newline.
        """
        self.enqueue((line + "\n").encode("utf-8", "backslashreplace"))
        self.flush()

    def enqueue(self, content):
        """Add a line to the current batch, or drop it if the buffer is full.

        Parameters
        ----------
        content : bytes
            With its newline.
        """
        if self.buffered_bytes + len(content) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.buffer.append(content)
        self.buffered_bytes += len(content)
        self.pending.set()
        if self.buffered_bytes >= FLUSH_BYTES:
            self.flush()

    async def run(self):
        """Flush the buffer a while after it got lines, until cancelled."""
        try:
            while True:
                await self.pending.wait()
                await asyncio.sleep(FLUSH_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts."""
        while self.buffer:
            content = b"".join(self.buffer)
            self.buffer.clear()
            self.buffer.append(content)
            try:
                written = os.write(self.descriptor, content)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to log it.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                break
            self.buffered_bytes -= written
            if written < len(content):
                self.buffer[0] = content[written:]
                return
            self.buffer.popleft()
        self.pending.clear()


class LineRateLimit:
    """Token bucket for lines on single requests.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    suppressed : int
        Lines refused since their number was last written.
    """

    def __init__(self, clock):
        self.clock = clock
        self.tokens = BURST_LINES
        self.refilled_at = clock()
        self.suppressed = 0

    def acquire(self):
        """Return whether a line may be written, or count it as suppressed."""
        moment = self.clock()
        refill = (moment - self.refilled_at) * LINES_PER_SECOND
        self.refilled_at = moment
        self.tokens = min(BURST_LINES, self.tokens + refill)
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True
