"""A client's connection to a door: requests in, answers out in their order."""

import asyncio
from collections import deque
from typing import Protocol

import httptools
import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.http.connection import HttpConnection
from papayabay_core.http.heads import Head, HeaderCollector
from papayabay_daemon._internal.http.request import Request

KEEP_ALIVE_SECONDS = 75.0
"""How long a connection without a request stays open."""
LINGER_SECONDS = 2.0
"""How long bytes that come behind the last answer are still taken in. With
bytes unread, closing resets the connection, and the answer may be lost."""
WAITING = "waiting requests"
"""What holds a connection on which too many requests wait to be begun."""
log = logbook.Logger("papayabay.doors")


class Responder(Protocol):
    """What a door gives to its connections.

    Attributes
    ----------
    stopping : bool
        Whether each connection ends after its next answer.
    connections : set of ServerConnection
        Those that are open.
    """

    stopping: bool
    connections: set

    async def respond(self, request):
        """Return the `DoorResponse` to a request; errors are answers too."""

    def refuse(self, error):
        """Return the `DoorResponse` that reports a `CallError`."""


class Exchange:
    """A request and its answer, or a fault in place of both.

    Attributes
    ----------
    request : Request or None
    fault : CallError or None
        Why there is no request: what came could not be read as one.
    task : asyncio.Task or None
        None until it is begun.
    turn : asyncio.Future or None
        Set while an answer waits for those before it.
    """

    __slots__ = ("fault", "request", "task", "turn")

    def __init__(self, request=None, fault=None):
        self.request = request
        self.fault = fault
        self.task = None
        self.turn = None

    @property
    def is_concurrent(self):
        """Whether it may run beside others of its connection."""
        return self.request is not None and self.request.is_concurrent


