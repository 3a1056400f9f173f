"""Sends calls and control requests on one link and awaits their answers."""

import asyncio
from functools import partial

from msgspec import Struct

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import LinkLost, ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.links.call_frames import decode_answer, encode_call
from papayabay_daemon._internal.links.codec import encode_number, encode_request
from papayabay_daemon._internal.links.limits import (
    MAX_CALLS_PER_LINK,
    MAX_FRAME_BYTES,
    WRITE_WAIT_SECONDS,
)
from papayabay_daemon._internal.links.streams import (
    BodyReader,
    BodyReceiver,
    BodySender,
    inline_part,
    remaining_parts,
)

ANSWER_GRACE_SECONDS = 0.02
"""Time that an expired call still waits for an answer: the callee reports
more precisely whether the call was run."""


def unavailable(detail):
    """Return the error of a call that was not sent."""
    return CallError(ErrorKind.LINK_UNAVAILABLE, detail)


class OutgoingCall(Struct):
    """A call that was sent and is still in flight.

    Attributes
    ----------
    sent_at : float
        On `clock.now()`.
    future : asyncio.Future or None
        Result of the call; None once the answer was received. A reference
        from here would keep alive an answer that its caller has dropped,
        and with it the sender of its body.
    timer : asyncio.TimerHandle or None
        Ends the wait for the answer when the call has expired.
    sender : BodySender or None
        Sends the call's body; set while it is streamed.
    send_task : asyncio.Task or None
        Runs `sender`.
    receiver : BodyReceiver or None
        Receives the answer's body if it is streamed.
    """

    sent_at: float
    future: asyncio.Future | None
    timer: asyncio.TimerHandle | None = None
    sender: BodySender | None = None
    send_task: asyncio.Task | None = None
    receiver: BodyReceiver | None = None


