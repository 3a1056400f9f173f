"""Request bodies: whole when small, streamed when large."""

from papayabay_core.calls import Body
from papayabay_core.errors import CallError, ErrorKind

PART_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_message(request, limits):
    """Return the whole body of a small message; BAD_REQUEST when larger."""
    body = await IncomingBody(request, limits).read()
    if not body.is_complete:
        raise CallError(ErrorKind.BAD_REQUEST, "the message is too large")
    return body.first


class IncomingBody:
    """Reads one request's body and remembers how that went.

    Attributes
    ----------
    fault : CallError or None
        Why the body could not be read to its end.
    handed_over : bool
        Whether a part after the first was taken; what it was given to may
        have begun to work on an incomplete request.
    """

    __slots__ = ("fault", "handed_over", "limits", "request", "total")

    def __init__(self, request, limits):
        self.request = request
        self.limits = limits
        self.total = 0
        self.fault = None
        self.handed_over = False

    async def read(self):
        """Return the body.

        Raises
        ------
        CallError
            BODY_TOO_LARGE or BAD_REQUEST.
        """
        payload = self.request.payload
        if payload is None:
            return Body()
        if (self.request.head.length or 0) > self.limits.body_bytes:
            raise self.fail(ErrorKind.BODY_TOO_LARGE)
        self.send_continue()
        parts = []
        inline = self.limits.inline_body_bytes
        while self.total < inline:
            parts.append(await self.next_part(inline - self.total))
            if payload.fully_read:
                return Body(b"".join(parts))
        return Body(b"".join(parts), self.stream())

    async def stream(self):
        """Yield the parts after the first."""
        self.handed_over = True
        while part := await self.next_part():
            yield part

    async def next_part(self, size=PART_BYTES):
        """Return up to `size` bytes that arrived next; empty at the end."""
        try:
            part = await self.request.payload.read(size)
        except CallError as error:
            raise self.fail(ErrorKind.BAD_REQUEST, "the body is malformed") from error
        self.total += len(part)
        if self.total > self.limits.body_bytes:
            raise self.fail(ErrorKind.BODY_TOO_LARGE)
        return part

    def send_continue(self):
        """Let a client go on that waits to be told so (RFC 9110, 10.1.1)."""
        request = self.request
        if request.header(b"expect").lower() != "100-continue":
            return
        if not request.payload.complete and not request.connection.closed:
            request.connection.transport.write(CONTINUE)

    def fail(self, kind, detail=""):
        """Note and return the error that ended the reading."""
        self.fault = CallError(kind, detail)
        return self.fault
