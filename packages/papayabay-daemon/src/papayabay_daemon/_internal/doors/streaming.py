"""Writes a streamed body to a connection."""


class LengthMismatch(ConnectionError):
    """A body was longer or shorter than its Content-Length."""


async def write_body(writer, body, length):
    """Write a streamed body.

    If its length differs from the one that the head declares, the receiver
    would find the next message at the wrong place of the connection, and one
    client could get a part of another's answer. The caller of this function
    must reset the connection on any exception.

    Parameters
    ----------
    writer : BodyWriter
    body : Body
    length : int or None
        Length that the head declares; None for a chunked body.

    Raises
    ------
    LengthMismatch
        If the body is too long, before the excess is written, or too short.
    """
    written = 0
    if body.first:
        written = len(body.first)
        await writer.write(body.first)
    async for part in body.rest:
        written += len(part)
        if length is not None and written > length:
            raise LengthMismatch(f"more than {length} bytes")
        await writer.write(part)
    if length is not None and written != length:
        raise LengthMismatch(f"{written} bytes in place of {length}")
    await writer.write_eof()
