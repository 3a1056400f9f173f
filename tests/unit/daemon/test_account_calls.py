"""The account of a call: classes, child calls, links and targets."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from papayabay_core.calls import Body
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_daemon._internal.accounts import Identity
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.links.call_frames import (
    decode_call,
    encode_call,
    read_call_frame,
)
from papayabay_daemon._internal.target.dialect import DefaultTargetDialect
from tests.lib.cluster_fakes import make_settings
from tests.unit.daemon.account_support import (
    KEYS,
    account_call,
    account_policy,
    authenticator_of,
    incoming_with,
    live_call,
    rule_of,
)


def flow_of(policy, tree=None):
    """Return a flow that can create calls but not send them."""
    settings = make_settings("d1")
    calls = settings.calls.model_copy(update={"infer_parents": True})
    components = SimpleNamespace(
        policy=lambda: policy,
        settings=settings.model_copy(update={"calls": calls}),
        accounts=authenticator_of(policy),
    )
    return CallFlow(components, tree or CallTree(), None, None, None, None, None)


def request(*fields, **values):
    """Return a request to the service; `values` are set as attributes."""
    host = (b"Host", b"svc")
    incoming = incoming_with(host, *fields, dialect=DefaultCallerDialect())
    incoming.body = Body()
    for name, value in values.items():
        setattr(incoming, name, value)
    return incoming


class EntryTests(unittest.TestCase):
    def enter(self, **changes):
        policy = account_policy(**changes)
        identity = Identity(policy.accounts.by_name["small"], "digest")
        return flow_of(policy).entries.create(request(), rule_of(policy), "r", identity)

    def test_the_class_of_the_account_overrides_that_of_the_path(self):
        call = self.enter(small={"importance": "critical"})
        self.assertEqual(call.importance, Importance.CRITICAL)
        self.assertEqual(call.policy_class, Importance.CRITICAL)

    def test_paths_rank_calls_within_one_account_class(self):
        """Guards against unimportant paths that displace important ones."""
        policy = account_policy(small={"importance": "normal"})
        identity = Identity(policy.accounts.by_name["small"], "digest")
        flow, rule = flow_of(policy), rule_of(policy)
        levels = {
            importance: [
                flow.entries.create(
                    request(), replace(rule, importance=importance), f"r{n}", identity
                ).level
                for n in range(50)
            ]
            for importance in Importance
        }
        critical, normal, sheddable = (levels[one] for one in Importance)
        self.assertLess(max(critical), min(normal))
        self.assertLess(max(normal), min(sheddable))
        self.assertEqual({level >> 16 for level in sheddable}, {Importance.NORMAL})

    def test_without_an_account_class_the_path_decides(self):
        self.assertEqual(self.enter().importance, Importance.NORMAL)

    def test_child_calls_inherit_account_and_class(self):
        """Guards against child calls that lose the class of their account."""
        policy = account_policy(small={"importance": "critical"})
        call = self.enter(small={"importance": "critical"})
        child = flow_of(policy).child_call(request(), rule_of(policy), call)
        self.assertEqual(child.account, "small")
        self.assertEqual(child.importance, Importance.CRITICAL)


class ParentTests(unittest.TestCase):
    """Requests without a key are authorized by the live call they name."""

    def setUp(self):
        self.tree = CallTree()
        self.token, self.live = self.tree.begin(live_call("parent"))
        self.flow = flow_of(account_policy(), self.tree)

    def test_a_request_that_names_a_live_call_is_its_child(self):
        incoming = request(parent_id="parent")
        self.flow.infer_parent(incoming)
        self.assertEqual(incoming.call_token, self.token)

    def test_a_matching_deadline_does_not_authorize(self):
        """Guards against a caller without a key that is taken for a child."""
        self.tree.live[self.token].call.expires_at = 1.0
        self.tree.parents_named = False
        incoming = request(deadline_ms=0)
        self.flow.infer_parent(incoming)
        self.assertEqual(incoming.call_token, "")

    def test_a_child_of_an_ended_call_is_not_unauthenticated(self):
        """Guards against a permanent refusal of a target's own call."""
        with self.assertRaises(CallError) as raised:
            self.flow.infer_parent(request(parent_id="gone"))
        self.assertEqual(raised.exception.kind, ErrorKind.CALLER_LEFT)

    def test_a_request_with_a_key_is_not_a_child(self):
        """Guards against a key left unchecked because a parent is named."""
        key = (b"Authorization", b"Bearer " + KEYS["small"].encode())
        incoming = request(key, parent_id="parent")
        self.flow.infer_parent(incoming)
        self.assertEqual(incoming.call_token, "")


class PropagationTests(unittest.TestCase):
    def test_the_account_is_sent_between_daemons(self):
        for name in ("", "small"):
            frame = encode_call(1, account_call(name), b"", True, 0, 0)
            call = decode_call(read_call_frame(frame), 0.0)
            self.assertEqual(call.account, name)

    def test_the_account_is_sent_to_the_target(self):
        head = DefaultTargetDialect().request_head(account_call("small"), "t", None)
        self.assertIn(b"\r\nPapayabay-Account: small\r\n", head)

    def test_an_anonymous_call_sends_no_account(self):
        head = DefaultTargetDialect().request_head(account_call(""), "t", None)
        self.assertNotIn(b"account", head.lower())


if __name__ == "__main__":
    unittest.main()
