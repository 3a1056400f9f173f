"""A TCP relay for the links between daemons, with faults of each direction."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
BUFFER_BYTES = 65_536
"""Write buffer of each direction, beyond which the sender is not read."""


@dataclass(slots=True)
class Direction:
    """Condition of one direction of the links between two daemons.

    Attributes
    ----------
    is_open : asyncio.Event
        While it is clear, bytes are held back. They are delivered later.
    delay_seconds : float
    bytes_per_second : float
        0 does not limit the rate.
    """

    is_open: asyncio.Event = field(default_factory=asyncio.Event)
    delay_seconds: float = 0.0
    bytes_per_second: float = 0.0

    def __post_init__(self):
        self.is_open.set()


class Relay:
    """Accepts the links that one daemon dials and relays them to its peers.

    A dialler sends a line with the peer's host and port first.

    Parameters
    ----------
    name : str
        The daemon that dials.
    directions : dict of (str, str) to Direction
        By the names of sender and receiver; shared by all relays.
    names : dict of str to str
        Names of daemons by host.
    """

    def __init__(self, name, directions, names):
        self.name = name
        self.directions = directions
        self.names = names
        self.server = None
        self.tasks = {}
        self.writers = set()

    async def start(self, host):
        """Listen on a free port of a host; return host and port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        return self.server.sockets[0].getsockname()[:2]

    def close(self):
        """Stop to listen, and close all connections."""
        self.server.close()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Relay one connection until either end closes it."""
        self.writers.add(writer)
        peer_writer = None
        try:
            host, port = (await reader.readline()).decode().split()
            peer_reader, peer_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(peer_writer)
            peer = self.names[host]
            await asyncio.gather(
                self.forward(reader, peer_writer, self.directions[self.name, peer]),
                self.forward(peer_reader, writer, self.directions[peer, self.name]),
            )
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            for one in filter(None, (writer, peer_writer)):
                self.writers.discard(one)
                one.transport.abort()

    async def forward(self, reader, writer, direction):
        """Forward the bytes of one direction under its present condition."""
        writer.transport.set_write_buffer_limits(high=BUFFER_BYTES)
        while data := await reader.read(CHUNK_BYTES):
            await direction.is_open.wait()
            if direction.delay_seconds:
                await asyncio.sleep(direction.delay_seconds)
            if direction.bytes_per_second:
                await asyncio.sleep(len(data) / direction.bytes_per_second)
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.write_eof()
