"""The HTTP server under each door."""

import asyncio

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.response import DoorResponse
from papayabay_daemon._internal.http.serving import ServerConnection

log = logbook.Logger("papayabay.doors")

CLOSE_SECONDS = 0.5
"""What a door waits for at its end; nothing runs any more after a drain."""
BACKLOG = 1024


class Door:
    """An HTTP listener; subclasses say how a request is answered.

    Parameters
    ----------
    host : str
    port : int
        0 takes any free one.
    limits : LimitSettings
    dialect : CallerDialect or None
        None for papayabay's own.
    """

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
        """Listen; `port` is the real one afterwards."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self, self.limits),
            self.host,
            self.port,
            backlog=BACKLOG,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def disable_keep_alive(self):
        """End each connection after its next answer."""
        self.stopping = True

    async def stop_accepting(self):
        """Take no new connections; open ones end after their next answer."""
        self.disable_keep_alive()
        if self.server is not None:
            server, self.server = self.server, None
            server.close()

    async def close(self):
        """Close all connections; cancels what is still being answered."""
        await self.stop_accepting()
        running = [
            exchange.task
            for connection in self.connections
            for exchange in connection.begun
        ]
        for connection in list(self.connections):
            connection.transport.abort()
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running, timeout=CLOSE_SECONDS)

    async def respond(self, request):
        """Return the `DoorResponse` to a request."""
        self.counters["requests"] += 1
        try:
            answer = await self.answer(request)
        except CallError as error:
            return self.refuse(error)
        except Exception as error:
            log.error("door failed: {!r}", error)
            return self.refuse(CallError(ErrorKind.INTERNAL), keep_alive=False)
        return DoorResponse(answer, self.dialect)

    def refuse(self, error, keep_alive=True):
        """Return the `DoorResponse` that reports a `CallError`."""
        self.counters["refused"] += 1
        return DoorResponse(self.dialect.render_error(error), self.dialect, keep_alive)

    async def answer(self, request):
        """Return the `Answer` to a request; may raise `CallError`."""
        raise NotImplementedError
