"""Buffer for the body of a message between connection and reader."""

import asyncio
from collections import deque

MAX_BUFFERED_BYTES = 131_072
"""Unread bytes beyond which reading from the connection is paused. Two parts
of a streamed body: one can be processed while the next is received."""


class PayloadBroken(ConnectionError):
    """The connection failed before the body was complete.

    Name and message are a part of the detail of TARGET_LOST, which callers
    see.
    """


class Payload:
    """The received and unread part of a body.

    Parameters
    ----------
    connection : HttpConnection
        Paused while more than `MAX_BUFFERED_BYTES` are unread.

    Attributes
    ----------
    complete : bool
        Whether the whole body has been received.
    error : Exception or None
        Why the body will never be complete.
    buffered_bytes : int
        Unread bytes.
    received_bytes : int
        All bytes received, read or unread.
    """

    __slots__ = (
        "buffered_bytes",
        "chunks",
        "complete",
        "connection",
        "error",
        "received_bytes",
        "waiter",
    )

    def __init__(self, connection):
        self.connection = connection
        self.chunks = deque()
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.error = None
        self.waiter = None

    @property
    def fully_read(self):
        """Whether the body is complete and all of it was read."""
        return self.complete and not self.chunks

    def feed(self, data):
        """Add received bytes."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.received_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.connection.pause_reading(self)
        if self.waiter is not None:
            self.wake()

    def finish(self):
        """Mark the body as complete."""
        self.complete = True
        if self.waiter is not None:
            self.wake()

    def fail(self, error):
        """Raise an error in the reader unless the body is complete."""
        if self.complete or self.error is not None:
            return
        self.error = error
        if self.waiter is not None:
            self.wake()

    def wake(self):
        """Wake the waiting reader."""
        if not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self, limit):
        """Return up to `limit` bytes; empty at the end.

        Raises
        ------
        Exception
            The error passed to `fail`.
        """
        while not self.chunks:
            if self.error is not None:
                raise self.error
            if self.complete:
                return b""
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.read_nowait(limit)

    def read_nowait(self, limit):
        """Return buffered bytes, at most `limit`."""
        chunk = self.chunks.popleft()
        if len(chunk) > limit:
            self.chunks.appendleft(chunk[limit:])
            chunk = chunk[:limit]
        self.buffered_bytes -= len(chunk)
        if self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.connection.resume_reading(self)
        return chunk

    def read_all_nowait(self):
        """Return all buffered bytes."""
        data = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        self.connection.resume_reading(self)
        return data
