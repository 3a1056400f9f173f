"""One HTTP/1.1 request and its answer on a connection to the target."""

import asyncio

from papayabay_core.calls import Body
from papayabay_core.http.connection import BodyWriter
from papayabay_core.http.payload import PayloadBroken
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.doors.streaming import write_body
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout

CHUNK_BYTES = 65_536


class Exchange:
    """A request and its answer, on a connection used by no other call.

    Parameters
    ----------
    pool : TargetPool
        The connection is returned to it.
    connection : ClientConnection
    limits : LimitSettings
    started_at : float
        When the exchange began, on `clock.now()`.

    Attributes
    ----------
    message : Message or None
        The answer received last; set by the reader.
    upload : asyncio.Task or None
        Writes a streamed request body.
    ended : bool
        Whether the connection was returned to the pool or closed.
    """

    __slots__ = (
        "connection",
        "ended",
        "limits",
        "message",
        "pool",
        "started_at",
        "upload",
    )

    def __init__(self, pool, connection, limits, started_at):
        self.started_at = started_at
        self.pool = pool
        self.connection = connection
        self.limits = limits
        self.message = None
        self.upload = None
        self.ended = False

    def send(self, call, head):
        """Write a request; a streamed body is written by a task.

        Parameters
        ----------
        call : Call
        head : bytes
            Request line and header fields.
        """
        self.connection.start_request(bodiless=call.method == "HEAD")
        body = call.body
        if body.rest is None:
            self.connection.transport.write(head + body.first)
            return
        self.connection.transport.write(head)
        self.upload = asyncio.create_task(self.send_body(call))

    async def send_body(self, call):
        """Write a streamed body; an error fails the exchange."""
        length = rules.declared_length(call.headers)
        writer = BodyWriter(self.connection, chunked=length is None)
        try:
            await write_body(writer, call.body, length)
        except Exception as error:
            # Nobody awaits this task. Unless its error is passed on, the
            # target waits for the body and the caller for the answer until
            # the call's deadline. The error is wrapped, as an error of the
            # body's source (for example "too large: not run") does not hold
            # for a request that was sent in part.
            broken = PayloadBroken(f"the request's body broke off: {error!r}")
            self.connection.fail(broken)
            self.connection.abort()

    async def skip(self):
        """Read and drop the body of an answer to another request.

        Raises
        ------
        PayloadBroken
            If the body is longer than `inline_body_bytes`.
        """
        payload = self.message.payload
        while await payload.read(CHUNK_BYTES):
            if payload.received_bytes > self.limits.inline_body_bytes:
                raise PayloadBroken("a stray answer is too long to skip")

    def read_whole(self):
        """Return the answer's complete body, and end the exchange."""
        body = Body(self.message.payload.read_all_nowait())
        self.finish()
        return body

    def stream(self, remaining):
        """Return the answer's body as a stream.

        Parameters
        ----------
        remaining : callable
            Returns the seconds until the call's deadline.
        """
        first = self.message.payload.read_all_nowait()
        return Body(first, AnswerStream(self, remaining))

    def discard(self):
        """Drop the answer's body; keep the connection if the body has arrived.

        A target sheds when it is overloaded. A new connection after each
        refusal would cost it more than the refusal itself.
        """
        if self.message.payload.complete:
            self.finish()
        else:
            self.abort()

    def finish(self):
        """Return the connection to the pool; close it during an upload."""
        if self.upload is not None and not self.upload.done():
            self.abort()
        elif not self.ended:
            self.ended = True
            self.pool.release(self.connection)

    def abort(self):
        """Close the connection unless it was returned to the pool.

        To the target, this shows that its caller has disconnected.
        """
        if self.upload is not None:
            self.upload.cancel()
        if not self.ended:
            self.ended = True
            self.connection.abort()


class AnswerStream:
    """Async iterator over the rest of a streamed answer's body.

    Parameters
    ----------
    exchange : Exchange
    remaining : callable
        Returns the seconds until the call's deadline.

    Attributes
    ----------
    on_end : callable or None
        Called once at the end, with whether the body was complete.
    """

    def __init__(self, exchange, remaining):
        self.exchange = exchange
        self.remaining = remaining
        self.on_end = None
        self.ended = False

    def __aiter__(self):
        """Return itself; the stream can be read once."""
        return self

    async def __anext__(self):
        """Return the next chunk.

        Raises
        ------
        TimeoutError
            When the call's deadline is exceeded.
        PayloadBroken
            When the target broke off the answer.
        """
        if self.ended:
            raise StopAsyncIteration
        try:
            with CallTimeout(self.remaining()):
                chunk = await self.exchange.message.payload.read(CHUNK_BYTES)
        except BaseException:
            self.end(complete=False)
            raise
        if not chunk:
            self.end(complete=True)
            raise StopAsyncIteration
        return chunk

    async def aclose(self):
        """Close the connection unless the body was read to its end."""
        self.end(complete=False)

    def end(self, complete):
        """Return or close the connection, at the first call only."""
        if self.ended:
            return
        self.ended = True
        if complete:
            self.exchange.finish()
        else:
            self.exchange.abort()
        if self.on_end is not None:
            self.on_end(complete)

    def __del__(self):
        # A stream that is neither read nor closed would leak its connection,
        # and the target accepts only a few.
        self.end(complete=False)
