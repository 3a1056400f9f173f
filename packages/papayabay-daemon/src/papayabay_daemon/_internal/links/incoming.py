"""Calls and control questions that the peer sends on one link."""

import asyncio
from dataclasses import dataclass

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.links.call_frames import decode_call, encode_answer
from papayabay_daemon._internal.links.codec import encode_reply
from papayabay_daemon._internal.links.lifetime import now_us
from papayabay_daemon._internal.links.limits import (
    MAX_CALLS_PER_LINK,
    MAX_FRAME_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_REQUESTS_PER_LINK,
)
from papayabay_daemon._internal.links.streams import (
    BodyInbox,
    BodyOutlet,
    BodyReader,
    first_part,
    remaining_parts,
)

RUN = 0
FORWARD = 1


def ignore_end(complete):
    """Do nothing: the call goes on after its body."""


@dataclass(slots=True)
class IncomingCall:
    """A call that is being answered.

    Attributes
    ----------
    task : asyncio.Task
    inbox : BodyInbox or None
        The call's streamed body.
    outlet : BodyOutlet or None
        Set while the answer's body is streamed.
    """

    task: asyncio.Task | None = None
    inbox: BodyInbox | None = None
    outlet: BodyOutlet | None = None


class IncomingCalls:
    """The answering side of a link.

    A link is read by its one connection, but the calls on it interleave and
    end in any order, and a cancel frame has to end just one of them. So each
    call in flight has a task of its own.

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
        """Return a task of this link; the set keeps it from being freed."""
        task = self.link.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def take_number(self, number):
        """Check that an identifier is new; raises `ProtocolError`."""
        if number <= self.last_number:
            raise ProtocolError(f"identifier {number} was used before")
        self.last_number = number

    def receive_call(self, message):
        """Start to answer a call; raises `ProtocolError`."""
        link = self.link
        number = message.id
        self.take_number(number)
        excess = link.offset.observe(now_us(), message.sent_at_us)
        call = decode_call(message, excess)
        link.note_call()
        link.counters.calls_received += 1
        if len(self.calls) >= MAX_CALLS_PER_LINK:
            error = CallError(ErrorKind.LINK_UNAVAILABLE, "too many calls")
            link.send(encode_answer(number, error_answer(error), b"", True))
            return
        entry = IncomingCall()
        if not message.last:
            entry.inbox = BodyInbox(link, number, False, ignore_end)
            call.body.rest = BodyReader(entry.inbox)
        self.calls[number] = entry
        entry.task = self.start(self.serve(number, entry, call, message.purpose))

    async def serve(self, number, entry, call, purpose):
        """Answer one call."""
        try:
            answer = await self.run_handler(call, purpose)
            await self.send_answer(number, entry, answer)
        finally:
            self.calls.pop(number, None)
            if entry.inbox is not None:
                entry.inbox.fail("the call ended")
            self.link.call_ended()

    async def run_handler(self, call, purpose):
        """Return the handler's answer, or the one of its error."""
        run = self.handlers.forward if purpose == FORWARD else self.handlers.run
        try:
            if run is None or purpose not in (RUN, FORWARD):
                raise CallError(ErrorKind.LINK_UNAVAILABLE, "takes no calls")
            return await run(call, self.link.peer_name)
        except CallError as error:
            return error_answer(error)
        except Exception:
            return self.internal_error("A call's handler failed")

    def internal_error(self, message):
        """Count and log a fault of our own; return its answer."""
        self.link.counters.handler_faults += 1
        self.link.owner.limited_log.warn(message, message, exc_info=True)
        return error_answer(CallError(ErrorKind.INTERNAL))

    async def send_answer(self, number, entry, answer):
        """Send an answer and, where it is streamed, its body."""
        link = self.link
        if link.paused:
            await link.wait_writable()
        first, last = first_part(answer.body, self.inline_bytes)
        frame = self.encode(number, answer, first, last)
        if frame is None:
            frame = encode_answer(number, self.unsendable(), b"", True)
            last = True
        link.send(frame)
        if not last:
            entry.outlet = BodyOutlet(link, number, of_answer=True)
            await entry.outlet.pump(remaining_parts(answer.body, len(first)))

    def encode(self, number, answer, first, last):
        """Return an answer's frame, or None for one that has no frame."""
        try:
            confirmation = self.link.owner.confirmations.own_confirmation()
            frame = encode_answer(number, answer, first, last, confirmation)
        except Exception:
            # Whatever a handler put into its answer, the caller must get
            # an end; a call without one would hang until its lifetime ends.
            message = "An answer can't be encoded"
            self.link.owner.limited_log.warn(message, message, exc_info=True)
            return None
        return frame if len(frame) <= MAX_FRAME_BYTES else None

    def unsendable(self):
        """Return the answer in place of one that can't be sent."""
        self.link.counters.handler_faults += 1
        return error_answer(CallError(ErrorKind.INTERNAL, "unsendable answer"))

    def receive_part(self, message):
        """Take a part of a call's body in."""
        entry = self.calls.get(message.id)
        if entry is None or entry.inbox is None:
            self.link.counters.late_parts += 1
        elif entry.inbox.fault is None:
            entry.inbox.receive(message)

    def receive_window(self, message):
        """Let an answer's body go on."""
        entry = self.calls.get(message.id)
        if entry is not None and entry.outlet is not None:
            entry.outlet.grant(message.bytes)

    def receive_cancel(self, number):
        """Cancel a call's handler, once."""
        entry = self.calls.pop(number, None)
        if entry is not None:
            self.link.counters.calls_cancelled += 1
            entry.task.cancel()
            self.link.call_ended()

    def receive_request(self, message):
        """Start to answer a control question."""
        number = message.id
        self.take_number(number)
        if len(self.requests) >= MAX_REQUESTS_PER_LINK:
            self.link.send(encode_reply(number, False, b"too many questions"))
            return
        self.requests.add(number)
        self.start(self.reply(number, message.topic, message.payload))

    async def reply(self, number, topic, payload):
        """Answer one control question."""
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
            message = "Control request {} failed"
            self.link.owner.limited_log.warn(message, message, topic, exc_info=True)
            answer = type(error).__name__.encode()
        finally:
            self.requests.discard(number)
            self.link.call_ended()
        self.link.send(encode_reply(number, ok, answer))

    def lost(self):
        """Cancel everything: whoever asked can't be answered any more."""
        for entry in self.calls.values():
            if entry.inbox is not None:
                entry.inbox.fail("the link was lost")
        self.calls.clear()
        for task in list(self.tasks):
            if not task.cancelling():
                task.cancel()
