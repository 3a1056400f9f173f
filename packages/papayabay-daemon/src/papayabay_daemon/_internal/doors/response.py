"""Writing answers to HTTP clients."""

import json
import socket
import struct
import time
from http import HTTPStatus
from wsgiref.handlers import format_date_time

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import Effect
from papayabay_daemon._internal.doors.headers import TEXT, declared_length
from papayabay_daemon._internal.doors.streaming import write_body

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}
STATUS_LINES[499] = "HTTP/1.1 499 Client Closed Request\r\n"
WITHOUT_BODY = frozenset({204, 304})


class HttpDate:
    """The Date header of the current second; formatting it costs much."""

    def __init__(self):
        self.second = 0
        self.line = ""

    def current(self):
        """Return the header line."""
        second = int(time.time())
        if second != self.second:
            self.second = second
            self.line = f"Date: {format_date_time(second)}\r\n"
        return self.line


DATE = HttpDate()


def json_answer(value, status=200):
    """Return a JSON answer of the daemon's own."""
    body = json.dumps(value).encode()
    return Answer(status, [("Content-Type", "application/json")], Body(body))


def reset(transport):
    """Break a connection so that its client can't take the end for regular.

    Closing in order ends a body without a length: an HTTP/1.0 client would
    take half an answer for whole. A reset can't be mistaken; it is what a
    socket sends that is closed with a linger time of 0.
    """
    linger = struct.pack("ii", 1, 0)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class DoorResponse:
    """Writes one answer as it is: no header is added to or taken from it
    but those of the connection, Date and what the dialect ends with.

    It has the three members that aiohttp's connection handler uses of a
    response.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection takes another request.
    """  # noqa: D205

    __slots__ = ("answer", "dialect", "keep_alive", "request")

    def __init__(self, answer, dialect, keep_alive=True):
        if answer.kind is not None:
            answer = dialect.render_error(answer, answer.headers)
        self.answer = answer
        self.dialect = dialect
        self.keep_alive = keep_alive
        self.request = None

    async def prepare(self, request):
        """Take the request that is answered."""
        self.request = request
        self.keep_alive = self.keep_alive and bool(request.keep_alive)

    async def write_eof(self):
        """Write head and body.

        Raises
        ------
        ConnectionError
            When the client left, or the body could not be had to its end.
        """
        try:
            transport = self.request.transport
            if transport is None or transport.is_closing():
                raise ConnectionResetError("the client left")
            if self.answer.body.whole:
                transport.write(self.whole_message())
            else:
                await self.write_stream(transport)
        finally:
            close = getattr(self.answer.body.rest, "aclose", None)
            if close is not None:
                await close()

    def has_body(self):
        """Whether a body follows the head."""
        status = self.answer.status
        return self.request.method != "HEAD" and status not in WITHOUT_BODY

    def whole_message(self):
        """Return head and body in one piece, so that one write sends both."""
        body = self.answer.body.first
        if self.has_body():
            return self.head(f"Content-Length: {len(body)}\r\n", False) + body
        return self.head("", self.answer.status != 204)

    async def write_stream(self, transport):
        """Write a body whose parts are still to come."""
        if not self.has_body():
            transport.write(self.head("", self.answer.status != 204))
            return
        writer = self.request.writer
        framing = ""
        length = declared_length(self.answer.headers)
        sized = length is not None
        if not sized and self.request.version >= (1, 1):
            framing = "Transfer-Encoding: chunked\r\n"
            writer.enable_chunking()
        elif not sized:
            self.keep_alive = False
        transport.write(self.head(framing, sized))
        try:
            await write_body(writer, self.answer.body, length)
        except Exception as error:
            reset(transport)
            raise ConnectionResetError("the answer broke off") from error

    def head(self, framing, keep_length):
        """Return the status line and header fields as bytes."""
        answer = self.answer
        lines = [STATUS_LINES.get(answer.status) or f"HTTP/1.1 {answer.status} \r\n"]
        dated = False
        for name, value in answer.headers:
            key = name.lower()
            if key == "content-length" and not keep_length:
                continue
            dated = dated or key == "date"
            lines.append(f"{name}: {value}\r\n")
        if not dated:
            lines.append(DATE.current())
        lines.append(self.dialect.closing_fields(answer))
        lines.append(framing)
        if not self.keep_alive:
            lines.append("Connection: close\r\n")
        elif self.request.version < (1, 1):
            lines.append("Connection: keep-alive\r\n")
        lines.append("\r\n")
        return "".join(lines).encode(*TEXT)


def fault_answer(state, dialect):
    """Return the answer to a request whose body could not be read whole.

    Parts of it may have been handed over before the fault was seen. Then
    nothing certain can be said of the effect, whatever the table says.
    """
    effect = Effect.UNKNOWN if state.handed_over else None
    return dialect.render_error(state.fault, effect=effect)
