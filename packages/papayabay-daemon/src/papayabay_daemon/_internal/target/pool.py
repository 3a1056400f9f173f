"""Connections to one announced target."""

import asyncio
from functools import partial
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from papayabay_core.utils.clock import now

CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 30.0
IDLE_MARGIN_SECONDS = 0.5
"""How long before a target closes an idle connection it is no longer used;
beyond any delay on the way to it, as it stands beside this daemon."""


class TargetProtocol(ResponseHandler):
    """The HTTP library's connection, mended where it loses the truth."""

    def connection_lost(self, error):
        """Fail a body that a reset cut off.

        The library ends a body without a length with its connection, however
        that ended. Half an answer would go to the caller as a whole one.
        """
        body = self._payload
        if error is not None and body is not None and not body.is_eof():
            self._parser = None
            body.set_exception(aiohttp.ClientPayloadError(f"cut off: {error!r}"))
        super().connection_lost(error)


class TargetPool:
    """The connections that the target beside this daemon takes.

    Parameters
    ----------
    announcement : Announcement

    Attributes
    ----------
    users : int
        Calls under way, streamed answers that are still read included.
    closing : asyncio.Task or None
        Set once a retired pool closes.
    """

    def __init__(self, announcement):
        self.announcement = announcement
        self.address = (announcement.host, announcement.port)
        self.users = 0
        self.idle_seconds = KEEP_ALIVE_SECONDS
        self.used_at = WeakKeyDictionary()
        self.retired = False
        self.closing = None
        self.connector = aiohttp.TCPConnector(
            limit=announcement.connections,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            use_dns_cache=False,
        )
        # The library has no public place to name the protocol.
        self.connector._factory = partial(
            TargetProtocol, loop=asyncio.get_running_loop()
        )
        self.timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        # Only names the address; no request is sent by it.
        self.request = aiohttp.ClientRequest(
            "GET",
            URL.build(scheme="http", host=self.address[0], port=self.address[1]),
            loop=asyncio.get_running_loop(),
        )

    def serves(self, announcement):
        """Whether the pool fits an announcement."""
        mine = self.announcement
        same = mine.same_process(announcement)
        return same and mine.connections == announcement.connections

    async def connect(self):
        """Return a connection that nobody else uses; waits for one.

        Raises
        ------
        aiohttp.ClientError or OSError
            When none could be made; nothing was sent.
        """
        while True:
            connection = await self.connector.connect(self.request, [], self.timeout)
            # Bytes that came while the connection was idle belong to no
            # request. They would be read as the answer to the next one.
            if not (connection.protocol.should_close or self.is_overdue(connection)):
                return connection
            connection.close()

    def is_overdue(self, connection):
        """Whether the target is about to close an idle connection.

        A request that crosses the close may have been read or not; one that
        must run at most once could then neither be repeated nor answered.
        """
        used_at = self.used_at.get(connection.protocol)
        return used_at is not None and now() - used_at > self.idle_seconds

    def note_use(self, connection, idle_seconds):
        """Note that a connection was used, and how long it may stay idle.

        Parameters
        ----------
        connection : aiohttp.connector.Connection
        idle_seconds : float or None
            As the target says; None where it says nothing.
        """
        self.used_at[connection.protocol] = now()
        if idle_seconds is not None:
            spare = max(0.0, idle_seconds - IDLE_MARGIN_SECONDS)
            self.idle_seconds = min(KEEP_ALIVE_SECONDS, spare)

    def enter(self):
        """Count a user."""
        self.users += 1

    def leave(self):
        """Count a user off; the last one closes a retired pool."""
        self.users -= 1
        self.close_if_unused()

    def retire(self):
        """Close as soon as the calls under way are done."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self):
        """Close a retired pool without users."""
        if self.retired and self.users == 0:
            self.closing = asyncio.create_task(self.close())

    async def close(self):
        """Close all connections, those in use too."""
        await self.connector.close()
