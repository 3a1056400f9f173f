"""A message's body on its way from the connection to its reader."""

import asyncio
from collections import deque

HIGH_BYTES = 131_072
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
    total : int
        Bytes that have arrived, those already read too.
    """

    __slots__ = ("complete", "connection", "fault", "parts", "size", "total", "waiter")

    def __init__(self, connection):
        self.connection = connection
        self.parts = deque()
        self.size = 0
        self.total = 0
        self.complete = False
        self.fault = None
        self.waiter = None

    @property
    def at_end(self):
        """Whether all of a whole body was read."""
        return self.complete and not self.parts

    def feed(self, data):
        """Take in bytes."""
        self.parts.append(data)
        self.size += len(data)
        self.total += len(data)
        if self.size > HIGH_BYTES:
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

    async def read(self, most):
        """Return up to `most` bytes; empty at the end.

        Raises
        ------
        Exception
            The fault that ended the body short.
        """
        while not self.parts:
            if self.fault is not None:
                raise self.fault
            if self.complete:
                return b""
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.take(most)

    def take(self, most):
        """Return the first bytes at hand, at most so many."""
        part = self.parts.popleft()
        if len(part) > most:
            self.parts.appendleft(part[most:])
            part = part[:most]
        self.size -= len(part)
        if self.size <= HIGH_BYTES:
            self.connection.resume_reading(self)
        return part

    def take_all(self):
        """Return all bytes at hand."""
        data = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.parts.clear()
        self.size = 0
        self.connection.resume_reading(self)
        return data
