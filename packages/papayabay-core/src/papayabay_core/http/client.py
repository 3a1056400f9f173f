"""HTTP client connections, which send one request at a time."""

from collections import deque

import httptools

from papayabay_core.http.connection import HttpConnection
from papayabay_core.http.heads import MAX_HEADER_FIELDS, Head, HeaderCollector
from papayabay_core.http.payload import Payload, PayloadBroken

STATUSES = range(100, 600)
"""Statuses that an answer may have (RFC 9110, section 15)."""
FIRST_FINAL_STATUS = 200
"""Lower statuses are interim answers (1xx)."""
MAX_UNREAD_ANSWERS = 4
"""Most answers that wait for a reader. Only a faulty server sends answers that
nobody waits for, and it may never stop."""


class Message:
    """An answer whose head has been received.

    Attributes
    ----------
    status : int
        HTTP status.
    head : Head
    payload : Payload
        Its body, which may still be incomplete.
    """

    __slots__ = ("head", "payload", "status")

    def __init__(self, status, head, payload):
        self.status = status
        self.head = head
        self.payload = payload


class ClientConnection(HeaderCollector, HttpConnection):
    """A connection to a server, without pipelining of requests.

    Parameters
    ----------
    limits : LimitSettings
    on_lost : callable
        Called with the connection when it has been closed.

    Attributes
    ----------
    received : deque of Message
        Answers that no reader has waited for yet. They are complete, or have
        at least `inline_body_bytes` of their body.
    waiter : asyncio.Future or None
        The reader's, while it waits for an answer.
    timer : asyncio.TimerHandle or None
        Ends the wait of the reader.
    busy : bool
        Whether a request was sent whose answer has not been read completely.
    advanced : bool
        Whether the current segment ended a head or has a part of a body.
    framing_bytes : int
        Bytes of the latest segments that did neither: incomplete heads,
        interim answers, chunk extensions, trailers.
    unusable : bool
        Whether further bytes can no longer be attributed to a request.
    idle_since : float
        When it was last returned to the pool, on `clock.now()`.
    number : int
        Identifies it in log lines, within its pool.
    """

    def __init__(self, limits, on_lost):
        super().__init__()
        self.inline_bytes = limits.inline_body_bytes
        self.header_bytes = limits.header_bytes
        self.on_lost = on_lost
        self.parser = httptools.HttpResponseParser(self)
        self.message = None
        self.delivered = False
        self.received = deque()
        self.waiter = None
        self.timer = None
        self.error = None
        self.bodiless = False
        self.busy = False
        self.advanced = False
        self.framing_bytes = 0
        self.unusable = False
        self.idle_since = 0.0
        self.number = 0

    @property
    def reusable(self):
        """Whether another request may be sent on this connection."""
        between = not (self.in_head or self.message or self.received)
        return between and not (self.unusable or self.closed)

    def start_request(self, bodiless):
        """Mark the connection busy; `bodiless` if the answer has no body."""
        self.bodiless = bodiless
        self.busy = True

    def receive(self, seconds=None):
        """Return a future of the next answer: all of it, or its first part.

        A future with a timer of its own, as a coroutine and a time-out around
        it would double the cost of waiting.

        Parameters
        ----------
        seconds : float or None
            Time after which the future fails with `TimeoutError`; None waits
            without limit.

        Returns
        -------
        asyncio.Future
            Its result is a `Message`. It fails with a `ConnectionError` when
            the connection was closed or the server sent invalid HTTP.
        """
        waiter = self.loop.create_future()
        if self.received:
            waiter.set_result(self.received.popleft())
        elif self.error is not None:
            waiter.set_exception(self.error)
        else:
            self.waiter = waiter
            if seconds is not None:
                self.timer = self.loop.call_later(seconds, self.expire)
        return waiter

    def abort(self):
        """Close the connection without sending what is buffered."""
        self.unusable = True
        if not self.closed:
            self.transport.abort()

    # Callbacks of the transport and the parser.

    def connection_lost(self, error):
        """Fail the current answer, unless it ends with its connection."""
        super().connection_lost(error)
        message = self.message
        if message is not None and error is None and not message.head.is_framed:
            self.complete(message)
        self.fail(PayloadBroken(f"the connection ended: {error!r}"))
        self.parser = None
        self.on_lost(self)

    def data_received(self, data):
        """Parse received bytes; abort if no request is waiting for them.

        A faulty server may send bytes that never become an answer, without
        end. The parser accepts blank lines, interim answers, and chunk sizes
        and trailers of any length, so the sum of such bytes is limited here.
        """
        if self.unusable or not self.busy:
            self.abort()
            return
        self.advanced = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort_with(f"what came is no answer: {error!r}")
            return
        # Counted for each segment and each head, not for each field.
        if len(self.fields) > MAX_HEADER_FIELDS:
            self.abort_with("an answer has too many header fields")
            return
        if self.advanced:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > self.header_bytes:
            self.abort_with("too many bytes without a head or a body")

    def on_header(self, name, value):
        """Add a field. Called for each field, so it does nothing else."""
        self.fields.append((name, value))

    def on_headers_complete(self):
        """Start an answer; interim answers are skipped.

        Raises
        ------
        ValueError
            When the answer has more than `MAX_HEADER_FIELDS`, or a status that
            is none, or when `MAX_UNREAD_ANSWERS` wait for a reader.
        """
        status = self.parser.get_status_code()
        if status not in STATUSES:
            raise ValueError(f"{status} is no status of an answer")
        fields = self.end_head()
        if len(fields) > MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")
        head = Head(fields)
        if status < FIRST_FINAL_STATUS:
            return
        if len(self.received) >= MAX_UNREAD_ANSWERS:
            raise ValueError("too many answers that no request waits for")
        self.advanced = True
        self.message = Message(status, head, Payload(self))
        self.delivered = False
        if self.bodiless:
            # The parser would read following bytes as a body, so the
            # connection is not used again.
            self.complete(self.message)
            self.unusable = True

    def on_body(self, data):
        """Add a chunk of the body; deliver the answer once it is large."""
        message = self.message
        if message is None:
            return
        self.advanced = True
        message.payload.feed(data)
        if not self.delivered and message.payload.received_bytes >= self.inline_bytes:
            self.deliver(message)

    def on_message_complete(self):
        """Complete the current answer; its end was parsed."""
        message = self.message
        if message is None:
            return
        self.unusable = self.unusable or not self.parser.should_keep_alive()
        self.complete(message)

    # Delivery of answers and errors to the reader.

    def complete(self, message):
        """Mark an answer as complete and deliver it."""
        self.message = None
        message.payload.finish()
        if not self.delivered:
            self.deliver(message)

    def deliver(self, message):
        """Pass an answer to the reader."""
        self.delivered = True
        waiter = self.waiter
        if waiter is None or waiter.done():
            self.received.append(message)
            return
        self.waiter = None
        if self.timer is not None:
            self.timer.cancel()
        waiter.set_result(message)

    def abort_with(self, detail):
        """Close the connection because of invalid input."""
        self.unusable = True
        self.fail(PayloadBroken(detail))
        self.transport.abort()

    def fail(self, error):
        """Pass an error to the reader of the current answer."""
        if self.error is None:
            self.error = error
        if self.message is not None:
            self.message.payload.fail(error)
            self.message = None
        self.fail_wait(self.error)

    def expire(self):
        """End the reader's wait, as its time has passed."""
        self.fail_wait(TimeoutError())

    def fail_wait(self, error):
        """Raise an error in the reader that waits for an answer."""
        waiter, self.waiter = self.waiter, None
        if self.timer is not None:
            self.timer.cancel()
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
            # If the reader is cancelled in this iteration of the event loop,
            # it never sees the error, which asyncio would log.
            waiter.exception()
