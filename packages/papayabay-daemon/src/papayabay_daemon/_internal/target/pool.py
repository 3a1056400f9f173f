"""Connection pool of one announced target."""

import asyncio
from collections import deque

from papayabay_core.http.client import ClientConnection
from papayabay_core.utils.clock import now

CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 30.0
IDLE_MARGIN_SECONDS = 0.5
"""How long before the target closes an idle connection it is no longer used.
Well above any delay on loopback, where requests could cross the close."""
MAX_REFUSALS = 64
"""Refused requests after which a connection is closed. Bounds the ids that are
kept for it."""


class TargetPool:
    """Connections to the target beside this daemon.

    Parameters
    ----------
    announcement : Announcement
    limits : LimitSettings

    Attributes
    ----------
    users : int
        Calls in flight, including those whose answer is still streamed.
    idle_seconds : float
        How long an idle connection may be used again.
    open : set of ClientConnection
        All connections, in use or idle.
    idle : list of ClientConnection
        The one used last is at the end and taken first, so that connections
        beyond the need stay idle and expire.
    refused_ids : dict of ClientConnection to set of str
        Ids of the requests that were refused on each open connection.
    opened : int
        Number of connections that were opened so far.
    connecting : int
        Connection attempts in progress.
    waiters : deque of asyncio.Future
        Calls that wait for a connection, in order of arrival.
    answered_at : float
        When the latest answer was read to its end.
    retired : bool
        Whether the pool closes after its last user.
    closed : bool
        Whether the pool and all its connections are closed.
    """

    def __init__(self, announcement, limits):
        self.announcement = announcement
        self.limits = limits
        self.users = 0
        self.idle_seconds = KEEP_ALIVE_SECONDS
        self.open = set()
        self.idle = []
        self.refused_ids = {}
        self.opened = 0
        self.connecting = 0
        self.waiters = deque()
        self.answered_at = float("-inf")
        self.retired = False
        self.closed = False

    def serves(self, announcement):
        """Whether the pool can serve calls under an announcement."""
        own = self.announcement
        same = own.same_process(announcement)
        return same and own.connections == announcement.connections

    @property
    def has_open_connection(self):
        """Whether the target keeps any connection open."""
        return any(not connection.closed for connection in self.open)

    async def check_connect(self):
        """Open a connection to check that the target accepts one.

        Raises
        ------
        OSError
            `ConnectionRefusedError` if nothing listens any more.
        """
        self.release(await self.open_connection())

    async def connect(self, request_id):
        """Return a connection for exclusive use; waits until one is free.

        Parameters
        ----------
        request_id : str
            The connection is one on which this request was not refused.

        Raises
        ------
        OSError
            If no connection could be opened; nothing was sent.
        """
        while True:
            connection = self.take_idle(now(), request_id)
            if connection is not None:
                return connection
            if len(self.open) + self.connecting < self.announcement.connections:
                return await self.open_connection()
            if self.idle:
                # No idle connection may carry this request. If none is in use,
                # none will be released either, and the wait would not end.
                self.idle.pop(0).abort()
            await self.wait()

    def take_idle(self, at, request_id):
        """Return the idle connection used last, or None.

        A connection on which the same request was refused is passed over. A
        faulty target may send a second copy of the refusal, which would be
        taken for the answer to the new attempt: both bear the same id.

        If a request crosses the target's close of an idle connection, nothing
        shows whether the target read it, and a call that must run at most once
        could be neither retried nor answered. So connections that the target
        is about to close are closed here.

        Parameters
        ----------
        at : float
            The present time on `clock.now()`.
        request_id : str
        """
        passed_over = []
        found = None
        while self.idle and found is None:
            connection = self.idle.pop()
            if connection.closed or connection.transport.is_closing():
                continue
            if at - connection.idle_since > self.idle_seconds:
                connection.abort()
            elif request_id in self.refused_ids.get(connection, ()):
                passed_over.append(connection)
            else:
                found = connection
        self.idle.extend(reversed(passed_over))
        return found

    def record_refusal(self, connection, request_id):
        """Keep a request from being sent again on the same connection."""
        if connection not in self.open:
            # It was closed with its answer, and `remove` is not called again.
            return
        refused = self.refused_ids.setdefault(connection, set())
        refused.add(request_id)
        if len(refused) >= MAX_REFUSALS:
            connection.unusable = True

    def close_idle_since(self, moment):
        """Close all idle connections if none was answered since a moment.

        A call that expired may have been sent on a connection that passes
        nothing any more. The others may be silent too, and each would cost a
        call its whole lifetime. An answer on any of them since then shows
        that the target was merely slow.

        Parameters
        ----------
        moment : float
            When the expired call was sent, on `clock.now()`.
        """
        if self.answered_at > moment:
            return
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    async def open_connection(self):
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        announcement = self.announcement
        self.connecting += 1
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.limits, self.remove),
                    announcement.host,
                    announcement.port,
                )
        except TimeoutError:
            raise ConnectionError("the target takes no connection") from None
        finally:
            self.connecting -= 1
            self.wake_next_waiter()
        if connection.closed:
            # `remove` was called already. If the connection were added now, it
            # would count against the target's limit for good.
            raise ConnectionResetError("the target closed the connection at once")
        self.opened += 1
        connection.number = self.opened
        self.open.add(connection)
        return connection

    async def wait(self):
        """Wait until a connection may be free."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            # If this task was woken and cancelled in the same turn of the
            # event loop, the wake-up passes to the next waiter. Otherwise a
            # free connection would stay unused while that one waits.
            if waiter.done() and not waiter.cancelled():
                self.wake_next_waiter()
            raise

    def wake_next_waiter(self):
        """Let the first waiter try again."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def release(self, connection):
        """Take a connection back after its answer was read to its end.

        A connection on which bytes follow the answer is closed: they would be
        read as the answer to the next request.
        """
        connection.busy = False
        if not connection.reusable or self.closed:
            connection.abort()
            return
        connection.idle_since = self.answered_at = now()
        self.idle.append(connection)
        if self.waiters:
            self.wake_next_waiter()

    def remove(self, connection):
        """Remove a connection that was closed."""
        self.open.discard(connection)
        self.refused_ids.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        self.wake_next_waiter()

    def set_idle_timeout(self, idle_seconds):
        """Set how long idle connections are used from the target's time-out.

        None, from a target that states no time-out, changes nothing.
        """
        if idle_seconds is not None:
            usable = max(0.0, idle_seconds - IDLE_MARGIN_SECONDS)
            self.idle_seconds = min(KEEP_ALIVE_SECONDS, usable)

    def remove_user(self):
        """Remove a user; closes a retired pool after the last one."""
        self.users -= 1
        if self.retired:
            self.close_if_unused()

    def retire(self):
        """Close the pool once the calls in flight are done."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self):
        """Close a retired pool without users."""
        if self.retired and self.users == 0:
            self.close()

    def close(self):
        """Close all connections, including those in use."""
        self.closed = True
        for connection in list(self.open):
            connection.abort()
