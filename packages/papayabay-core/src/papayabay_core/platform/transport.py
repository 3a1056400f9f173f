"""One HTTP exchange with the platform, its failures put in two classes."""

import socket
from dataclasses import dataclass

import aiohttp

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.exceptions import PlatformAmbiguous, PlatformError

CONNECTIONS = 32
CONNECT_SHARE = 0.5
CHUNK_BYTES = 65_536
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
NOT_APPLIED = frozenset({429, 503})
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""A silent connection ends within 3 s: as long as a version may be missed
after all connections have broken. A probe is a packet of 40 bytes a second,
and no call that the platform counts."""


@dataclass(frozen=True, slots=True)
class Reply:
    """What the platform answered.

    Attributes
    ----------
    status : int
    content : bytes
    """

    status: int
    content: bytes


class PlatformTransport:
    """A pool of connections to one of the platform's services.

    Parameters
    ----------
    settings : PlatformSettings
    session : aiohttp.ClientSession or None
        A session to share, which its maker closes; None makes one when the
        first request is sent, within the running loop.
    """

    def __init__(self, settings, session=None):
        seconds = settings.timeout_ms / 1_000
        self.timeout = aiohttp.ClientTimeout(
            total=seconds, connect=seconds * CONNECT_SHARE
        )
        self.session = session
        self.owns_session = session is None

    async def read(self, url, **options):
        """Return the `Reply` to a GET; every failure is a `PlatformError`."""
        try:
            return await self.exchange("GET", url, **options)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise PlatformError(f"{url}: {describe(error)}") from None

    async def write(self, method, url, **options):
        """Return the `Reply` to a write that the platform has decided on.

        Raises
        ------
        PlatformError
            Certainly not applied.
        PlatformAmbiguous
            Sent, and nobody knows what became of it.
        """
        try:
            reply = await self.exchange(method, url, **options)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise PlatformError(f"{url}: {describe(error)}") from None
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            # The request may have reached the platform before the timeout
            # or the break. Reported as a plain failure, the writer would
            # repeat a write that did take effect.
            raise PlatformAmbiguous(f"{url}: {describe(error)}") from None
        if reply.status >= SERVER_ERROR and reply.status not in NOT_APPLIED:
            raise PlatformAmbiguous(f"{url}: answered {reply.status}")
        return reply

    async def exchange(self, method, url, **options):
        """Send one request and return its `Reply`."""
        async with self.open_session().request(
            method, url, timeout=self.timeout, allow_redirects=False, **options
        ) as response:
            return Reply(response.status, await read_bounded(response))

    def open_session(self):
        """Return the session, made on first use."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=CONNECTIONS, socket_factory=watched_socket
                ),
            )
        return self.session

    async def close(self):
        """Close the session if it was made here."""
        if self.owns_session and self.session is not None:
            await self.session.close()
            self.session = None


def watched_socket(address_info):
    """Return a socket whose connection ends when its other end is silent.

    Something between may lose track of an open connection, or the platform
    be cut off. A question that waits for changes would then wait for its
    whole time, and a new version be missed meanwhile; new connections work.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    silence_ms = KEEPALIVE_SECONDS * (KEEPALIVE_PROBES + 1) * 1_000
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    return sock


async def read_bounded(response):
    """Return a response's content.

    Raises
    ------
    ValueError
        When it is longer than `MAX_RESPONSE_BYTES`.
    """
    content = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        content += chunk
        if len(content) > MAX_RESPONSE_BYTES:
            raise ValueError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
    return bytes(content)


def describe(error):
    """Return an error in one line; a timeout has no text of its own."""
    return str(error) or type(error).__name__


def refuse_status(url, reply):
    """Raise `PlatformError` for any status but 200."""
    if reply.status != 200:
        raise PlatformError(f"{url}: answered {reply.status}")
