"""Handles the calls and control requests received on one link."""

import asyncio

from msgspec import Struct

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.links.call_frames import decode_call, encode_answer
from papayabay_daemon._internal.links.clock_offset import now_us
from papayabay_daemon._internal.links.codec import encode_reply
from papayabay_daemon._internal.links.limits import (
    MAX_CALLS_PER_LINK,
    MAX_FRAME_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_REQUESTS_PER_LINK,
)
from papayabay_daemon._internal.links.streams import (
    BodyReader,
    BodyReceiver,
    BodySender,
    inline_part,
    remaining_parts,
)

RUN = 0
FORWARD = 1


def ignore_end(complete):
    """Do nothing when a call's body ends; the call continues."""


class IncomingCall(Struct):
    """A call that is being answered.

    Attributes
    ----------
    task : asyncio.Task or None
        Runs the handler and sends the answer.
    receiver : BodyReceiver or None
        Receives the call's body if it is streamed.
    sender : BodySender or None
        Sends the answer's body; set while it is streamed.
    """

    task: asyncio.Task | None = None
    receiver: BodyReceiver | None = None
    sender: BodySender | None = None


class IncomingCalls:
    """The calls and control requests in flight that the peer has sent.

    Each call has its own task, because calls on a link interleave, end in any
    order and can be cancelled one by one.

    Parameters
    ----------
    link : Link
    handlers : Handlers
    inline_bytes : int
        Largest body, or first part of one, in an answer's own frame.
    """

    def __init__(self, link, handlers, inline_bytes):
        self.link = link
        self.handlers = handlers
        self.inline_bytes = inline_bytes
        self.calls = {}
        self.tasks = set()
        self.requests = set()
        self.last_number = 0

    def __len__(self):
        return len(self.calls) + len(self.requests)

    def start(self, work):
        """Start a task; `tasks` references it so that it is not collected."""
        task = self.link.loop.create_task(work)
        self.keep(task)
        return task

    def keep(self, task):
        """Hold a reference to a task until it has ended."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def running_tasks(self):
        """Return the tasks that have not ended."""
        return [*self.tasks, *(entry.task for entry in self.calls.values())]

    def register_number(self, number):
        """Record an identifier; raises `ProtocolError` if it is not new."""
        if number <= self.last_number:
            raise ProtocolError(f"identifier {number} was used before")
        self.last_number = number

    def receive_call(self, message):
        """Start a task for a received call; raises `ProtocolError`."""
        link = self.link
        number = message.id
        self.register_number(number)
        excess = link.offset.observe(now_us(), message.sent_at_us)
        call = decode_call(message, excess)
        link.used = True
        link.counters.calls_received += 1
        if len(self.calls) >= MAX_CALLS_PER_LINK:
            error = CallError(ErrorKind.LINK_UNAVAILABLE, "too many calls")
            link.send(encode_answer(number, error_answer(error), b"", True))
            return
        entry = IncomingCall()
        if not message.last:
            entry.receiver = BodyReceiver(link, number, False, ignore_end)
            call.body.rest = BodyReader(entry.receiver)
        self.calls[number] = entry
        # Until the task ends or is cancelled, `calls` references it.
        entry.task = link.loop.create_task(
            self.serve(number, entry, call, message.purpose)
        )

    async def serve(self, number, entry, call, purpose):
        """Run the handler of one call and send its answer.

        An exception of the handler becomes an answer.
        """
        link = self.link
        try:
            try:
                if purpose == RUN:
                    run = self.handlers.run
                else:
                    run = self.handlers.forward if purpose == FORWARD else None
                if run is None:
                    raise CallError(ErrorKind.LINK_UNAVAILABLE, "takes no calls")
                answer = await run(call, link.peer_name)
            except CallError as error:
                answer = error_answer(error)
            except Exception:
                answer = self.internal_error(
                    "The handler of a call failed; answering with an internal error"
                )
            if link.paused:
                await link.wait_writable()
            rest_from = self.send_answer(number, answer)
            if rest_from is not None:
                entry.sender = BodySender(link, number, of_answer=True)
                await entry.sender.send_all(remaining_parts(answer.body, rest_from))
        finally:
            self.calls.pop(number, None)
            if entry.receiver is not None:
                entry.receiver.fail("the call ended")
            if link.retired:
                link.close_if_drained()

    def internal_error(self, message):
        """Count and log an internal error; return the answer for it."""
        self.link.counters.handler_faults += 1
        self.link.owner.rate_limited_log.warn(message, message, exc_info=True)
        return error_answer(CallError(ErrorKind.INTERNAL))

    def send_answer(self, number, answer):
        """Send an answer.

        Returns
        -------
        int or None
            Where the part of its body starts that is to be streamed; None if
            the frame contains the whole body.
        """
        link = self.link
        first, last = inline_part(answer.body, self.inline_bytes)
        try:
            confirmation = link.owner.confirmations.own_confirmation()
            frame = encode_answer(number, answer, first, last, confirmation)
        except Exception:
            # The caller must get an answer even if the handler's can't be
            # encoded; otherwise the call would hang until its deadline.
            message = "An answer can't be encoded; sending an internal error"
            link.owner.rate_limited_log.warn(message, message, exc_info=True)
            frame = None
        if frame is None or len(frame) > MAX_FRAME_BYTES:
            frame = encode_answer(number, self.encoding_error_answer(), b"", True)
            last = True
        link.send(frame)
        return None if last else len(first)

    def encoding_error_answer(self):
        """Count a handler fault; return the answer that reports it."""
        self.link.counters.handler_faults += 1
        return error_answer(CallError(ErrorKind.INTERNAL, "unsendable answer"))

    def receive_part(self, message):
        """Pass a part of a call's body to its receiver."""
        entry = self.calls.get(message.id)
        if entry is None or entry.receiver is None:
            self.link.counters.late_parts += 1
        elif entry.receiver.fault is None:
            entry.receiver.receive(message)

    def receive_window(self, message):
        """Extend the window of an answer's body."""
        entry = self.calls.get(message.id)
        if entry is not None and entry.sender is not None:
            entry.sender.grant(message.bytes)

    def receive_cancel(self, number):
        """Cancel a call's handler; a second cancel frame has no effect."""
        entry = self.calls.pop(number, None)
        if entry is not None:
            self.link.counters.calls_cancelled += 1
            self.keep(entry.task)
            entry.task.cancel()
            self.link.close_if_drained()

    def receive_request(self, message):
        """Start a task for a control request; raises `ProtocolError`."""
        number = message.id
        self.register_number(number)
        if len(self.requests) >= MAX_REQUESTS_PER_LINK:
            self.link.send(encode_reply(number, False, b"too many questions"))
            return
        self.requests.add(number)
        self.start(self.reply(number, message.topic, message.payload))

    async def reply(self, number, topic, payload):
        """Run the handler of a control request and send its reply."""
        ok = False
        try:
            handler = self.handlers.topics.get(topic)
            if handler is None:
                answer = b"unknown topic"
            else:
                answer = await handler(payload, self.link.peer_name)
                ok = len(answer) <= MAX_PAYLOAD_BYTES
                answer = answer if ok else b"reply too large"
        except Exception as error:
            self.link.counters.handler_faults += 1
            message = "The handler of control topic {!r} failed; replying with an error"
            self.link.owner.rate_limited_log.warn(
                message, message, topic, exc_info=True
            )
            answer = type(error).__name__.encode()
        finally:
            self.requests.discard(number)
            self.link.close_if_drained()
        self.link.send(encode_reply(number, ok, answer))

    def cancel_all(self):
        """Cancel all handlers when the link is closed."""
        for entry in self.calls.values():
            if entry.receiver is not None:
                entry.receiver.fail("the link was lost")
            self.keep(entry.task)
        self.calls.clear()
        for task in list(self.tasks):
            if not task.cancelling():
                task.cancel()
