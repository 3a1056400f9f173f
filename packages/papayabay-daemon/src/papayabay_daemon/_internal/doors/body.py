"""Reads request bodies: small ones completely, large ones as a stream."""

from papayabay_core.calls import Body
from papayabay_core.errors import CallError, ErrorKind

PART_BYTES = 65_536
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_message(request, limits):
    """Return the body of a small message; BAD_REQUEST if it is too large."""
    body = await RequestBody(request, limits).read()
    if not body.is_complete:
        raise CallError(ErrorKind.BAD_REQUEST, "the message is too large")
    return body.first


class RequestBody:
    """Reads one request's body and records why it could not be read.

    Attributes
    ----------
    fault : CallError or None
        Why the body could not be read completely.
    streaming_started : bool
        Whether parts after the first were requested; their reader may have
        started to process an incomplete request.
    """

    __slots__ = ("fault", "streaming_started", "limits", "request", "total")

    def __init__(self, request, limits):
        self.request = request
        self.limits = limits
        self.total = 0
        self.fault = None
        self.streaming_started = False

    async def read(self):
        """Return the body; one above `inline_body_bytes` is streamed.

        Raises
        ------
        CallError
            BODY_TOO_LARGE or BAD_REQUEST.
        """
        payload = self.request.payload
        if payload is None:
            return Body()
        if (self.request.length or 0) > self.limits.body_bytes:
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
        """Yield the rest of the body in parts."""
        self.streaming_started = True
        while part := await self.next_part():
            yield part

    async def next_part(self, size=PART_BYTES):
        """Return the next bytes, at most `size`; empty at the end."""
        try:
            part = await self.request.payload.read(size)
        except CallError as error:
            raise self.fail(ErrorKind.BAD_REQUEST, "the body is malformed") from error
        self.total += len(part)
        if self.total > self.limits.body_bytes:
            raise self.fail(ErrorKind.BODY_TOO_LARGE)
        return part

    def send_continue(self):
        """Send 100 Continue if the client expects it (RFC 9110, 10.1.1)."""
        request = self.request
        if request.header(b"expect").lower() != "100-continue":
            return
        if not request.payload.complete and not request.connection.closed:
            request.connection.transport.write(CONTINUE)

    def fail(self, kind, detail=""):
        """Record and return the error."""
        self.fault = CallError(kind, detail)
        return self.fault
