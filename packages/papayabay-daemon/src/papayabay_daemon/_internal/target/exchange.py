"""One HTTP/1.1 request and its answer on one connection to the target."""

import asyncio

from papayabay_core.calls import Body
from papayabay_core.http.connection import BodyWriter
from papayabay_core.http.payload import PayloadBroken
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.doors.streaming import write_body
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout

PART_BYTES = 65_536


class Exchange:
    """A request on its way on a connection of its own.

    Parameters
    ----------
    pool : TargetPool
        Gets the connection back.
    connection : ClientConnection
    limits : LimitSettings

    Attributes
    ----------
    begun : float
        When it was made, on `clock.now()`.
    ended : bool
        Whether the connection was given back or closed.
    """

    __slots__ = ("begun", "connection", "ended", "limits", "message", "pool", "upload")

    def __init__(self, pool, connection, limits):
        self.begun = now()
        self.pool = pool
        self.connection = connection
        self.limits = limits
        self.message = None
        self.upload = None
        self.ended = False

    def send(self, call, head):
        """Write a call; large bodies go on being written by a task.

        Parameters
        ----------
        call : Call
        head : bytes
            Request line and header fields.
        """
        self.connection.start_request(bodiless=call.method == "HEAD")
        body = call.body
        whole = body.is_complete and body.first
        self.connection.transport.write(head + body.first if whole else head)
        if not body.is_complete:
            self.upload = asyncio.create_task(self.send_body(call))

    async def send_body(self, call):
        """Write a streamed body; its failure fails the exchange."""
        length = rules.declared_length(call.headers)
        writer = BodyWriter(self.connection, chunked=length is None)
        try:
            await write_body(writer, call.body, length)
        except Exception as error:
            # Nobody awaits this task. Without passing its error on, the
            # target would wait for the body and the caller for the answer
            # until the call's life ends. It becomes an error of the payload:
            # what the body's source says (say, "too large: not run") is not
            # true of a request that was partly handed over.
            broken = PayloadBroken(f"the request's body broke off: {error!r}")
            self.connection.fail(broken)
            self.connection.abort()

    async def receive(self):
        """Return the next final answer on the connection as `Message`."""
        self.message = await self.connection.receive()
        return self.message

    async def skip(self):
        """Read an answer to its end that belongs to no request here.

        Raises
        ------
        PayloadBroken
            When it is longer than any that is read whole.
        """
        payload = self.message.payload
        while await payload.read(PART_BYTES):
            if payload.received_bytes > self.limits.inline_body_bytes:
                raise PayloadBroken("a stray answer is too long to skip")

    def body(self, expires_after):
        """Return the answer's body; a large one as a stream.

        Parameters
        ----------
        expires_after : callable
            Returns the seconds of life left.
        """
        payload = self.message.payload
        if payload.complete and payload.buffered_bytes <= self.limits.inline_body_bytes:
            body = Body(payload.read_all_nowait())
            self.finish()
            return body
        first = payload.read_all_nowait()
        return Body(first, AnswerStream(self, expires_after))

    def discard(self):
        """Leave the answer's body unread; keep the connection if possible.

        A target sheds when it is overloaded, and a new connection for each
        refusal would cost it more than the refusal itself.
        """
        if self.message.payload.complete:
            self.finish()
        else:
            self.abort()

    def finish(self):
        """Give the connection back, if the whole request was written."""
        if self.upload is not None and not self.upload.done():
            self.abort()
        elif not self.ended:
            self.ended = True
            self.pool.release(self.connection)

    def abort(self):
        """Close the connection unless it was given back before.

        The target sees its caller gone.
        """
        if self.upload is not None:
            self.upload.cancel()
        if not self.ended:
            self.ended = True
            self.connection.abort()


class AnswerStream:
    """The parts of a large answer after the first.

    Parameters
    ----------
    exchange : Exchange
    expires_after : callable
        Returns the seconds of life left.
    """

    def __init__(self, exchange, expires_after):
        self.exchange = exchange
        self.expires_after = expires_after
        self.on_end = None
        self.ended = False

    def __aiter__(self):
        """Return itself; the stream can be read once."""
        return self

    async def __anext__(self):
        """Return the next part.

        Raises
        ------
        TimeoutError
            When the call's life ended.
        PayloadBroken
            When the target broke off.
        """
        if self.ended:
            raise StopAsyncIteration
        try:
            with CallTimeout(self.expires_after()):
                part = await self.exchange.message.payload.read(PART_BYTES)
        except BaseException:
            self.end(whole=False)
            raise
        if not part:
            self.end(whole=True)
            raise StopAsyncIteration
        return part

    async def aclose(self):
        """Break off unless the end was reached."""
        self.end(whole=False)

    def end(self, whole):
        """Release or close the connection, once."""
        if self.ended:
            return
        self.ended = True
        if whole:
            self.exchange.finish()
        else:
            self.exchange.abort()
        if self.on_end is not None:
            self.on_end(whole)

    def __del__(self):
        # A stream that nobody reads or closes would hold its connection,
        # one of the few that the target takes, for good.
        self.end(whole=False)
