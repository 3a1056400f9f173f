"""TCP connections in memory, in virtual time, with faults of each path."""

import asyncio
import sys
from collections import deque
from contextlib import ExitStack, contextmanager
from contextvars import ContextVar, copy_context
from types import SimpleNamespace
from unittest import mock

from papayabay_core.utils import clock
from tests.lib.virtual_time import VirtualTimeLoop

DELAY_SECONDS = 0.001
FIRST_PORT = 20_000
SOURCE = ContextVar("source", default="client")
"""Host on which the running code runs; tasks inherit it."""
END, RESET = object(), object()
"""Sent after the bytes of a connection that is closed or reset."""


class Path:
    """Condition of the way from one host to another.

    Attributes
    ----------
    delay : float
        Seconds that each segment takes.
    is_held : bool
        Whether segments are kept back until the path is released.
    """

    def __init__(self):
        self.delay = DELAY_SECONDS
        self.is_held = False
        self.transports = {}

    def hold(self):
        self.is_held = True

    def release(self):
        self.is_held = False
        for transport in list(self.transports):
            transport.deliver_due()


class MemoryTransport:
    """One end of a connection; segments arrive at the other end in order."""

    def __init__(self, network, protocol, path, host, name):
        self.context = context_of(host)
        self.network = network
        self.loop = network.loop
        self.protocol = protocol
        self.path = path
        self.name = name
        self.peer = None
        self.segments = deque()
        self.unread = deque()
        self.is_reading = True
        self.closing = False
        self.lost = False
        self.high = 65_536
        self.is_write_paused = False
        path.transports[self] = None

    # What protocols use.

    def write(self, data):
        if self.closing or not data:
            return
        self.send(bytes(data))
        if not self.is_write_paused and self.get_write_buffer_size() > self.high:
            self.is_write_paused = True
            self.protocol.pause_writing()

    def writelines(self, parts):
        self.write(b"".join(parts))

    def close(self):
        if not self.closing:
            self.closing = True
            self.send(END)
            self.loop.call_soon(self.lose, None)

    def abort(self):
        if self.lost:
            return
        self.closing = True
        # Bytes that the kernel has taken may arrive or not.
        if self.network.random.random() < 0.5:
            self.segments.clear()
        self.send(RESET)
        self.loop.call_soon(self.lose, None)

    def send_reset(self):
        """Reset the connection as the network does, at both ends."""
        for end in (self, self.peer):
            end.segments.clear()
            end.closing = True
            error = ConnectionResetError("reset")
            self.loop.call_soon(end.lose, error)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return sum(len(data) for _, data in self.segments if isinstance(data, bytes))

    def set_write_buffer_limits(self, high=None, low=None):
        self.high = high

    def get_extra_info(self, name, default=None):
        return self.name if name == "peername" else default

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True
        self.loop.call_soon(self.read_all)

    # The way to the other end.

    def send(self, data):
        due = self.loop.time() + self.path.delay
        if self.segments:
            due = max(due, self.segments[-1][0])
        self.segments.append((due, data))
        self.loop.call_at(due, self.deliver_due)

    def deliver_due(self):
        while self.segments and not self.path.is_held:
            due, data = self.segments[0]
            if due > self.loop.time():
                break
            self.segments.popleft()
            self.peer.receive(data)
        if self.is_write_paused and self.get_write_buffer_size() <= self.high // 4:
            self.is_write_paused = False
            if not self.lost:
                self.protocol.resume_writing()

    def receive(self, data):
        self.unread.append(data)
        self.read_all()

    def read_all(self):
        while self.unread and self.is_reading and not self.lost:
            data = self.unread.popleft()
            if data is END:
                self.close()
            elif data is RESET:
                self.closing = True
                self.lose(ConnectionResetError("reset"))
            else:
                self.context.run(self.protocol.data_received, data)

    def lose(self, error):
        if not self.lost:
            self.lost = self.closing = True
            self.context.run(self.protocol.connection_lost, error)


class MemoryNetwork:
    """Listeners and paths between hosts."""

    def __init__(self, loop, random):
        self.loop = loop
        self.random = random
        self.listeners = {}
        self.paths = {}
        self.last_port = FIRST_PORT

    def path(self, source, destination):
        return self.paths.setdefault((source, destination), Path())

    def listen(self, factory, host, port):
        if not port:
            self.last_port += 1
            port = self.last_port
        self.listeners[host, port] = factory
        address = SimpleNamespace(getsockname=lambda: (host, port))
        return SimpleNamespace(
            sockets=[address],
            close=lambda: self.listeners.pop((host, port), None),
        )

    async def connect(self, factory, source, host, port):
        there, back = self.path(source, host), self.path(host, source)
        await asyncio.sleep(there.delay + back.delay)
        while there.is_held or back.is_held:
            await asyncio.sleep(0.05)
        listener = self.listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens at {host}:{port}")
        near = MemoryTransport(self, factory(), there, source, (host, port))
        far = MemoryTransport(self, listener(), back, host, (source, 0))
        near.peer, far.peer = far, near
        for end in (far, near):
            end.context.run(end.protocol.connection_made, end)
        return near, near.protocol


class NetworkLoop(VirtualTimeLoop):
    """A loop in virtual time whose connections are in memory.

    Attributes
    ----------
    network : MemoryNetwork
        To be set before it is used.
    """

    network = None

    async def create_server(self, factory, host, port, **options):
        return self.network.listen(factory, host, port)

    async def create_connection(self, factory, host, port, **options):
        return await self.network.connect(factory, SOURCE.get(), host, port)


def context_of(host):
    """Return a context for code of a host."""
    context = copy_context()
    context.run(SOURCE.set, host)
    return context


@contextmanager
def virtual_clock(loop):
    """Let all of papayabay read the loop's time as its clock."""
    real = clock.now
    with ExitStack() as stack:
        for name, module in list(sys.modules.items()):
            if name.startswith("papayabay") and vars(module).get("now") is real:
                stack.enter_context(mock.patch.object(module, "now", loop.time))
        yield
