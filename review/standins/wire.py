"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone"}
REASONS |= {412: "Precondition Failed", 421: "Misdirected Request"}
REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


class Broken(Exception):
    """The connection ended, or was reset, within a message."""


@dataclass
class Message:
    """A request or an answer.

    Attributes
    ----------
    start : list of str
        The three parts of the first line.
    fields : dict of str to str
        Header fields by lower-case name.
    """

    start: list
    fields: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.start[1])


async def read_head(reader):
    """Return a `Message` without its body; None at the connection's end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("the connection ended within a head") from None
        return None
    except ConnectionError as error:
        raise Broken(repr(error)) from None
    first, *lines = block.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(first.split(" ", 2), fields)


async def read_body(reader, message):
    """Read the body that follows a head with a length, or in chunks."""
    try:
        if "chunked" in message.fields.get("transfer-encoding", ""):
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(message.fields.get("content-length", 0))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(f"the body broke off: {error!r}") from None


async def read_message(reader):
    """Return a whole message; None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def answer_head(status, fields, length):
    """Return the head of an answer as bytes."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def request_bytes(method, path, fields, body=b""):
    """Return a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def exchange(address, method, path, fields, body=b"", seconds=5.0):
    """Send one request on a new connection; return the answer.

    Raises
    ------
    Broken, OSError, TimeoutError
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request_bytes(method, path, fields, body))
            answer = await read_message(reader)
            if answer is None:
                raise Broken("closed without an answer")
            return answer
        finally:
            writer.close()
