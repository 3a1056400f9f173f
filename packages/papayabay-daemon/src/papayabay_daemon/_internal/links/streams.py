"""Streams bodies that are too large for one frame, with flow control.

A body is sent in parts, up to the receiver's window. The receiver extends
the window as its reader consumes the parts. Without a window, a slow reader
would make this daemon either keep the whole body in memory or stop reading
the link, which would block all other calls of that peer.
"""

import asyncio
from collections import deque

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.links.codec import encode_part, encode_window
from papayabay_daemon._internal.links.limits import (
    GRANT_BYTES,
    PART_BYTES,
    WINDOW_BYTES,
)


class BodyBroken(CallError):
    """A body whose sender or link failed before the body was complete."""

    def __init__(self, detail):
        super().__init__(ErrorKind.LINK_LOST, detail)


class BodyReceiver:
    """Buffers the received parts of one body until they are read.

    Parameters
    ----------
    link : Link
    number : int
        Identifier of the call.
    of_answer : bool
        Whether it is the body of an answer rather than of a call.
    on_end : callable
        Called once, when no more parts are expected or wanted, with whether
        the body is complete.
    """

    __slots__ = (
        "link",
        "number",
        "of_answer",
        "on_end",
        "parts",
        "window",
        "ungranted",
        "complete",
        "fault",
        "waiter",
    )

    def __init__(self, link, number, of_answer, on_end):
        self.link = link
        self.number = number
        self.of_answer = of_answer
        self.on_end = on_end
        self.parts = deque()
        self.window = WINDOW_BYTES
        self.ungranted = 0
        self.complete = False
        self.fault = None
        self.waiter = None

    def receive(self, message):
        """Buffer a part; raises `ProtocolError` if it exceeds the window."""
        data = message.data
        self.window -= len(data)
        if self.window < 0:
            raise ProtocolError("body beyond its window")
        if data:
            self.parts.append(data)
        if message.failed:
            self.fail("the sender could not complete the body")
        elif message.last:
            self.complete = True
            self.end()
        self.wake()

    def fail(self, detail):
        """Mark the body as truncated; its reader gets `BodyBroken`."""
        if not self.complete and self.fault is None:
            self.fault = detail
            self.parts.clear()
            self.end()
            self.wake()

    def end(self):
        """Call `on_end` unless it was called before."""
        on_end = self.on_end
        if on_end is not None:
            self.on_end = None
            on_end(self.complete)

    def wake(self):
        """Wake the reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_part(self):
        """Return the next part, or None at the end of a complete body."""
        while not self.parts:
            if self.fault is not None:
                raise BodyBroken(self.fault)
            if self.complete:
                return None
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        part = self.parts.popleft()
        self.ungranted += len(part)
        if self.ungranted >= GRANT_BYTES and not self.complete:
            self.window += self.ungranted
            self.link.send(encode_window(self.number, self.ungranted, self.of_answer))
            self.ungranted = 0
        return part


class BodyReader:
    """Iterates over a streamed body as `Body.rest`; read by one task.

    The receiver holds no reference to the reader. So a reader that is
    dropped before its end is freed, which stops the sender.
    """

    __slots__ = ("receiver", "__weakref__")

    def __init__(self, receiver):
        self.receiver = receiver

    def __aiter__(self):
        return self

    async def __anext__(self):
        """Return the next part; raises `BodyBroken`."""
        part = await self.receiver.next_part()
        if part is None:
            raise StopAsyncIteration
        return part

    async def aclose(self):
        """Discard the rest of the body and stop its sender."""
        self.receiver.fail("the body was given up")

    def __del__(self):
        if self.receiver.on_end is not None and not self.receiver.link.loop.is_closed():
            self.receiver.fail("the body was dropped")


class BodySender:
    """Sends a body's parts as the peer's window allows.

    Parameters
    ----------
    link : Link
    number : int
    of_answer : bool
    """

    __slots__ = ("link", "number", "of_answer", "window", "waiter")

    def __init__(self, link, number, of_answer):
        self.link = link
        self.number = number
        self.of_answer = of_answer
        self.window = WINDOW_BYTES
        self.waiter = None

    def grant(self, size):
        """Extend the window; raises `ProtocolError` beyond its full size."""
        self.window += size
        if self.window > WINDOW_BYTES:
            raise ProtocolError("window above its size")
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def send_all(self, parts):
        """Send all parts, then a frame that marks the end or the failure.

        Parameters
        ----------
        parts : AsyncIterator of bytes
        """
        try:
            async for part in parts:
                await self.send_part(part)
        except Exception:
            # The peer must know that the body is incomplete; otherwise it
            # would store or run half a document as if it were complete.
            self.link.send(encode_part(self.number, b"", self.of_answer, failed=True))
            return
        finally:
            await close_parts(parts)
        self.link.send(encode_part(self.number, b"", self.of_answer, last=True))

    async def send_part(self, part):
        """Send one part in as many frames as window and frame size need."""
        view = memoryview(part)
        while view:
            while self.window <= 0:
                self.waiter = asyncio.get_running_loop().create_future()
                await self.waiter
            size = min(len(view), self.window, PART_BYTES)
            await self.link.wait_writable()
            if self.link.closed:
                raise BodyBroken("the link was lost")
            self.window -= size
            frame = encode_part(self.number, bytes(view[:size]), self.of_answer)
            self.link.send(frame)
            view = view[size:]


async def close_parts(parts):
    """Close the source of the parts, if it can be closed."""
    close = getattr(parts, "aclose", None)
    if close is not None:
        await close()


async def remaining_parts(body, start):
    """Yield the body without its first `start` bytes, then close it."""
    try:
        if start < len(body.first):
            yield memoryview(body.first)[start:]
        if body.rest is not None:
            async for part in body.rest:
                yield part
    finally:
        if body.rest is not None:
            await close_parts(body.rest)


def inline_part(body, inline_bytes):
    """Return the bytes to send inline and whether they are the whole body."""
    if len(body.first) <= inline_bytes:
        return body.first, body.rest is None
    return body.first[:inline_bytes], False
