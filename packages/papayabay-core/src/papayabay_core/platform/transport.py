"""HTTP requests to the platform, with failed writes classified.

A failed write was either certainly not applied, or may have been applied.
"""

import asyncio
import socket

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.exceptions import PlatformAmbiguous, PlatformError
from papayabay_core.http.requester import NotSent, Requester
from papayabay_core.platform.era import StoreEra

CONNECTIONS = 32
"""Concurrent requests. The platform's services accept some hundreds of
connections from all processes together."""
CONNECT_SHARE = 0.5
"""Share of a request's timeout for establishing a connection."""
IDEMPOTENT = frozenset({"GET", "PUT", "DELETE"})
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
NOT_APPLIED = frozenset({429, 503})
"""Statuses with which the platform refuses a write without applying it."""
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""TCP keepalive closes a dead connection within 3 s, the longest time for
which a daemon may miss a new version after its connections have failed. A
probe is a packet of 40 bytes and does not count as a request to the
platform."""


class PlatformTransport:
    """Sends requests to the platform's services over persistent connections.

    Parameters
    ----------
    settings : PlatformSettings
    era : StoreEra or None
        Era of the store; None for a store without eras.
    era_of : callable or None
        Returns the era of a `Reply`, or None.
    """

    def __init__(self, settings, era=None, era_of=None):
        self.era = era or StoreEra()
        self.era_of = era_of
        self.timeout = settings.timeout_ms / 1_000
        self.slots = asyncio.Semaphore(CONNECTIONS)
        self.requester = Requester(
            connect_seconds=self.timeout * CONNECT_SHARE,
            max_bytes=MAX_RESPONSE_BYTES,
            make_socket=keepalive_socket,
        )

    async def read(self, url, query=None, timeout=None):
        """Send a GET request and return its `Reply`.

        All failures are raised as `PlatformError`.

        Parameters
        ----------
        url : str
        query : dict of str to str or None
        timeout : float or None
            Seconds; None for the timeout of the settings.
        """
        try:
            async with asyncio.timeout(self.timeout if timeout is None else timeout):
                reply = await self.exchange("GET", url, query=query)
        except (OSError, TimeoutError, ValueError) as error:
            raise PlatformError(f"{url}: {describe(error)}") from None
        self.observe_era(reply)
        return reply

    def observe_era(self, reply):
        """Process the era of an answer before the answer is used."""
        if self.era_of is not None:
            self.era.observe(self.era_of(reply))

    async def write(self, method, url, content=b""):
        """Send a write and return its `Reply`, whatever the status.

        Parameters
        ----------
        method, url : str
        content : bytes

        Raises
        ------
        PlatformError
            When the write was certainly not applied.
        PlatformAmbiguous
            When the write may or may not have been applied.
        """
        era_before = self.era.current
        try:
            async with asyncio.timeout(self.timeout):
                reply = await self.exchange(method, url, content)
        except NotSent as error:
            raise PlatformError(f"{url}: {error}") from None
        except (OSError, TimeoutError, ValueError) as error:
            # The platform may have applied the write before the timeout or
            # the connection error. After a plain failure, the caller would
            # repeat a write that took effect.
            raise PlatformAmbiguous(f"{url}: {describe(error)}") from None
        if reply.status >= SERVER_ERROR and reply.status not in NOT_APPLIED:
            raise PlatformAmbiguous(f"{url}: HTTP status {reply.status}")
        self.observe_write_era(url, reply, era_before)
        return reply

    def observe_write_era(self, url, reply, era_before):
        """Process the era of the answer to a write.

        Raises
        ------
        PlatformAmbiguous
            When the store was restored from a backup during the write: the
            write may be lost, or its conditions were checked against rows
            that the caller has not read.
        """
        try:
            self.observe_era(reply)
        except PlatformError as error:
            raise PlatformAmbiguous(f"{url}: {error}") from None
        if era_before is not None and self.era.current != era_before:
            raise PlatformAmbiguous(
                f"{url}: the store's era has changed from {era_before} to "
                f"{self.era.current}"
            )

    async def exchange(self, method, url, content=b"", query=None):
        """Send one request and return its `Reply`; the caller limits its time.

        An idempotent request is retried once if its connection fails without
        an answer: the platform may have closed an idle connection.
        """
        async with self.slots:
            try:
                return await self.requester.send(method, url, content, query)
            except NotSent:
                raise
            except ConnectionError:
                if method not in IDEMPOTENT:
                    raise
                return await self.requester.send(method, url, content, query)

    async def close(self):
        """Close all connections."""
        self.requester.close()


def keepalive_socket(address_info):
    """Return a socket with TCP keepalive, which detects dead connections.

    A middlebox may drop the state of an open connection, or the platform may
    become unreachable. A long poll for changes would then wait for its full
    timeout and miss a new version, although new connections would work.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    timeout_ms = KEEPALIVE_SECONDS * (KEEPALIVE_PROBES + 1) * 1_000
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    return sock


def describe(error):
    """Return the text of an error, or its type if it has none."""
    return str(error) or type(error).__name__


def raise_for_status(url, reply):
    """Raise `PlatformError` for any status but 200."""
    if reply.status != 200:
        raise PlatformError(f"{url}: HTTP status {reply.status}")
