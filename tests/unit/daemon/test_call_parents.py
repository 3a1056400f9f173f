"""Tests of how outgoing calls of targets are matched to their parent calls."""

import asyncio
import unittest

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.tree import MAX_LATER_SECONDS, CallTree
from tests.unit.daemon.door_fakes import call


class ParentTest(unittest.TestCase):
    def setUp(self):
        self.tree = CallTree()
        self.tokens = {life: self.tree.begin(call(life=life))[0] for life in (1, 2, 3)}

    def test_call_that_expires_with_a_live_call_is_its_child(self):
        expires_at = self.tree.live[self.tokens[2]].call.expires_at
        for delay in (0.0, 0.002, 0.9 * MAX_LATER_SECONDS):
            self.assertEqual(
                self.tree.find_by_expiry(expires_at + delay), self.tokens[2]
            )

    def test_call_with_another_expiry_has_no_parent(self):
        expires_at = self.tree.live[self.tokens[2]].call.expires_at
        for offset in (-0.1, -0.01, 2 * MAX_LATER_SECONDS, 0.5):
            self.assertEqual(self.tree.find_by_expiry(expires_at + offset), "")
        self.assertEqual(CallTree().find_by_expiry(now()), "")

    def test_call_is_found_by_its_id_while_it_runs(self):
        token, _ = self.tree.begin(call())
        self.assertEqual(self.tree.parent_of("r1", None), token)
        self.tree.end(self.tokens[1], cancelled=False)
        self.assertEqual(self.tree.parent_of("r1", None), token)
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.parent_of("r1", None), "")

    def test_ended_call_is_no_parent(self):
        token = self.tokens[2]
        expires_at = self.tree.live[token].call.expires_at
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.find_by_expiry(expires_at), "")

    def test_expiry_is_not_matched_once_a_parent_was_named(self):
        """Guards against cancelling a caller's request with an unrelated call.

        The request happens to expire at the same time as a call that runs at
        this daemon's target, and is taken for a child of that call.
        """
        expires_at = self.tree.live[self.tokens[2]].call.expires_at
        self.assertEqual(self.tree.parent_of("", expires_at), self.tokens[2])
        self.tree.parent_of("r1", None)
        self.assertEqual(self.tree.parent_of("", expires_at), "")
        self.assertEqual(self.tree.parent_of("strange", expires_at), "")


class EndingTest(unittest.IsolatedAsyncioTestCase):
    async def test_child_of_a_cut_off_call_gets_an_answer(self):
        """Guards against closing a target's connection without an answer.

        A target breaks off the call that it runs, which cancels its outgoing
        calls. The cancellation must not end the task that serves the target's
        connection.
        """
        tree = CallTree()
        token, live = tree.begin(call())
        waiting = asyncio.create_task(tree.run_while_live(live, asyncio.sleep(60)))
        await asyncio.sleep(0)
        tree.end(token, cancelled=True)
        with self.assertRaises(CallError) as caught:
            await asyncio.wait_for(waiting, 10)
        self.assertEqual(caught.exception.kind, ErrorKind.CALLER_LEFT)
        self.assertFalse(live.child_tasks)

    async def test_disconnect_of_the_target_cancels_its_call(self):
        tree = CallTree()
        _, live = tree.begin(call())
        waiting = asyncio.create_task(tree.run_while_live(live, asyncio.sleep(60)))
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
