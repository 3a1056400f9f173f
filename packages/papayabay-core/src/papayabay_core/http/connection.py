"""What connections of both sides share: pausing, writing, their end."""

import asyncio
import socket
import struct


class HttpConnection(asyncio.Protocol):
    """A connection that can be held, and whose writers can wait.

    Attributes
    ----------
    transport : asyncio.Transport or None
    closed : bool
        Whether nothing more comes or goes.
    read_pauses : set
        Those for whose sake it is not read now.
    """

    def __init__(self):
        self.transport = None
        self.closed = False
        self.read_pauses = set()
        self.write_paused = False
        self.write_waiter = None

    def connection_made(self, transport):
        """Take the transport."""
        self.transport = transport

    def connection_lost(self, error):
        """Wake whoever waits to write."""
        self.closed = True
        self.read_pauses.clear()
        self.resume_writing()

    def pause_reading(self, requester):
        """Stop reading until the same requester lets go."""
        if not self.read_pauses and not self.closed:
            self.transport.pause_reading()
        self.read_pauses.add(requester)

    def resume_reading(self, requester):
        """Go on reading unless somebody else holds."""
        if requester not in self.read_pauses:
            return
        self.read_pauses.discard(requester)
        if not self.read_pauses and not self.closed:
            self.transport.resume_reading()

    def pause_writing(self):
        """Note that the peer reads slowly."""
        self.write_paused = True

    def resume_writing(self):
        """Let writers go on."""
        self.write_paused = False
        if self.write_waiter is not None and not self.write_waiter.done():
            self.write_waiter.set_result(None)

    async def drain(self):
        """Wait until there is room to write.

        Raises
        ------
        ConnectionResetError
            When the connection has ended.
        """
        while self.write_paused and not self.closed:
            self.write_waiter = asyncio.get_running_loop().create_future()
            await self.write_waiter
        if self.closed:
            raise ConnectionResetError("the connection has ended")

    def reset(self):
        """Break the connection so that its end can't be taken for regular.

        Closing in order ends a body without a length: an HTTP/1.0 client
        would take half an answer for whole. A reset can't be mistaken; it is
        what a socket sends that is closed with a linger time of 0.
        """
        if self.closed:
            return
        linger = struct.pack("ii", 1, 0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


class BodyWriter:
    """Writes the parts of a streamed body as fast as the peer takes them.

    Parameters
    ----------
    connection : HttpConnection
    chunked : bool
        Whether each part is framed as a chunk (RFC 9112, section 7.1).
    """

    __slots__ = ("chunked", "connection")

    def __init__(self, connection, chunked):
        self.connection = connection
        self.chunked = chunked

    async def write(self, part):
        """Write one part; an empty one would end a chunked body."""
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
