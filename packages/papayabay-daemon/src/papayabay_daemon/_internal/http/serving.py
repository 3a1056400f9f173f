"""Server connections, which answer pipelined requests in order."""

from collections import deque

import httptools
import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.http.connection import HttpConnection
from papayabay_core.http.heads import HeaderCollector
from papayabay_daemon._internal.http.exchange import Exchange
from papayabay_daemon._internal.http.request import Request

KEEP_ALIVE_SECONDS = 75.0
"""How long a connection without a request stays open."""
LINGER_SECONDS = 2.0
"""How long data after the last answer is still read and discarded. Closing a
socket with unread data resets the connection, and the answer may be lost."""
QUEUE_HOLDER = "waiting requests"
"""Pauses reading from a connection while too many requests are queued."""
log = logbook.Logger("papayabay.doors")


class ServerConnection(HeaderCollector, HttpConnection):
    """One client's connection, on which requests may be pipelined.

    Safe requests without a body run concurrently, up to a limit, so that a
    slow one does not delay the work of those after it; all others run alone.
    Answers are sent in the order of the requests (RFC 9112, section 9.3.2).

    Parameters
    ----------
    responder : Responder
    limits : LimitSettings

    Attributes
    ----------
    running : deque of Exchange
        Started exchanges whose answer is not sent yet, the oldest first.
    waiting : deque of Exchange
        Exchanges that have not started.
    discarding : bool
        Whether further received data is discarded.
    segment_bytes : int
        Size of the segment that is being parsed.
    unfinished_bytes : int
        Bytes of earlier segments that contain a part of the current head.
    advanced : bool
        Whether the current segment ended a head or has a part of a body.
    framing_bytes : int
        Bytes of the latest segments that did neither, outside of heads: blank
        lines, chunk extensions, trailers.
    last_used : float
        When a request was last received or answered, on the loop's clock.
    timer : asyncio.TimerHandle or None
        Closes an idle connection, or one that lingers after its last answer.
    """

    def __init__(self, responder, limits):
        super().__init__()
        self.responder = responder
        self.max_running = limits.pipelined_requests
        self.header_bytes = limits.header_bytes
        self.max_connections = limits.connections
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.request = None
        self.running = deque()
        self.queued = deque()
        self.discarding = False
        self.segment_bytes = 0
        self.unfinished_bytes = 0
        self.advanced = False
        self.framing_bytes = 0
        self.last_used = 0.0
        self.timer = None

    # Lifecycle of the connection.

    def connection_made(self, transport):
        """Register the connection, or abort it if too many are open.

        Idle connections cost memory too. Without a limit, clients that open
        connections and never close them could exhaust the daemon's memory,
        which would affect more than their own service.
        """
        super().connection_made(transport)
        self.responder.connections.add(self)
        if len(self.responder.connections) > self.max_connections:
            transport.abort()
            return
        loop = self.loop
        self.last_used = loop.time()
        self.timer = loop.call_later(KEEP_ALIVE_SECONDS, self.close_if_idle)

    def close_if_idle(self):
        """Close the connection if it is idle, or check again later."""
        loop = self.loop
        left = self.last_used + KEEP_ALIVE_SECONDS - loop.time()
        if self.running:
            left = KEEP_ALIVE_SECONDS
        if left > 0.0:
            self.timer = loop.call_later(left, self.close_if_idle)
        else:
            self.transport.close()

    def connection_lost(self, error):
        """Cancel all running requests of the client."""
        super().connection_lost(error)
        self.responder.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self.parser = None
        self.queued.clear()
        # A copy, since an exchange that ends is removed from the deque.
        for exchange in list(self.running):
            exchange.task.cancel()

    # Called with received data, and by the parser.

    def data_received(self, data):
        """Parse received data; complete request heads start requests.

        A server may ignore an Upgrade field (RFC 9110, section 7.8). The
        parser stops after such a request and continues when it is fed again.
        """
        if self.discarding:
            return
        within_head = self.in_head
        self.advanced = False
        size = self.segment_bytes = len(data)
        try:
            while data and not self.discarding:
                try:
                    self.parser.feed_data(data)
                    break
                except httptools.HttpParserUpgrade as upgrade:
                    data = data[upgrade.args[0] :]
        except httptools.HttpParserError:
            if not self.discarding:
                self.handle_malformed(
                    CallError(ErrorKind.BAD_REQUEST, "the message is no HTTP")
                )
            return
        if not self.in_head:
            self.unfinished_bytes = 0
            self.limit_framing(size)
            return
        self.unfinished_bytes += size
        if within_head:
            self.head_bytes += size
            if self.head_bytes > self.header_bytes:
                self.handle_malformed(CallError(ErrorKind.HEADERS_TOO_LARGE))

    def limit_framing(self, size):
        """Refuse blank lines, chunk extensions and trailers without end.

        The parser accepts any length of them, and keeps trailers in memory.

        Parameters
        ----------
        size : int
            Bytes of the segment that was parsed.
        """
        if self.advanced or self.discarding:
            self.framing_bytes = 0
            return
        self.framing_bytes += size
        if self.framing_bytes > self.header_bytes:
            detail = "too many bytes outside of heads and bodies"
            self.handle_malformed(CallError(ErrorKind.BAD_REQUEST, detail))

    def on_url(self, target):
        """Append a part of the request target."""
        self.target += target

    def on_headers_complete(self):
        """Start the request, or queue it if it may not run now."""
        self.advanced = True
        fields, target = self.end_head(), self.target
        self.target = b""
        if self.discarding:
            return
        parser = self.parser
        self.request = Request(
            self,
            fields,
            target,
            self.unfinished_bytes + self.segment_bytes,
            parser.get_method().decode(),
            parser.get_http_version(),
            parser.should_keep_alive(),
        )
        self.last_used = self.loop.time()
        exchange = Exchange(self.request)
        if not self.running and not self.queued:
            self.start(exchange)
            return
        self.queued.append(exchange)
        self.start_next()

    def on_body(self, data):
        """Append a part of the request's body."""
        self.advanced = True
        if self.request is not None and self.request.payload is not None:
            self.request.payload.feed(data)

    def on_message_complete(self):
        """Mark the request's body as complete."""
        request, self.request = self.request, None
        if request is None:
            return
        if request.payload is not None:
            request.payload.finish()
        if not request.keep_alive:
            self.discarding = True

    def handle_malformed(self, error):
        """Stop parsing after malformed data; earlier requests are answered.

        If the body of a request was being received, its reader gets the
        error. Otherwise the error is sent as an answer of its own, after the
        answers to the earlier requests.
        """
        self.discarding = True
        request = self.request
        if request is not None and request.payload is not None:
            request.payload.fail(error)
            return
        self.queued.append(Exchange(error=error))
        self.start_next()

    # Requests in flight.

    def start_next(self):
        """Start queued requests that may run; pause reading if too many wait.

        Reading resumes when fewer are queued.
        """
        while self.queued and self.may_start(self.queued[0]):
            self.start(self.queued.popleft())
        if len(self.queued) > self.max_running:
            self.pause_reading(QUEUE_HOLDER)
        elif self.read_pauses:
            self.resume_reading(QUEUE_HOLDER)

    def start(self, exchange):
        """Start the task that answers a request."""
        self.running.append(exchange)
        exchange.task = self.loop.create_task(self.serve(exchange))

    def may_start(self, exchange):
        """Return whether an exchange may start beside the running ones.

        While the door is stopping, none starts behind another: the answer
        before it closes the connection, which tells the client that later
        requests were not processed.
        """
        if not self.running:
            return True
        return (
            exchange.is_concurrent
            and not self.responder.stopping
            and len(self.running) < self.max_running
            and self.running[-1].is_concurrent
        )

    async def serve(self, exchange):
        """Run one request; send its answer after all earlier answers."""
        request, responder = exchange.request, self.responder
        try:
            if request is None:
                response = responder.refuse(exchange.error)
            else:
                try:
                    response = responder.render(await responder.respond(request))
                except Exception as error:
                    response = responder.refuse(error)
            if self.running[0] is not exchange:
                exchange.turn = self.loop.create_future()
                await exchange.turn
            streaming = response.send(self, request, self.closes_after(request))
            if streaming is not None:
                await streaming
        except ConnectionError as error:
            log.debug("Answer not delivered, connection reset: {!r}", error)
            self.reset()
            return
        except Exception as error:
            # If an answer can't be written, its client must neither wait for
            # it nor take a part of it for the whole.
            log.error(
                "Failed to write an answer, resetting the connection: {!r}", error
            )
            self.reset()
            return
        self.finish_exchange(exchange, response.keep_alive)

    def closes_after(self, request):
        """Return whether the connection is closed after a request's answer.

        It must be if the request's body was not read completely: the rest
        would be taken for the head of the next request.
        """
        if request is None or not request.keep_alive:
            return True
        if request.payload is not None and not request.payload.fully_read:
            return True
        return self.responder.stopping and len(self.running) == 1

    def finish_exchange(self, exchange, keep_alive):
        """Let the next answer be sent, or close the connection."""
        self.running.popleft()
        self.last_used = self.loop.time()
        if not keep_alive:
            self.close_after_answer(exchange.request)
            return
        turn = self.running[0].turn if self.running else None
        if turn is not None and not turn.done():
            turn.set_result(None)
        if self.queued:
            self.start_next()

    def close_after_answer(self, request):
        """Close the connection after its last answer.

        If the client may still send data, only the sending side is closed
        first, and received data is discarded for `LINGER_SECONDS`.
        """
        client_is_done = (
            request is not None and not request.keep_alive and request.is_read
        )
        self.discarding = True
        self.queued.clear()
        if client_is_done or self.closed:
            self.transport.close()
            return
        if self.read_pauses:
            self.read_pauses.clear()
            self.transport.resume_reading()
        self.transport.write_eof()
        loop = self.loop
        self.timer.cancel()
        self.timer = loop.call_later(LINGER_SECONDS, self.transport.abort)
