"""HTTP/1.1 messages on asyncio streams, for the stand-ins."""

import asyncio
from http import HTTPStatus


class Message:
    """A request or an answer.

    Attributes
    ----------
    start : list of str
        The three parts of the first line.
    fields : dict of str to str
        Header fields by lower-case name.
    body : bytes
    """

    def __init__(self, start, fields):
        self.start = start
        self.fields = fields
        self.body = b""

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start[1])


async def read_message(reader):
    """Return the next message, or None if the connection has ended.

    Raises
    ------
    ConnectionError
        If the connection ends within a message.
    """
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended in a head") from None
        return None
    first, *lines = block.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    message = Message(first.split(" ", 2), fields)
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            message.body = await read_chunks(reader)
        else:
            length = int(fields.get("content-length", 0))
            message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        raise ConnectionResetError("the connection ended in a body") from None
    return message


async def read_chunks(reader):
    """Return a body that is sent in chunks."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


def encode_answer(status, fields, body=b""):
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(method, path, fields, body=b""):
    """Return a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address, request, seconds):
    """Send a request on a connection of its own and return the answer.

    Raises
    ------
    OSError, TimeoutError
        If no complete answer comes in time.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError("closed without an answer")
            return answer
        finally:
            writer.transport.abort()