class OutgoingCalls:
    """The calls and control requests in flight that this daemon has sent.

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
        """Return an identifier that was not used on this link before."""
        self.last_number += 1
        return self.last_number

    async def call(self, call, purpose, expires=True):
        """Send a call and return its answer; see `Links.call`.

        Parameters
        ----------
        call : Call
        purpose : int
            See `CallFrame`.
        expires : bool
            Whether to stop waiting for the answer `ANSWER_GRACE_SECONDS`
            after the call's deadline.
        """
        link = self.link
        if link.paused:
            await self.wait_to_send()
        if len(self.calls) >= MAX_CALLS_PER_LINK:
            raise self.unsent("too many calls on the link")
        sent_at = now()
        remaining = call.expires_at - sent_at
        if remaining <= 0.0:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        number = self.next_number()
        first, last = inline_part(call.body, self.inline_bytes)
        stamp_us = int(sent_at * 1_000_000)
        frame = encode_call(number, call, first, last, stamp_us, purpose)
        if len(frame) > MAX_FRAME_BYTES:
            raise CallError(ErrorKind.HEADERS_TOO_LARGE)
        if not link.send(frame):
            raise self.unsent("the link was closing")
        loop = link.loop
        future = loop.create_future()
        self.calls[number] = entry = OutgoingCall(sent_at, future)
        # Ends the wait through the future. A timeout that cancels the task
        # would look up the running task, and cost every call a layer more.
        if expires:
            timeout = remaining + ANSWER_GRACE_SECONDS
            entry.timer = loop.call_later(timeout, self.expire, number, future)
        link.used = link.stamped = True
        link.counters.calls_sent += 1
        if not last:
            self.start_sending(number, entry, call.body, len(first))
        try:
            return await future
        except asyncio.CancelledError:
            self.cancel(number)
            raise

    def unsent(self, detail):
        """Count a call that was not sent; return its error."""
        self.link.counters.calls_unsent += 1
        return unavailable(detail)

    def expire(self, number, future):
        """Fail a call whose answer did not come in time, and cancel it."""
        if not future.done():
            self.cancel(number)
            future.set_exception(CallError(ErrorKind.EXPIRED))

    async def wait_to_send(self):
        """Wait up to `WRITE_WAIT_SECONDS` for the write buffer to drain.

        If the peer has stopped reading, the buffer stays full until the link
        times out. A call that waited so long would use up its lifetime
        unsent, while another upstream could have run it.
        """
        try:
            async with asyncio.timeout(WRITE_WAIT_SECONDS):
                await self.link.wait_writable()
        except TimeoutError:
            raise self.unsent("the link does not take more data") from None

    def start_sending(self, number, entry, body, start):
        """Start to stream the part of a body that its frame left out."""
        entry.sender = BodySender(self.link, number, of_answer=False)
        parts = remaining_parts(body, start)
        entry.send_task = self.link.loop.create_task(entry.sender.send_all(parts))

    def cancel(self, number):
        """Cancel a call that its caller no longer awaits."""
        entry = self.calls.get(number)
        if entry is None:
            return
        if entry.receiver is not None:
            entry.receiver.fail("the call was cancelled")
            return
        self.release(number)
        self.link.send(encode_number("cancel", number))

    def release(self, number):
        """Remove a call, stop its timer and stop sending its body."""
        entry = self.calls.pop(number, None)
        if entry is not None:
            if entry.timer is not None:
                entry.timer.cancel()
            if entry.send_task is not None:
                entry.send_task.cancel()
        link = self.link
        if link.retired:
            link.close_if_drained()

    def receive_answer(self, message):
        """Resolve the call that an answer is for; raises `ProtocolError`."""
        number = message.id
        entry = self.calls.get(number)
        future = entry.future if entry is not None else None
        if entry is None or (future is not None and future.cancelled()):
            # The call was cancelled while its answer was in transit.
            # Identifiers are never reused, so the answer can't be taken for
            # another call's; it is counted and dropped.
            if number > self.last_number:
                raise ProtocolError(f"answer to call {number} that was never sent")
            self.link.counters.late_answers += 1
            return
        if future is None or future.done():
            raise ProtocolError(f"second answer to call {number}")
        answer = decode_answer(message)
        if message.confirmed_age_ms is not None:
            self.record_confirmation(message, entry.sent_at)
        if message.last:
            self.release(number)
        else:
            on_end = partial(self.answer_body_ended, number)
            entry.receiver = BodyReceiver(self.link, number, True, on_end)
            if entry.timer is not None:
                # The timer is for the head of the answer, not for its body.
                entry.timer.cancel()
            answer.body.rest = BodyReader(entry.receiver)
        entry.future = None
        future.set_result(answer)

    def record_confirmation(self, message, sent_at):
        """Record how recently the peer's configuration was confirmed."""
        confirmations = self.link.owner.confirmations
        confirmations.peer_confirmed(
            message.confirmed_version, message.confirmed_age_ms, sent_at
        )

    def answer_body_ended(self, number, complete):
        """Release a call whose answer's body was read or discarded.

        A body that was not read to its end is cancelled at the peer.
        """
        self.release(number)
        if not complete:
            self.link.send(encode_number("cancel", number))

    def receive_part(self, message):
        """Pass a part of an answer's body to its receiver."""
        entry = self.calls.get(message.id)
        if entry is None or entry.receiver is None:
            self.link.counters.late_parts += 1
        else:
            entry.receiver.receive(message)

    def receive_window(self, message):
        """Extend the window of a call's body."""
        entry = self.calls.get(message.id)
        if entry is not None and entry.sender is not None:
            entry.sender.grant(message.bytes)

    async def request(self, topic, payload, timeout):
        """Send a control request and return the reply; see `Links.request`."""
        number = self.next_number()
        future = self.link.loop.create_future()
        if not self.link.send(encode_request(number, topic, payload)):
            raise ProtocolError("the link was closing")
        self.requests[number] = future
        try:
            with CallTimeout(timeout):
                return await future
        finally:
            del self.requests[number]
            self.link.close_if_drained()

    def receive_reply(self, message):
        """Resolve the control request that a reply is for."""
        future = self.requests.get(message.id)
        if future is None or future.done():
            self.link.counters.late_answers += 1
        elif message.ok:
            future.set_result(message.payload)
        else:
            detail = message.payload.decode("utf-8", "replace")[:200]
            future.set_exception(ProtocolError(f"the peer refused: {detail}"))

    def fail_all(self, reason):
        """Fail all calls and control requests when the link is closed."""
        for number, entry in list(self.calls.items()):
            future = entry.future
            if future is not None and not future.done():
                future.set_exception(CallError(ErrorKind.LINK_LOST, reason))
                self.link.counters.calls_lost += 1
            if entry.receiver is not None:
                entry.receiver.fail(reason)
            self.release(number)
        for future in self.requests.values():
            if not future.done():
                future.set_exception(LinkLost(f"link lost: {reason}"))
