"""One HTTP/1.1 request and its answer on one connection to the target.

aiohttp brings the connections, their pool and the parser. Its own request
and response objects are left out: they cost more than the rest of the
call, and they repeat a request whose connection was lost, which is not
theirs to decide here.
"""

import asyncio

from aiohttp import ClientPayloadError
from aiohttp.http_writer import StreamWriter

from papayabay_core.calls import Body
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.doors.streaming import write_body
from papayabay_daemon._internal.lifetime.timeouts import LifeTimeout

MAX_HEADER_FIELDS = 256
READ_BUFFER_BYTES = 65_536
PART_BYTES = 65_536
FIRST_FINAL_STATUS = 200


class Exchange:
    """A request on its way on a connection of its own.

    Parameters
    ----------
    connection : aiohttp.connector.Connection
    limits : LimitSettings
    """

    __slots__ = ("connection", "limits", "payload", "protocol", "upload")

    def __init__(self, connection, limits):
        self.connection = connection
        self.protocol = connection.protocol
        self.limits = limits
        self.payload = None
        self.upload = None

    def send(self, call, head):
        """Write a call; large bodies go on being written by a task.

        Parameters
        ----------
        call : Call
        head : bytes
            Request line and header fields.
        """
        self.protocol.set_response_params(
            skip_payload=call.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            max_headers=MAX_HEADER_FIELDS,
        )
        self.protocol.transport.write(
            head + call.body.first if call.body.whole else head
        )
        if not call.body.whole:
            self.upload = asyncio.create_task(self.send_body(call))

    async def send_body(self, call):
        """Write a streamed body; its failure fails the exchange."""
        writer = StreamWriter(self.protocol, asyncio.get_running_loop())
        length = rules.declared_length(call.headers)
        if length is None:
            writer.enable_chunking()
        try:
            await write_body(writer, call.body, length)
        except Exception as error:
            # Nobody awaits this task. Without passing its error on, the
            # target would wait for the body and the caller for the answer
            # until the call's life ends. It becomes a payload error: what
            # the body's source says (say, "too large: not run") is not true
            # of a request that was partly handed over.
            broken = ClientPayloadError(f"the request's body broke off: {error!r}")
            self.protocol.set_exception(broken)
            if self.payload is not None:
                self.payload.set_exception(broken)
            self.connection.close()

    async def receive(self):
        """Return status and raw header fields of the final answer."""
        while True:
            message, payload = await self.protocol.read()
            if message.code >= FIRST_FINAL_STATUS:
                self.payload = payload
                return message.code, message.raw_headers

    async def skip(self):
        """Read an answer to its end that belongs to no request here.

        Raises
        ------
        aiohttp.ClientError
            When it is longer than any that is read whole.
        """
        size = 0
        while not self.payload.at_eof():
            size += len(await self.payload.read(PART_BYTES))
            if size > self.limits.inline_body_bytes:
                raise ClientPayloadError("a stray answer is too long to skip")

    async def read_body(self, expires_after):
        """Return the answer's body; a large one as a stream.

        Parameters
        ----------
        expires_after : callable
            Returns the seconds of life left.
        """
        inline = self.limits.inline_body_bytes
        if self.payload.is_eof() and self.payload.total_bytes <= inline:
            # Small answers arrive whole, with their head.
            body = Body(self.payload.read_nowait())
            self.finish()
            return body
        parts = []
        size = 0
        while size < inline:
            part = await self.payload.read(inline - size)
            parts.append(part)
            if self.payload.at_eof():
                self.finish()
                return Body(b"".join(parts))
            size += len(part)
        return Body(b"".join(parts), AnswerStream(self, expires_after))

    def discard(self):
        """Leave the answer's body unread; keep the connection if possible.

        A target sheds when it is overloaded, and a new connection for each
        refusal would cost it more than the refusal itself.
        """
        if self.payload.is_eof():
            self.finish()
        else:
            self.abort()

    def finish(self):
        """Give the connection back, if the whole request was written."""
        if self.upload is not None and not self.upload.done():
            self.abort()
            return
        self.connection.release()

    def abort(self):
        """Close the connection; the target sees its caller gone."""
        if self.upload is not None:
            self.upload.cancel()
        self.connection.close()


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
        aiohttp.ClientError
            When the target broke off.
        """
        if self.ended:
            raise StopAsyncIteration
        try:
            with LifeTimeout(self.expires_after()):
                part = await self.exchange.payload.read(PART_BYTES)
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
