"""A connection on which requests are sent, one at a time."""

import asyncio
from collections import deque

import httptools

from papayabay_core.http.connection import HttpConnection
from papayabay_core.http.heads import Head, HeaderCollector
from papayabay_core.http.payload import Payload, PayloadBroken

FIRST_FINAL_STATUS = 200


class Message:
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
    head : Head
    payload : Payload
    """

    __slots__ = ("head", "payload", "status")

    def __init__(self, status, head, payload):
        self.status = status
        self.head = head
        self.payload = payload


class ClientConnection(HeaderCollector, HttpConnection):
    """A connection to a server that answers one request at a time.

    Parameters
    ----------
    limits : LimitSettings
    on_lost : callable
        Called with the connection when it has ended.

    Attributes
    ----------
    arrived : deque of Message
        Answers not taken yet, whole or with more at hand than fits inline.
    busy : bool
        Whether a request was sent whose answer wasn't read to its end.
    spoiled : bool
        Whether nothing that still comes can be trusted to belong anywhere.
    idle_since : float
        When it was last given back, on `clock.now()`.
    """

    def __init__(self, limits, on_lost):
        super().__init__()
        self.inline_bytes = limits.inline_body_bytes
        self.header_bytes = limits.header_bytes
        self.on_lost = on_lost
        self.parser = httptools.HttpResponseParser(self)
        self.message = None
        self.announced = False
        self.arrived = deque()
        self.waiter = None
        self.fault = None
        self.bodiless = False
        self.busy = False
        self.spoiled = False
        self.idle_since = 0.0

    @property
    def reusable(self):
        """Whether another request may be sent on it."""
        between = not (self.in_head or self.message or self.arrived)
        return between and not (self.spoiled or self.closed)

    def start_request(self, bodiless):
        """Note that a request is sent, and whether its answer has no body."""
        self.bodiless = bodiless
        self.busy = True

    async def receive(self):
        """Return the next answer, whole or with enough to pass on.

        Raises
        ------
        ConnectionError
            When the connection ended, or sent what is no answer.
        """
        while not self.arrived:
            if self.fault is not None:
                raise self.fault
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.arrived.popleft()

    def abort(self):
        """End the connection at once."""
        self.spoiled = True
        if not self.closed:
            self.transport.abort()

    # What the transport and the parser report.

    def connection_lost(self, error):
        """End what is under way; an answer may end with its connection."""
        super().connection_lost(error)
        message = self.message
        if message is not None and error is None and not message.head.is_framed:
            self.complete(message)
        self.fail(PayloadBroken(f"the connection ended: {error!r}"))
        self.parser = None
        self.on_lost(self)

    def data_received(self, data):
        """Parse what came; bytes that nobody asked for end the connection."""
        if self.spoiled:
            return
        if not self.busy:
            self.abort()
            return
        within_head = self.in_head
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.spoil(f"what came is no answer: {error!r}")
            return
        if within_head and self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > self.header_bytes:
                self.spoil("the head of an answer is too long")

    def on_headers_complete(self):
        """Take in the head; interim answers are passed over."""
        status = self.parser.get_status_code()
        head = Head(self.end_head())
        if status < FIRST_FINAL_STATUS:
            return
        self.message = Message(status, head, Payload(self))
        self.announced = False
        if self.bodiless:
            # The parser takes what follows for a body. So this connection
            # serves no other request.
            self.complete(self.message)
            self.spoiled = True

    def on_body(self, data):
        """Take in a part of the body."""
        message = self.message
        if message is None:
            return
        message.payload.feed(data)
        if not self.announced and message.payload.received_bytes >= self.inline_bytes:
            self.announce(message)

    def on_message_complete(self):
        """Note the end of an answer."""
        message = self.message
        if message is None:
            return
        self.spoiled = self.spoiled or not self.parser.should_keep_alive()
        self.complete(message)

    # How an answer, or the lack of one, reaches its reader.

    def complete(self, message):
        """Take an answer for whole."""
        self.message = None
        message.payload.finish()
        if not self.announced:
            self.announce(message)

    def announce(self, message):
        """Let the reader have an answer."""
        self.announced = True
        self.arrived.append(message)
        self.wake()

    def spoil(self, detail):
        """End the connection because of what came on it."""
        self.spoiled = True
        self.fail(PayloadBroken(detail))
        self.transport.abort()

    def fail(self, error):
        """Pass an error on to the reader of what is under way."""
        if self.fault is None:
            self.fault = error
        if self.message is not None:
            self.message.payload.fail(error)
            self.message = None
        self.wake()

    def wake(self):
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
