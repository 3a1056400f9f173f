"""Connections to one announced target."""

import asyncio
from collections import deque

from papayabay_core.http.client import ClientConnection
from papayabay_core.utils.clock import now

CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 30.0
IDLE_MARGIN_SECONDS = 0.5
"""How long before a target closes an idle connection it is no longer used;
beyond any delay on the way to it, as it stands beside this daemon."""


class TargetPool:
    """The connections that the target beside this daemon takes.

    Parameters
    ----------
    announcement : Announcement
    limits : LimitSettings

    Attributes
    ----------
    users : int
        Calls under way, streamed answers that are still read included.
    open : set of ClientConnection
        All connections, those in use too.
    idle : list of ClientConnection
        The latest used last; taken from there, so that few are kept busy
        and the others end unused.
    dialling : int
        Connections that are being made.
    waiters : deque of asyncio.Future
        Calls that wait for a connection, in the order of their coming.
    closed : bool
        Whether it has ended, with all its connections.
    """

    def __init__(self, announcement, limits):
        self.announcement = announcement
        self.limits = limits
        self.users = 0
        self.idle_seconds = KEEP_ALIVE_SECONDS
        self.open = set()
        self.idle = []
        self.dialling = 0
        self.waiters = deque()
        self.retired = False
        self.closed = False

    def serves(self, announcement):
        """Whether the pool fits an announcement."""
        mine = self.announcement
        same = mine.same_process(announcement)
        return same and mine.connections == announcement.connections

    @property
    def lives(self):
        """Whether the target holds any connection open."""
        return any(not connection.closed for connection in self.open)

    async def prove(self):
        """Make a connection, if only to see that the target takes one.

        Raises
        ------
        OSError
            `ConnectionRefusedError` where nothing listens any more.
        """
        self.release(await self.dial())

    async def connect(self):
        """Return a connection that nobody else uses; waits for one.

        Raises
        ------
        OSError
            When none could be made; nothing was sent.
        """
        while True:
            connection = self.take_idle()
            if connection is not None:
                return connection
            if len(self.open) + self.dialling < self.announcement.connections:
                return await self.dial()
            await self.wait()

    def take_idle(self):
        """Return the connection used last, or None.

        A request that crosses the target's closing of an idle connection may
        have been read or not; one that must run at most once could then
        neither be repeated nor answered. So those that the target is about
        to close are closed here.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.closed or connection.transport.is_closing():
                continue
            if now() - connection.idle_since <= self.idle_seconds:
                return connection
            connection.abort()
        return None

    async def dial(self):
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        announcement = self.announcement
        self.dialling += 1
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.limits, self.lost),
                    announcement.host,
                    announcement.port,
                )
        except TimeoutError:
            raise ConnectionError("the target takes no connection") from None
        finally:
            self.dialling -= 1
            self.wake_one()
        if connection.closed:
            # It has told so already; counted as open, it would take one of
            # the target's connections for good.
            raise ConnectionResetError("the target closed the connection at once")
        self.open.add(connection)
        return connection

    async def wait(self):
        """Wait until a connection may be free."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            # Woken and cancelled in one turn: the next in line would wait
            # for a connection that nobody uses.
            if waiter.done() and not waiter.cancelled():
                self.wake_one()
            raise

    def wake_one(self):
        """Let the first that waits look again."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def release(self, connection):
        """Take a connection back after its answer was read to its end.

        Bytes beyond the answer belong to no request. They would be read as
        the answer to the next one, so that such a connection is closed.
        """
        connection.busy = False
        if not connection.reusable or self.closed:
            connection.abort()
            return
        connection.idle_since = now()
        self.idle.append(connection)
        self.wake_one()

    def lost(self, connection):
        """Forget a connection that has ended."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.wake_one()

    def note_idle(self, idle_seconds):
        """Note how long the target keeps an idle connection, if it says."""
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
            self.close()

    def close(self):
        """Close all connections, those in use too."""
        self.closed = True
        for connection in list(self.open):
            connection.abort()
