"""Base class of the daemon's HTTP listeners."""

import asyncio

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.response import DoorResponse
from papayabay_daemon._internal.http.serving import ServerConnection

log = logbook.Logger("papayabay.doors")

CLOSE_SECONDS = 0.5
"""How long `close` waits for cancelled requests; after a drain none run."""
IDLE_POLL_SECONDS = 0.02
BACKLOG = 1024


class Door:
    """An HTTP listener; subclasses implement `answer`.

    Parameters
    ----------
    host : str
    port : int
        0 for any free port.
    limits : LimitSettings
    dialect : CallerDialect or None
        None for the default one.

    Attributes
    ----------
    stopping : bool
        Whether each connection is closed after its next answer.
    connections : set of ServerConnection
        Open connections.
    connection_class : type
        Class of the connections.
    """

    connection_class = ServerConnection

    def __init__(self, host, port, limits, dialect=None):
        self.host = host
        self.port = port
        self.limits = limits
        self.dialect = dialect or DefaultCallerDialect()
        self.stopping = False
        self.server = None
        self.connections = set()
        self.counters = dict.fromkeys(("requests", "refused"), 0)

    async def start(self):
        """Start to listen; sets `port` to the actual port."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: self.connection_class(self, self.limits),
            self.host,
            self.port,
            backlog=BACKLOG,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def disable_keep_alive(self):
        """Close each connection after its next answer."""
        self.stopping = True

    async def stop_accepting(self):
        """Accept no new connections; close open ones after their answer."""
        self.disable_keep_alive()
        if self.server is not None:
            server, self.server = self.server, None
            server.close()

    async def wait_until_idle(self):
        """Wait until all answers in progress are sent, streamed ones too."""
        while any(connection.running for connection in self.connections):
            await asyncio.sleep(IDLE_POLL_SECONDS)

    async def close(self):
        """Close all connections and cancel running requests."""
        await self.stop_accepting()
        tasks = [
            exchange.task
            for connection in self.connections
            for exchange in connection.running
        ]
        for connection in list(self.connections):
            connection.transport.abort()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_SECONDS)

    def respond(self, request):
        """Count a request; return an awaitable of its `Answer`."""
        self.counters["requests"] += 1
        return self.answer(request)

    def answer(self, request):
        """Return an awaitable of the `Answer`; may raise `CallError`."""
        raise NotImplementedError

    def render(self, answer):
        """Return the `DoorResponse` that writes an `Answer`."""
        return DoorResponse(answer, self.dialect)

    def refuse(self, error):
        """Return the `DoorResponse` that reports an exception.

        One that is no `CallError` is logged, and the connection is closed.
        """
        self.counters["refused"] += 1
        keep_alive = isinstance(error, CallError)
        if not keep_alive:
            log.error("Request failed, answering with an internal error: {!r}", error)
            error = CallError(ErrorKind.INTERNAL)
        return DoorResponse(self.dialect.render_error(error), self.dialect, keep_alive)
