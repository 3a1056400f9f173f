"""The HTTP server under each door."""

import logbook
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.dialect import OwnCallerDialect
from papayabay_daemon._internal.doors.response import DoorResponse

log = logbook.Logger("papayabay.doors")

MAX_HEADER_FIELDS = 256
KEEP_ALIVE_SECONDS = 75.0
CLOSE_SECONDS = 0.5
"""What a door waits for at its end; nothing runs any more after a drain."""
LINGER_SECONDS = 2.0
BACKLOG = 1024


class DoorProtocol(web.RequestHandler):
    """A connection whose protocol errors are answered from the error table."""

    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to what the parser or the handler could not do."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer was begun already")
        if isinstance(exc, LineTooLong):
            error = CallError(ErrorKind.HEADERS_TOO_LARGE)
        elif status == 400:
            error = CallError(ErrorKind.BAD_REQUEST, "the message is not valid HTTP")
        else:
            log.error("door failed: {!r}", exc)
            error = CallError(ErrorKind.INTERNAL)
        dialect = self._manager.dialect
        return DoorResponse(dialect.render_error(error), dialect, keep_alive=False)


class DoorServer(web.Server):
    """Makes a `DoorProtocol` for each connection, up to a limit.

    Parameters
    ----------
    handler : callable
    door : Door
    options : dict
        As `aiohttp.web.Server` takes them.
    """

    def __init__(self, handler, door, **options):
        super().__init__(handler, **options)
        self.dialect = door.dialect
        self.most = door.limits.connections

    def connection_made(self, handler, transport):
        """Take a connection, or break it when too many are open.

        Each costs memory while it is idle, too. Without a limit, clients
        that open and never close would end the daemon, not just their own
        service.
        """
        super().connection_made(handler, transport)
        if len(self._connections) > self.most:
            transport.abort()

    def __call__(self):
        """Return the protocol of a new connection."""
        return DoorProtocol(self, loop=self._loop, **self._kwargs)


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
        self.dialect = dialect or OwnCallerDialect()
        self.stopping = False
        self.runner = None
        self.site = None
        self.counters = dict.fromkeys(("requests", "refused"), 0)

    async def start(self):
        """Listen; `port` is the real one afterwards."""
        server = DoorServer(
            self.handle,
            self,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGER_SECONDS,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            max_headers=MAX_HEADER_FIELDS,
        )
        self.runner = web.ServerRunner(
            server, access_log=None, shutdown_timeout=CLOSE_SECONDS
        )
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, self.host, self.port, backlog=BACKLOG)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    def end_connections(self):
        """End each connection after its next answer."""
        self.stopping = True

    async def stop_accepting(self):
        """Take no new connections; open ones end after their next answer."""
        self.end_connections()
        if self.site is not None:
            site, self.site = self.site, None
            await site.stop()

    async def close(self):
        """Close all connections; cancels what is still being answered."""
        await self.stop_accepting()
        if self.runner is not None:
            runner, self.runner = self.runner, None
            await runner.cleanup()

    async def handle(self, request):
        """Answer one request, in the form that aiohttp expects."""
        self.counters["requests"] += 1
        try:
            answer = await self.answer(request)
        except CallError as error:
            self.counters["refused"] += 1
            answer = self.dialect.render_error(error)
        # What is left of a body that was not read would be taken for the
        # next request's head if the connection went on.
        unread = request.body_exists and not request.content.is_eof()
        return DoorResponse(
            answer, self.dialect, keep_alive=not (unread or self.stopping)
        )

    async def answer(self, request):
        """Return the `Answer` to a request; may raise `CallError`."""
        raise NotImplementedError
