"""Due times of calls: equal slack, learned from the runs of a path."""

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import Mock

import msgspec
from msgspec import structs

from papayabay_core.calls import Answer
from papayabay_core.importance import Importance
from papayabay_core.policy.document import Objective
from papayabay_daemon._internal.accounts import Identity
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.slack import MIN_RUNS, SlackModel
from papayabay_daemon._internal.links import call_frames
from tests.unit.daemon.account_support import account_policy, rule_of
from tests.unit.daemon.admission_support import make_call
from tests.unit.daemon.test_account_calls import flow_of, request


class SlackTests(unittest.TestCase):
    def setUp(self):
        self.model = SlackModel()

    def run_path(self, started=0.0, calls=4, call_s=0.05, own_s=0.02, together=1):
        """Run a path whose calls come in sequence; return them."""
        parent = make_call(lambda: started, lifetime=1.0)
        parent.due_at = started + 0.68
        live = SimpleNamespace(call=parent, steps=None, downstream_failed=False)
        now, made = started, []
        for _ in range(calls):
            for number in range(together):
                live.child_tasks = range(number)
                made.append(make_call(lambda: started, lifetime=1.0, depth=1))
                self.model.begin_call(live, made[-1], now)
            now += call_s
            for number in reversed(range(together)):
                live.child_tasks = range(number)
                self.model.end_call(live, now)
            now += own_s
        self.model.end_run(live, now)
        return made

    def test_slack_is_shared_by_the_calls_still_to_come(self):
        """Guards against chains that spend all slack in the first queue."""
        for _ in range(MIN_RUNS):
            made = self.run_path(together=2)
            self.assertTrue(all(abs(call.due_at - 0.68) < 1e-9 for call in made))
        made = self.run_path(together=2)
        for call in made[:2]:  # 0.68 - 4 * 0.07 = 0.4 of slack for 4 calls
            self.assertAlmostEqual(call.due_at, 0.05 + 0.1)
            self.assertAlmostEqual(call.rest_s, 0.02 + 3 * 0.07)
        self.assertAlmostEqual(made[-1].due_at, 0.68 - 0.02)

    def test_queueing_in_an_overload_is_not_taken_for_work(self):
        """Guards against calls refused as late because others had waited."""
        for number in range(MIN_RUNS):
            self.run_path(number)
        for number in range(1_000):
            self.run_path(MIN_RUNS + number / 200, call_s=0.2)
        self.assertLess(self.model.paths["p"].step_s[0], 0.05 * 1.05**7)


class FlowTests(unittest.TestCase):
    def enter(self, order="due", short=False, account="normal"):
        policy = account_policy(small={"importance": account})
        decisions = policy.decisions.model_copy(
            update={"queue_order": order, "min_served_share": 1.0}
        )
        policy.document = policy.document.model_copy(update={"decisions": decisions})
        self.flow = flow_of(policy)
        self.flow.components.counters = SimpleNamespace(outgoing=0, promoted=0)
        shares = SimpleNamespace(falls_short=lambda *path: short)
        self.flow.entries.served_shares = shares
        rule = replace(
            rule_of(policy),
            importance=Importance.SHEDDABLE,
            objective=Objective(good_share=0.9, latency_ms=30),
        )
        identity = Identity(policy.accounts.by_name["small"], "digest")
        return self.flow.entries.create(request(), rule, "r", identity), rule

    def test_path_class_is_kept_where_the_account_sets_the_class(self):
        """Guards against unimportant paths that go first by their depth."""
        call, _ = self.enter()
        self.assertEqual((call.importance, call.path_class), (1, 2))
        self.assertEqual(self.enter(short=True)[0].path_class, 0)
        frame = call_frames.encode_call(
            1, structs.replace(call, rest_s=0.2), b"", True, 0, 0
        )
        sent = call_frames.decode_call(call_frames.read_call_frame(frame), 0.0)
        self.assertEqual((sent.path_class, sent.rest_s), (2, 0.2))

    def test_call_of_an_older_peer_has_the_path_class_of_its_class(self):
        """Guards against calls that go first as an older daemon sent them."""
        sent = make_call(lambda: 0.0, Importance.SHEDDABLE)
        frame = call_frames.encode_call(1, sent, b"", True, 0, 0)
        fields = msgspec.msgpack.decode(frame)
        older = msgspec.msgpack.encode(fields[:-3])
        read = call_frames.decode_call(call_frames.read_call_frame(older), 0.0)
        self.assertEqual((read.path_class, read.due_at, read.rest_s), (2, None, 0.0))

    def test_calls_of_a_run_get_their_due_time_and_path_class(self):
        """Guards against runs that nothing is learned from."""
        for order in ("due", "depth"):
            entered, rule = self.enter(order)
            token, live = self.flow.tree.begin(entered)

            async def run(call, rule, account):
                self.child = call
                return Answer(200)

            self.flow.run = run
            asyncio.run(self.flow.run_child(request(), rule, live))
            self.assertEqual(self.child.path_class, 2)
            self.assertEqual(self.child.due_at, entered.due_at)
            receiver = Receiver(None, self.flow.tree, Mock(), None)
            receiver.finish(token, live, Mock(), Answer(200))
            self.assertEqual(bool(self.flow.tree.slack.paths), order == "due")
            self.assertEqual(entered.due_at is None, order == "depth")
        self.assertAlmostEqual(self.enter()[0].remaining(), 2.0, places=1)
