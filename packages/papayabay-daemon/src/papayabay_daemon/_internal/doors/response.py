"""Writes answers to HTTP clients."""

import json
import time
from http import HTTPStatus
from wsgiref.handlers import format_date_time

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import Effect
from papayabay_core.http.connection import BodyWriter
from papayabay_daemon._internal.doors.headers import HEADER_CODEC, declared_length
from papayabay_daemon._internal.doors.streaming import write_body

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}
STATUS_LINES[499] = "HTTP/1.1 499 Client Closed Request\r\n"
CLOSED = "the client closed the connection"
WITHOUT_BODY = frozenset({204, 304})


class HttpDate:
    """The Date header line, cached for a second as formatting it is slow."""

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
    """Return an answer of the daemon with a JSON body."""
    body = json.dumps(value).encode()
    return Answer(status, [("Content-Type", "application/json")], Body(body))


class DoorResponse:
    """Writes one answer to a client.

    The answer's header fields are sent unchanged, except for fields that
    frame the body or concern the connection, Date, and the dialect's fields.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection accepts further requests after the answer.
    """

    __slots__ = ("answer", "connection", "dialect", "keep_alive", "request")

    def __init__(self, answer, dialect, keep_alive=True):
        if answer.kind is not None:
            answer = dialect.render_error(answer, answer.headers)
        self.answer = answer
        self.dialect = dialect
        self.keep_alive = keep_alive
        self.connection = None
        self.request = None

    def send(self, connection, request, is_last):
        """Write head and body, or return what writes a streamed body.

        An answer that is complete in memory, as most are, is written at once,
        without a coroutine.

        Parameters
        ----------
        connection : ServerConnection
        request : Request or None
            None if no request could be parsed.
        is_last : bool
            Whether the connection is closed after this answer.

        Returns
        -------
        coroutine or None
            Writes a streamed answer; None if the answer is written.

        Raises
        ------
        ConnectionError
            If the client closed the connection, or the answer's body failed
            before its end.
        """
        self.connection = connection
        self.request = request
        if is_last:
            self.keep_alive = False
        body = self.answer.body
        if body.rest is not None:
            return self.send_stream()
        if connection.closed or connection.transport.is_closing():
            raise ConnectionResetError(CLOSED)
        connection.transport.write(self.whole_message())
        return None

    async def send_stream(self):
        """Write head and streamed body, and close the body's source."""
        connection = self.connection
        try:
            if connection.closed or connection.transport.is_closing():
                raise ConnectionResetError(CLOSED)
            await self.write_stream()
        finally:
            close = getattr(self.answer.body.rest, "aclose", None)
            if close is not None:
                await close()

    @property
    def predates_http_1_1(self):
        """Whether the client uses an HTTP version before 1.1."""
        return self.request is not None and self.request.version < "1.1"

    def has_body(self):
        """Return whether a body follows the head."""
        is_head = self.request is not None and self.request.method == "HEAD"
        return not is_head and self.answer.status not in WITHOUT_BODY

    def whole_message(self):
        """Return head and body together, so that one write sends both."""
        if not self.has_body():
            return self.bare_head()
        body = self.answer.body.first
        return self.head(f"Content-Length: {len(body)}\r\n", False) + body

    def bare_head(self):
        """Return the head of an answer that no body follows."""
        return self.head("", self.answer.status != 204)

    async def write_stream(self):
        """Write the head and a streamed body."""
        connection = self.connection
        if not self.has_body():
            connection.transport.write(self.bare_head())
            return
        framing = ""
        length = declared_length(self.answer.headers)
        sized = length is not None
        chunked = not sized and not self.predates_http_1_1
        if chunked:
            framing = "Transfer-Encoding: chunked\r\n"
        elif not sized:
            self.keep_alive = False
        connection.transport.write(self.head(framing, sized))
        try:
            await write_body(BodyWriter(connection, chunked), self.answer.body, length)
        except Exception as error:
            raise ConnectionResetError("the answer's body is incomplete") from error

    def head(self, framing, keep_length):
        """Return the status line and header fields as bytes."""
        answer = self.answer
        # Faster than joining a list of lines, as heads are short.
        head = STATUS_LINES.get(answer.status) or f"HTTP/1.1 {answer.status} \r\n"
        dated = False
        for name, value in answer.headers:
            key = name.lower()
            if key == "content-length" and not keep_length:
                continue
            dated = dated or key == "date"
            head = f"{head}{name}: {value}\r\n"
        date = "" if dated else DATE.current()
        last = ""
        if not self.keep_alive:
            last = "Connection: close\r\n"
        elif self.request is not None and self.request.version < "1.1":
            last = "Connection: keep-alive\r\n"
        final = self.dialect.final_header_lines(answer)
        return f"{head}{date}{final}{framing}{last}\r\n".encode(*HEADER_CODEC)


def body_error_answer(request_body, dialect):
    """Return the answer to a request whose body could not be read.

    If parts of the body were streamed before the error, the request may have
    run, so its effect is unknown, whatever `ERROR_ANSWERS` says.
    """
    effect = Effect.UNKNOWN if request_body.streaming_started else None
    return dialect.render_error(request_body.fault, effect=effect)
