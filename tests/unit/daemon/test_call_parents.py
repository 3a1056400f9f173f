import unittest

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
        self.assertEqual(self.tree.running("r1"), token)
        self.tree.end(self.tokens[1], cancelled=False)
        self.assertEqual(self.tree.running("r1"), token)
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.running("r1"), "")

    def test_an_ended_call_has_no_children(self):
        token = self.tokens[2]
        ends = self.tree.live[token].call.expires_at
        self.tree.end(token, cancelled=False)
        self.assertEqual(self.tree.expiring_at(ends), "")
