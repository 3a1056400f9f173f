"""One HTTP exchange with the platform, its failures put in two classes."""

import asyncio
import socket

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.exceptions import PlatformAmbiguous, PlatformError
from papayabay_core.http.requester import NotSent, Requester
from papayabay_core.platform.era import StoreEra

CONNECTIONS = 32
"""Requests under way at once; the platform's services take some hundreds of
connections from all processes together."""
CONNECT_SHARE = 0.5
"""Of a request's time, for making its connection; the rest is the answer's."""
IDEMPOTENT = frozenset({"GET", "PUT", "DELETE"})
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
NOT_APPLIED = frozenset({429, 503})
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""A silent connection ends within 3 s: as long as a version may be missed
after all connections have broken. A probe is a packet of 40 bytes a second,
and no call that the platform counts."""


class PlatformTransport:
    """Connections to the platform's services, kept for further requests.

    Parameters
    ----------
    settings : PlatformSettings
    era : StoreEra or None
        Of the store; None for one without eras.
    era_of : callable or None
        Takes a `Reply`; returns its era, or None.
    """

    def __init__(self, settings, era=None, era_of=None):
        self.era = era or StoreEra()
        self.era_of = era_of
        self.timeout = settings.timeout_ms / 1_000
        self.slots = asyncio.Semaphore(CONNECTIONS)
        self.requester = Requester(
            connect_seconds=self.timeout * CONNECT_SHARE,
            max_bytes=MAX_RESPONSE_BYTES,
            make_socket=watched_socket,
        )

    async def read(self, url, query=None):
        """Return the `Reply` to a GET; every failure is a `PlatformError`.

        Parameters
        ----------
        url : str
        query : dict of str to str or None
        """
        try:
            reply = await self.exchange("GET", url, query=query)
        except (OSError, TimeoutError, ValueError) as error:
            raise PlatformError(f"{url}: {describe(error)}") from None
        self.note_era(reply)
        return reply

    def note_era(self, reply):
        """Note an answer's era before anything of it is used."""
        if self.era_of is not None:
            self.era.observe(self.era_of(reply))

    async def write(self, method, url, content=b""):
        """Return the `Reply` to a write that the platform has decided on.

        Parameters
        ----------
        method, url : str
        content : bytes

        Raises
        ------
        PlatformError
            Certainly not applied.
        PlatformAmbiguous
            Sent, and nobody knows what became of it.
        """
        sent_in = self.era.current
        try:
            reply = await self.exchange(method, url, content)
        except NotSent as error:
            raise PlatformError(f"{url}: {error}") from None
        except (OSError, TimeoutError, ValueError) as error:
            # The request may have reached the platform before the timeout
            # or the break. Reported as a plain failure, the writer would
            # repeat a write that did take effect.
            raise PlatformAmbiguous(f"{url}: {describe(error)}") from None
        if reply.status >= SERVER_ERROR and reply.status not in NOT_APPLIED:
            raise PlatformAmbiguous(f"{url}: answered {reply.status}")
        self.note_written(url, reply, sent_in)
        return reply

    def note_written(self, url, reply, sent_in):
        """Note the era of a write's answer.

        Raises
        ------
        PlatformAmbiguous
            The store came back from an older copy while the write was on its
            way: it may be among what was lost, or its conditions have held
            for what they were not meant for.
        """
        try:
            self.note_era(reply)
        except PlatformError as error:
            raise PlatformAmbiguous(f"{url}: {error}") from None
        if sent_in is not None and self.era.current != sent_in:
            raise PlatformAmbiguous(f"{url}: the store's era has changed")

    async def exchange(self, method, url, content=b"", query=None):
        """Send one request and return its `Reply`.

        An idempotent one is sent once more when its connection ends without
        an answer: the platform may have closed it while it was idle.
        """
        async with asyncio.timeout(self.timeout), self.slots:
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


def describe(error):
    """Return an error in one line; a timeout has no text of its own."""
    return str(error) or type(error).__name__


def refuse_status(url, reply):
    """Raise `PlatformError` for any status but 200."""
    if reply.status != 200:
        raise PlatformError(f"{url}: answered {reply.status}")
