"""Calls and control questions that this daemon sends on one link."""

import asyncio
from dataclasses import dataclass
from functools import partial

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.call_frames import decode_answer, encode_call
from papayabay_daemon._internal.links.codec import encode_number, encode_request
from papayabay_daemon._internal.links.lifetime import now_us
from papayabay_daemon._internal.links.limits import (
    MAX_CALLS_PER_LINK,
    MAX_FRAME_BYTES,
    WRITE_WAIT_SECONDS,
)
from papayabay_daemon._internal.links.streams import (
    BodyInbox,
    BodyOutlet,
    BodyReader,
    first_part,
    remaining_parts,
)


def unavailable(detail):
    """Return the error of a call of which nothing was sent."""
    return CallError(ErrorKind.LINK_UNAVAILABLE, detail)


@dataclass(slots=True)
class OutgoingCall:
    """A call that was sent and hasn't ended.

    Attributes
    ----------
    sent_at : float
        On `clock.now()`.
    answered : asyncio.Future or None
        None once the answer came: a reference from here would keep an
        answer that its caller dropped, and its body's sender, alive.
    outlet : BodyOutlet or None
        Set while the call's body is streamed.
    pump : asyncio.Task or None
        Sends that body.
    inbox : BodyInbox or None
        Set once the answer came and its body is streamed.
    """

    sent_at: float
    answered: asyncio.Future | None
    outlet: BodyOutlet | None = None
    pump: asyncio.Task | None = None
    inbox: BodyInbox | None = None


class OutgoingCalls:
    """The calling side of a link.

    Parameters
    ----------
    link : Link
    inline_bytes : int
        Largest body, or first part of one, in a call's own frame.
    """

    def __init__(self, link, inline_bytes):
        self.link = link
        self.inline_bytes = inline_bytes
        self.calls = {}
        self.requests = {}
        self.last_number = 0

    def __len__(self):
        return len(self.calls) + len(self.requests)

    def next_number(self):
        """Return an identifier that this link has not used yet."""
        self.last_number += 1
        return self.last_number

    async def call(self, call, purpose):
        """Send a call and return its answer; see `Links.call`."""
        link = self.link
        if link.paused:
            await self.wait_to_send()
        if len(self.calls) >= MAX_CALLS_PER_LINK:
            raise unavailable("too many calls on the link")
        if call.remaining() <= 0:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        number = self.next_number()
        first, last = first_part(call.body, self.inline_bytes)
        frame = encode_call(number, call, first, last, now_us(), purpose)
        if len(frame) > MAX_FRAME_BYTES:
            raise CallError(ErrorKind.HEADERS_TOO_LARGE)
        if not link.send(frame):
            raise unavailable("the link was closing")
        answered = link.loop.create_future()
        entry = OutgoingCall(now(), answered)
        self.calls[number] = entry
        link.note_call(stamped=True)
        link.counters.calls_sent += 1
        if not last:
            self.start_pump(number, entry, call.body, len(first))
        try:
            return await answered
        except asyncio.CancelledError:
            self.cancel(number)
            raise

    async def wait_to_send(self):
        """Wait for a full socket, but not for long.

        A peer that stopped reading leaves the socket full until the link is
        found silent. A call that waited so long would use up its life here,
        while nothing of it was sent and another upstream could have run it.
        """
        try:
            async with asyncio.timeout(WRITE_WAIT_SECONDS):
                await self.link.wait_writable()
        except TimeoutError:
            raise unavailable("the link does not take more data") from None

    def start_pump(self, number, entry, body, start):
        """Stream what the call's own frame left out of its body."""
        entry.outlet = BodyOutlet(self.link, number, of_answer=False)
        parts = remaining_parts(body, start)
        entry.pump = self.link.loop.create_task(entry.outlet.pump(parts))

    def cancel(self, number):
        """End a call that nobody waits for any more."""
        entry = self.calls.get(number)
        if entry is None:
            return
        if entry.inbox is not None:
            entry.inbox.fail("the call was cancelled")
            return
        self.release(number)
        self.link.send(encode_number("cancel", number))

    def release(self, number):
        """Forget a call; stops the sending of its body."""
        entry = self.calls.pop(number, None)
        if entry is not None and entry.pump is not None:
            entry.pump.cancel()
        self.link.call_ended()

    def receive_answer(self, message):
        """Hand an answer to its own call; raises `ProtocolError`."""
        number = message.id
        entry = self.calls.get(number)
        answered = entry.answered if entry is not None else None
        if entry is None or (answered is not None and answered.cancelled()):
            # The call was cancelled while its answer was on the way. Its
            # identifier is never used again, so the answer can't reach
            # another call; it is counted and dropped.
            if number > self.last_number:
                raise ProtocolError(f"answer to call {number} that was never sent")
            self.link.counters.late_answers += 1
            return
        if answered is None or answered.done():
            raise ProtocolError(f"second answer to call {number}")
        answer = decode_answer(message)
        self.take_confirmation(message, entry.sent_at)
        if message.last:
            self.release(number)
        else:
            on_end = partial(self.answer_body_ended, number)
            entry.inbox = BodyInbox(self.link, number, True, on_end)
            answer.body.rest = BodyReader(entry.inbox)
        entry.answered = None
        answered.set_result(answer)

    def take_confirmation(self, message, asked_at):
        """Take over what the peer knows of its configuration's age."""
        age_ms = message.confirmed_age_ms
        if age_ms is not None:
            confirmations = self.link.owner.confirmations
            confirmations.peer_confirmed(message.confirmed_version, age_ms, asked_at)

    def answer_body_ended(self, number, complete):
        """End a call with its answer's body, read whole or given up."""
        self.release(number)
        if not complete:
            self.link.send(encode_number("cancel", number))

    def receive_part(self, message):
        """Take a part of an answer's body in."""
        entry = self.calls.get(message.id)
        if entry is None or entry.inbox is None:
            self.link.counters.late_parts += 1
        else:
            entry.inbox.receive(message)

    def receive_window(self, message):
        """Let a call's body go on."""
        entry = self.calls.get(message.id)
        if entry is not None and entry.outlet is not None:
            entry.outlet.grant(message.bytes)

    async def request(self, topic, payload, timeout):
        """Ask a control question; see `Links.request`."""
        number = self.next_number()
        answered = self.link.loop.create_future()
        if not self.link.send(encode_request(number, topic, payload)):
            raise ProtocolError("the link was closing")
        self.requests[number] = answered
        try:
            async with asyncio.timeout(timeout):
                return await answered
        finally:
            del self.requests[number]
            self.link.call_ended()

    def receive_reply(self, message):
        """Hand a reply to the question it answers."""
        answered = self.requests.get(message.id)
        if answered is None or answered.done():
            self.link.counters.late_answers += 1
        elif message.ok:
            answered.set_result(message.payload)
        else:
            detail = message.payload.decode("utf-8", "replace")[:200]
            answered.set_exception(ProtocolError(f"the peer refused: {detail}"))

    def lost(self, reason):
        """Answer everything that waits after the link was lost."""
        for number, entry in list(self.calls.items()):
            answered = entry.answered
            if answered is not None and not answered.done():
                answered.set_exception(CallError(ErrorKind.LINK_LOST, reason))
                self.link.counters.calls_lost += 1
            if entry.inbox is not None:
                entry.inbox.fail(reason)
            self.release(number)
        for answered in self.requests.values():
            if not answered.done():
                answered.set_exception(ProtocolError(f"link lost: {reason}"))
