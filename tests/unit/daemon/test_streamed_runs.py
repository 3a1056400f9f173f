"""The slot of a call whose target streams its answer."""

import asyncio
import gc
import unittest
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

from papayabay_core.calls import Answer, Body
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.links.streams import BodySender, remaining_parts
from tests.unit.daemon.door_fakes import bounded, call


class FakeStream:
    """The rest of an answer's body, which may break off."""

    def __init__(self, parts=(b"one", b"two"), error=None):
        self.parts = list(parts)
        self.error = error
        self.closed = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.parts:
            return self.parts.pop(0)
        if self.error is not None:
            raise self.error
        raise StopAsyncIteration

    async def aclose(self):
        self.closed = True


class StreamedRunTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.tree = CallTree()
        self.ticket = Mock()
        self.stream = FakeStream()
        components = SimpleNamespace(admission=Mock())
        self.receiver = Receiver(components, self.tree, RunCounts(), Mock())

    def complete(self):
        """Return a streamed answer whose slot is still in use."""
        token, live = self.tree.begin(call())
        answer = Answer(200, [], Body(b"first", self.stream))
        self.receiver.complete(token, live, self.ticket, answer)
        self.assertTrue(self.tree.live)
        self.ticket.finish.assert_not_called()
        return answer

    def check_released(self, complete):
        self.ticket.finish.assert_called_once()
        (ended,) = self.ticket.finish.call_args.args
        self.assertEqual(ended and ended.status, 200 if complete else None)
        self.assertFalse(self.tree.live)

    async def test_slot_is_released_at_the_end_of_the_body(self):
        answer = self.complete()
        parts = [part async for part in answer.body.rest]
        self.assertEqual(parts, [b"one", b"two"])
        await answer.body.rest.aclose()
        self.check_released(complete=True)

    async def test_slot_is_released_when_the_target_breaks_off(self):
        self.stream.error = ConnectionResetError()
        answer = self.complete()
        with self.assertRaises(ConnectionResetError):
            async for _ in answer.body.rest:
                pass
        self.check_released(complete=False)

    async def test_slot_is_released_if_the_body_is_closed_unread(self):
        """Guards against a slot that stays in use for ever.

        The client disconnects between the head of the answer and the first
        part of its body. The `finally` clause of an async generator that was
        never iterated does not run when it is closed.
        """
        answer = self.complete()
        await answer.body.rest.aclose()
        self.check_released(complete=False)
        self.assertTrue(self.stream.closed)

    async def test_slot_is_released_if_the_answer_is_dropped(self):
        """Guards against the same leak where nothing closes the body.

        A task that is cancelled before it sends the answer only drops it.
        """
        gc.disable()
        self.addCleanup(gc.enable)
        self.complete()
        await asyncio.sleep(0)
        self.check_released(complete=False)

    async def test_slot_is_released_if_the_link_is_lost_before_the_body(self):
        answer = self.complete()
        link = Mock(closed=True, wait_writable=AsyncMock())
        sender = BodySender(link, 1, of_answer=True)
        await bounded(sender.send_all(remaining_parts(answer.body, 0)))
        self.check_released(complete=False)
