"""Handles the calls and control requests received on one link."""

import asyncio
from dataclasses import dataclass

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


@dataclass(slots=True)
class IncomingCall:
    """A call that is being answered.

    Attributes
    ----------
    task : asyncio.Task
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
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

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
        link.record_call()
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
        entry.task = self.start(self.serve(number, entry, call, message.purpose))

    async def serve(self, number, entry, call, purpose):
        """Run the handler of one call and send its answer."""
        try:
            answer = await self.run_handler(call, purpose)
            await self.send_answer(number, entry, answer)
        finally:
            self.calls.pop(number, None)
            if entry.receiver is not None:
                entry.receiver.fail("the call ended")
            self.link.close_if_drained()

    async def run_handler(self, call, purpose):
        """Return the handler's answer; an exception becomes an answer."""
        run = self.handlers.forward if purpose == FORWARD else self.handlers.run
        try:
            if run is None or purpose not in (RUN, FORWARD):
                raise CallError(ErrorKind.LINK_UNAVAILABLE, "takes no calls")
            return await run(call, self.link.peer_name)
        except CallError as error:
            return error_answer(error)
        except Exception:
            return self.internal_error(
                "The handler of a call failed; answering with an internal error"
            )

    def internal_error(self, message):
        """Count and log an internal error; return the answer for it."""
        self.link.counters.handler_faults += 1
        self.link.owner.rate_limited_log.warn(message, message, exc_info=True)
        return error_answer(CallError(ErrorKind.INTERNAL))

    async def send_answer(self, number, entry, answer):
        """Send an answer and, if its body is streamed, the body."""
        link = self.link
        if link.paused:
            await link.wait_writable()
        first, last = inline_part(answer.body, self.inline_bytes)
        frame = self.encode(number, answer, first, last)
        if frame is None:
            frame = encode_answer(number, self.encoding_error_answer(), b"", True)
            last = True
        link.send(frame)
        if not last:
            entry.sender = BodySender(link, number, of_answer=True)
            await entry.sender.send_all(remaining_parts(answer.body, len(first)))

    def encode(self, number, answer, first, last):
        """Return an answer's frame, or None if it can't be encoded."""
        try:
            confirmation = self.link.owner.confirmations.own_confirmation()
            frame = encode_answer(number, answer, first, last, confirmation)
        except Exception:
            # The caller must get an answer even if the handler's can't be
            # encoded; otherwise the call would hang until its deadline.
            message = "An answer can't be encoded; sending an internal error"
            self.link.owner.rate_limited_log.warn(message, message, exc_info=True)
            return None
        return frame if len(frame) <= MAX_FRAME_BYTES else None

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
        self.calls.clear()
        for task in list(self.tasks):
            if not task.cancelling():
                task.cancel()
