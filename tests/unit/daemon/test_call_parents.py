import asyncio
import unittest

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.tree import MOST_AFTER_S, CallTree
from tests.unit.daemon.door_fakes import call


class ParentTest(unittest.TestCase):
    def setUp(self):
        self.tree = CallTree()
        self.tokens = {life: self.tree.begin(call(life=life))[0] for life in (1, 2, 3)}

    def test_a_call_that_ends_with_a_live_one_is_its_child(self):
        ends = self.tree.live[self.tokens[2]].call.expires_at
        for late in (0.0, 0.002, 0.9 * MOST_AFTER_S):
            self.assertEqual(self.tree.expiring_at(ends + late), self.tokens[2])

    def test_any_other_end_belongs_to_nobody(self):
        ends = self.tree.live[self.tokens[2]].call.expires_at
        for apart in (-0.1, -0.01, 2 * MOST_AFTER_S, 0.5):
            self.assertEqual(self.tree.expiring_at(ends + apart), "")
        self.assertEqual(CallTree().expiring_at(now()), "")

    def test_a_call_is_found_by_its_id_while_it_runs(self):
        token, _ = self.tree.begin(call())
        self.assertEqual(self.tree.parent_of("r1", None), token)
        self.tree.end(self.tokens[1], cancelled=False)
        self.assertEqual(self.tree.parent_of("r1", None), token)
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.parent_of("r1", None), "")

    def test_an_ended_call_has_no_children(self):
        token = self.tokens[2]
        ends = self.tree.live[token].call.expires_at
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.expiring_at(ends), "")

    def test_chance_is_not_taken_once_parents_are_named(self):
        """A caller's request was ended with a stranger's call.

        Its life ended, by chance, with that of a call which ran at the own
        target; it was taken for that call's child.
        """
        ends = self.tree.live[self.tokens[2]].call.expires_at
        self.assertEqual(self.tree.parent_of("", ends), self.tokens[2])
        self.tree.parent_of("r1", None)
        self.assertEqual(self.tree.parent_of("", ends), "")
        self.assertEqual(self.tree.parent_of("strange", ends), "")


class EndingTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_for_one_that_was_cut_gets_an_answer(self):
        """Connections of targets were closed without an answer.

        A target's answer is lost, and with it the call that it ran. It had
        made a call of its own, which works for nobody now; ending that ended
        the task of the target's connection.
        """
        tree = CallTree()
        token, live = tree.begin(call())
        waiting = asyncio.create_task(tree.while_wanted(live, asyncio.sleep(60)))
        await asyncio.sleep(0)
        tree.end(token, cancelled=True)
        with self.assertRaises(CallError) as caught:
            await asyncio.wait_for(waiting, 10)
        self.assertEqual(caught.exception.kind, ErrorKind.CALLER_LEFT)
        self.assertFalse(live.children)

    async def test_a_target_that_leaves_ends_its_call(self):
        tree = CallTree()
        _, live = tree.begin(call())
        waiting = asyncio.create_task(tree.while_wanted(live, asyncio.sleep(60)))
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
