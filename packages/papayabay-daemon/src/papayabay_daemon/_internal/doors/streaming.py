"""Writing a streamed body to a connection."""


class LengthMismatch(ConnectionError):
    """A body had more or fewer bytes than its Content-Length said."""


async def write_body(writer, body, length):
    """Write a body whose parts are still to come.

    A body of another length than the head announced would shift the border
    to the next message on a kept connection: somebody would get a piece of
    another one's answer. The caller of this function has to break the
    connection on any exception.

    Parameters
    ----------
    writer : BodyWriter
    body : Body
    length : int or None
        What the head announced; None for a chunked body.

    Raises
    ------
    LengthMismatch
        Before a byte too many is written, or when some are missing.
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
