"""Flow control and closing, for both client and server connections."""

import asyncio
import socket
import struct


class HttpConnection(asyncio.Protocol):
    """A connection with flow control for reading and writing.

    Attributes
    ----------
    transport : asyncio.Transport or None
    loop : asyncio.AbstractEventLoop or None
        The loop of the transport. Kept, as each look-up of the running loop
        is a system call in Python 3.11.
    closed : bool
        Whether the connection is closed.
    read_pauses : set
        Objects that have paused reading and not resumed it.
    """

    def __init__(self):
        self.transport = None
        self.loop = None
        self.closed = False
        self.read_pauses = set()
        self.write_paused = False
        self.write_waiter = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.loop = asyncio.get_running_loop()

    def connection_lost(self, error):
        """Wake the waiting writer."""
        self.closed = True
        self.read_pauses.clear()
        self.resume_writing()

    def pause_reading(self, requester):
        """Stop reading until the same requester calls `resume_reading`."""
        if not self.read_pauses and not self.closed:
            self.transport.pause_reading()
        self.read_pauses.add(requester)

    def resume_reading(self, requester):
        """Resume reading unless another requester has paused it."""
        if requester not in self.read_pauses:
            return
        self.read_pauses.discard(requester)
        if not self.read_pauses and not self.closed:
            self.transport.resume_reading()

    def pause_writing(self):
        """Make writers wait: the write buffer is full."""
        self.write_paused = True

    def resume_writing(self):
        """Wake the waiting writer: the write buffer has room."""
        self.write_paused = False
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)

    async def drain(self):
        """Wait until the write buffer has room.

        Raises
        ------
        ConnectionResetError
            When the connection is closed.
        """
        while self.write_paused and not self.closed:
            self.write_waiter = asyncio.get_running_loop().create_future()
            await self.write_waiter
        if self.closed:
            raise ConnectionResetError("the connection has ended")

    def reset(self):
        """Close the connection with a TCP reset.

        An orderly close ends a body without a declared length, so an HTTP/1.0
        client would accept a truncated answer as complete. A reset is always
        an error. A linger time of 0 makes the socket send one.
        """
        if self.closed:
            return
        linger = struct.pack("ii", 1, 0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


class BodyWriter:
    """Writes a streamed body as fast as the peer reads it.

    Parameters
    ----------
    connection : HttpConnection
    chunked : bool
        Whether to use the chunked transfer coding (RFC 9112, section 7.1).
    """

    __slots__ = ("chunked", "connection")

    def __init__(self, connection, chunked):
        self.connection = connection
        self.chunked = chunked

    async def write(self, part):
        """Write one part; skip empty ones, which would end a chunked body."""
        if not part:
            return
        if self.chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        self.connection.transport.write(part)
        await self.connection.drain()

    async def write_eof(self):
        """Write the end of the body."""
        if self.chunked:
            self.connection.transport.write(b"0\r\n\r\n")
        await self.connection.drain()
