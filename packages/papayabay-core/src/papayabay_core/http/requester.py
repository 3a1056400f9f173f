"""HTTP requests of the daemon itself, as opposed to forwarded calls."""

import asyncio
import socket
from dataclasses import dataclass
from urllib.parse import urlencode, urlsplit

from papayabay_core.http.client import ClientConnection
from papayabay_core.settings import LimitSettings
from papayabay_core.utils.clock import now

IDLE_SECONDS = 15.0
"""How long an idle connection is kept. Servers close idle connections after
30 s or more, and a request sent at that moment is lost."""
CHUNK_BYTES = 65_536
HTTP_PORT = 80
BODILESS = frozenset({"GET", "HEAD", "DELETE"})
"""Methods whose requests need no Content-Length when they have no body."""


class NotSent(ConnectionError):
    """No connection could be established, so nothing was sent."""


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer with its complete body.

    Attributes
    ----------
    status : int
    content : bytes
    fields : dict of bytes to bytes
        First value of each header field, by lower-case name.
    """

    status: int
    content: bytes
    fields: dict


def plain_socket(address_info):
    """Return a socket for an address returned by `getaddrinfo`."""
    family, kind, protocol, _, _ = address_info
    return socket.socket(family, kind, protocol)


class Requester:
    """HTTP client with connection reuse.

    Used for health checks of the target and for the platform's services. A
    client library would add to the memory and start-up time of each process.

    Parameters
    ----------
    connect_seconds : float
        Timeout for establishing a connection.
    max_bytes : int
        Largest accepted body of an answer.
    make_socket : callable
        Returns a socket for an address as returned by `getaddrinfo`.
    """

    def __init__(self, connect_seconds, max_bytes, make_socket=plain_socket):
        self.connect_seconds = connect_seconds
        self.max_bytes = max_bytes
        self.make_socket = make_socket
        self.limits = LimitSettings()
        self.open = set()
        self.idle = {}

    async def send(self, method, url, content=b"", query=None):
        """Send one request and return its `Reply`.

        Parameters
        ----------
        method, url : str
        content : bytes
            JSON body; empty for none.
        query : dict of str to str or None

        Raises
        ------
        NotSent
            When no connection could be established.
        ConnectionError
            When the connection failed before the answer was complete.
        ValueError
            When the body of the answer exceeds `max_bytes`.
        """
        split_url = urlsplit(url)
        key = (split_url.hostname, split_url.port or HTTP_PORT)
        connection = self.take_idle(key) or await self.connect(*key)
        connection.start_request(bodiless=method == "HEAD")
        try:
            connection.transport.write(request_head(method, split_url, content, query))
            connection.transport.write(content)
            message = await connection.receive()
            reply = await self.read(message)
        except BaseException:
            connection.abort()
            self.close_idle(key)
            raise
        self.give_back(key, connection)
        return reply

    async def read(self, message):
        """Return the `Reply` of an answer once its body is complete."""
        content = bytearray()
        while part := await message.payload.read(CHUNK_BYTES):
            content += part
            if len(content) > self.max_bytes:
                raise ValueError(f"response exceeds {self.max_bytes} bytes")
        return Reply(message.status, bytes(content), message.head.first)

    def take_idle(self, key):
        """Return an idle connection to a host and port, or None."""
        idle = self.idle.get(key, ())
        while idle:
            connection = idle.pop()
            if connection.reusable and now() - connection.idle_since <= IDLE_SECONDS:
                return connection
            connection.abort()
        return None

    def close_idle(self, key):
        """Close all idle connections to a host and port.

        What makes one connection fail or go silent, such as a middlebox that
        lost its state, often affects the others as well. Each of them would
        cost a further request its time-out.
        """
        for connection in self.idle.pop(key, ()):
            connection.abort()

    def give_back(self, key, connection):
        """Keep a connection for reuse after its answer was read."""
        connection.busy = False
        if not connection.reusable:
            connection.abort()
            return
        connection.idle_since = now()
        self.idle.setdefault(key, []).append(connection)

    async def connect(self, host, port):
        """Return a new connection; raises `NotSent`."""
        try:
            async with asyncio.timeout(self.connect_seconds):
                connection = await self.dial(host, port)
        except (OSError, TimeoutError) as error:
            raise NotSent(str(error) or type(error).__name__) from error
        self.open.add(connection)
        return connection

    async def dial(self, host, port):
        """Return a connection to the first address that accepts one."""
        addresses = await asyncio.get_running_loop().getaddrinfo(
            host, port, type=socket.SOCK_STREAM, proto=socket.IPPROTO_TCP
        )
        errors = []
        for address_info in addresses:
            try:
                return await self.dial_address(address_info)
            except OSError as error:
                errors.append(error)
        raise errors[-1]

    async def dial_address(self, address_info):
        """Return a connection to one address."""
        loop = asyncio.get_running_loop()
        sock = self.make_socket(address_info)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, address_info[4])
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self.limits, self.open.discard), sock=sock
            )
        except BaseException:
            sock.close()
            raise
        return connection

    def close(self):
        """Close all connections, including those in use."""
        for connection in list(self.open):
            connection.abort()
        self.idle.clear()


def request_head(method, split_url, content, query):
    """Return the request line and header fields as bytes.

    Parameters
    ----------
    method : str
    split_url : urllib.parse.SplitResult
    content : bytes
    query : dict of str to str or None
    """
    path = split_url.path or "/"
    query_text = urlencode(query) if query else split_url.query
    if query_text:
        path = f"{path}?{query_text}"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {split_url.netloc}"]
    if content:
        lines.append("Content-Type: application/json")
    if content or method not in BODILESS:
        lines.append(f"Content-Length: {len(content)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii")
