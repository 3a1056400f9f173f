"""A message's body on its way from the connection to its reader."""

import asyncio
from collections import deque

MAX_BUFFERED_BYTES = 131_072
"""Unread bytes at which the connection is no longer read: two parts of a
streamed body, so that one is at hand while the other is on its way."""


class PayloadBroken(ConnectionError):
    """A body that ended before its end."""


class Payload:
    """What has arrived of a body and was not read yet.

    Parameters
    ----------
    connection : HttpConnection
        Is not read while too much waits here.

    Attributes
    ----------
    complete : bool
        Whether the whole body has arrived.
    fault : Exception or None
        Why it never will.
    received_bytes : int
        Bytes that have arrived, those already read too.
    """

    __slots__ = (
        "buffered_bytes",
        "chunks",
        "complete",
        "connection",
        "fault",
        "received_bytes",
        "waiter",
    )

    def __init__(self, connection):
        self.connection = connection
        self.chunks = deque()
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.fault = None
        self.waiter = None

    @property
    def fully_read(self):
        """Whether all of a whole body was read."""
        return self.complete and not self.chunks

    def feed(self, data):
        """Take in bytes."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.received_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.connection.pause_reading(self)
        if self.waiter is not None:
            self.wake()

    def finish(self):
        """Note that the body is whole."""
        self.complete = True
        if self.waiter is not None:
            self.wake()

    def fail(self, error):
        """End a body short; its reader gets the error."""
        if self.complete or self.fault is not None:
            return
        self.fault = error
        if self.waiter is not None:
            self.wake()

    def wake(self):
        """Let the reader look again."""
        if not self.waiter.done():
            self.waiter.set_result(None)

    async def read(self, limit):
        """Return up to `limit` bytes; empty at the end.

        Raises
        ------
        Exception
            The fault that ended the body short.
        """
        while not self.chunks:
            if self.fault is not None:
                raise self.fault
            if self.complete:
                return b""
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.read_nowait(limit)

    def read_nowait(self, limit):
        """Return the first bytes at hand, at limit so many."""
        part = self.chunks.popleft()
        if len(part) > limit:
            self.chunks.appendleft(part[limit:])
            part = part[:limit]
        self.buffered_bytes -= len(part)
        if self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.connection.resume_reading(self)
        return part

    def read_all_nowait(self):
        """Return all bytes at hand."""
        data = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        self.connection.resume_reading(self)
        return data