class ServerConnection(HeaderCollector, HttpConnection):
    """One client's connection, on which requests may be pipelined.

    Safe requests without a body run at the same time, up to a bound, so that
    a slow one holds up nobody's work behind it; all others run alone. Answers
    leave in the order of the requests (RFC 9112, section 9.3.2).

    Parameters
    ----------
    responder : Responder
    limits : LimitSettings

    Attributes
    ----------
    begun : deque of Exchange
        Those without an answer yet, the oldest first.
    waiting : deque of Exchange
        Those that were read and not begun.
    deaf : bool
        Whether what still comes is thrown away.
    """

    def __init__(self, responder, limits):
        super().__init__()
        self.responder = responder
        self.most_begun = limits.pipelined_requests
        self.header_bytes = limits.header_bytes
        self.most_connections = limits.connections
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.request = None
        self.begun = deque()
        self.waiting = deque()
        self.deaf = False
        self.used_at = 0.0
        self.timer = None

    # The connection's own life.

    def connection_made(self, transport):
        """Take a connection, or break it when too many are open.

        Each costs memory while it is idle, too. Without a limit, clients
        that open and never close would end the daemon, not just their own
        service.
        """
        super().connection_made(transport)
        self.responder.connections.add(self)
        if len(self.responder.connections) > self.most_connections:
            transport.abort()
            return
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        self.timer = loop.call_later(KEEP_ALIVE_SECONDS, self.close_if_idle)

    def close_if_idle(self):
        """Close a connection that was not used for long, or look later."""
        loop = asyncio.get_running_loop()
        left = self.used_at + KEEP_ALIVE_SECONDS - loop.time()
        if self.begun:
            left = KEEP_ALIVE_SECONDS
        if left > 0.0:
            self.timer = loop.call_later(left, self.close_if_idle)
        else:
            self.transport.close()

    def connection_lost(self, error):
        """Cancel what runs for a client who has left."""
        super().connection_lost(error)
        self.responder.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self.parser = None
        self.waiting.clear()
        # A copy: an exchange that ends leaves the queue.
        for exchange in list(self.begun):
            exchange.task.cancel()

    # What the parser reports.

    def data_received(self, data):
        """Parse what came, and begin what may begin."""
        if self.deaf:
            return
        within_head = self.in_head
        try:
            self.parse(data)
        except httptools.HttpParserError:
            if not self.deaf:
                self.spoil(CallError(ErrorKind.BAD_REQUEST, "the message is no HTTP"))
            return
        if within_head and self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > self.header_bytes:
                self.spoil(CallError(ErrorKind.HEADERS_TOO_LARGE))

    def parse(self, data):
        """Parse bytes; a wish for another protocol is passed over.

        A server may ignore it (RFC 9110, section 7.8). The parser stops
        behind such a request and goes on when it is fed again.
        """
        while data and not self.deaf:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]

    def on_url(self, target):
        """Take in a part of the request target."""
        self.target += target

    def on_headers_complete(self):
        """Put the request in line, and begin it if it is its turn."""
        head = Head(self.end_head(), self.target)
        self.target = b""
        if self.deaf:
            return
        parser = self.parser
        self.request = Request(
            self,
            head,
            parser.get_method().decode(),
            parser.get_http_version(),
            parser.should_keep_alive(),
        )
        self.used_at = asyncio.get_running_loop().time()
        self.waiting.append(Exchange(self.request))
        self.advance()

    def on_body(self, data):
        """Take in a part of the request's body."""
        if self.request is not None and self.request.payload is not None:
            self.request.payload.feed(data)

    def on_message_complete(self):
        """Note the end of a request."""
        request, self.request = self.request, None
        if request is None:
            return
        if request.payload is not None:
            request.payload.finish()
        if not request.keep_alive:
            self.deaf = True

    def spoil(self, error):
        """Stop reading what can't be read; only that part of it is lost.

        A request whose body was under way learns of it; otherwise the error
        is answered in its turn, behind the requests that came before it.
        """
        self.deaf = True
        request = self.request
        if request is not None and request.payload is not None:
            request.payload.fail(error)
            return
        self.waiting.append(Exchange(fault=error))
        self.advance()

    # Requests in flight.

    def advance(self):
        """Begin the requests whose turn it is; read on if there is room."""
        loop = asyncio.get_running_loop()
        while self.waiting and self.may_begin(self.waiting[0]):
            exchange = self.waiting.popleft()
            self.begun.append(exchange)
            exchange.task = loop.create_task(self.serve(exchange))
        if len(self.waiting) > self.most_begun:
            self.pause_reading(WAITING)
        elif self.read_pauses:
            self.resume_reading(WAITING)

    def may_begin(self, exchange):
        """Whether an exchange may begin beside those that run.

        While the door stops, none begins behind another one: the answer
        before it ends the connection, and tells its client that nothing
        behind was read.
        """
        if not self.begun:
            return True
        return (
            exchange.is_concurrent
            and not self.responder.stopping
            and len(self.begun) < self.most_begun
            and self.begun[-1].is_concurrent
        )

    async def serve(self, exchange):
        """Answer one request, when all before it were answered."""
        try:
            if exchange.fault is None:
                response = await self.responder.respond(exchange.request)
            else:
                response = self.responder.refuse(exchange.fault)
            if self.begun[0] is not exchange:
                exchange.turn = asyncio.get_running_loop().create_future()
                await exchange.turn
            await response.send(self, exchange.request, self.ends_with(exchange))
        except ConnectionError as error:
            log.debug("answer not delivered: {!r}", error)
            self.reset()
            return
        except Exception as error:
            # Whatever an answer holds that can't be written, its client must
            # not wait for it, nor take a part of it for the whole.
            log.error("answer not written: {!r}", error)
            self.reset()
            return
        self.answered(exchange, response.keep_alive)

    def ends_with(self, exchange):
        """Whether the connection ends with this exchange's answer.

        What is left of a body that was not read would be taken for the next
        request's head if the connection went on.
        """
        request = exchange.request
        if request is None or not request.keep_alive or not request.is_read:
            return True
        return self.responder.stopping and len(self.begun) == 1

    def answered(self, exchange, keep_alive):
        """Let the next one have its turn, or end the connection."""
        self.begun.popleft()
        self.used_at = asyncio.get_running_loop().time()
        if not keep_alive:
            self.end(exchange.request)
            return
        turn = self.begun[0].turn if self.begun else None
        if turn is not None and not turn.done():
            turn.set_result(None)
        if self.waiting:
            self.advance()

    def end(self, request):
        """Close the connection behind its last answer."""
        wanted = request is not None and not request.keep_alive and request.is_read
        self.deaf = True
        self.waiting.clear()
        if wanted or self.closed:
            self.transport.close()
            return
        if self.read_pauses:
            self.read_pauses.clear()
            self.transport.resume_reading()
        self.transport.write_eof()
        loop = asyncio.get_running_loop()
        self.timer.cancel()
        self.timer = loop.call_later(LINGER_SECONDS, self.transport.abort)
