"""Tests of the figures of work that a daemon gets when it starts."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import logbook

from papayabay_core.calls import LoadState
from papayabay_core.exceptions import ProtocolError
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.calls import snapshot, snapshot_messages
from papayabay_daemon._internal.calls.run_counts import MAX_CHILDREN, RunCounts
from papayabay_daemon._internal.calls.snapshot import SnapshotExchange
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.routing import RoutingTable
from tests.lib.cluster_fakes import LinkNetwork
from tests.unit.daemon.admission_support import run_virtual
from tests.unit.daemon.routing_support import CRITICAL_ONLY, call, member, target_answer

LOAD = LoadState(limit=10, admit_level=CRITICAL_ONLY, work_ms={"room": 400.0})


class Neighbour:
    """The figures of one daemon, with its links and its members."""

    def __init__(self, fleet, local):
        self.local = local
        members = SimpleNamespace(
            local=local, live=lambda: fleet.members, upstreams=lambda name: [UPSTREAM]
        )
        rng = random.Random(3)
        self.table = RoutingTable(members, lambda: fleet.policy, rng, lambda: fleet.at)
        self.counts = RunCounts()
        self.exchange = SnapshotExchange(
            members, fleet.network.links(local.name), lambda: fleet.policy,
            self.counts, self.table, rng,
        )  # fmt: skip

    def receive(self, load=LOAD, path_key="stock/look"):
        a_call = call(Importance.CRITICAL, path_key)
        self.table.choose(a_call, ())
        self.table.ended(UPSTREAM, a_call, target_answer(load), 0.01)

    def start(self):
        with logbook.NullHandler():
            run_virtual(lambda clock: self.exchange.run())
        return self.exchange.counters

    def path_work(self):
        return self.table.path_work("stock", "stock/look")


UPSTREAM = member("u")


class SnapshotTest(unittest.TestCase):
    def setUp(self):
        self.at = 100.0
        self.network = LinkNetwork()
        self.policy = Policy(validate_policy({"decisions": {"equals": "work"}}, "t"), 1)
        self.members = [member(f"n{number}") for number in range(4)]
        self.members[3].failure_domain = "far"
        nodes = [Neighbour(self, one) for one in self.members]
        self.new, *self.others = nodes

    def test_new_daemon_decides_by_a_neighbours_figures(self):
        """Guards against a daemon that admits what is refused below it."""
        for other in self.others:
            other.receive()
            for _ in range(100):
                other.counts.record("stock/look", {"room/turn": 8}, True)
        self.at += 0.3
        self.assertEqual(self.new.start()["snapshots_adopted"], 1)
        self.assertEqual(self.new.path_work(), 400.0)
        self.assertEqual(self.new.counts.paths["stock/look"].calls, {"room/turn": 128})
        self.new.table.choose(call(Importance.CRITICAL), ())
        level = self.new.table.path_level("stock", "stock/look")
        self.assertEqual(level, CRITICAL_ONLY)
        self.at += 1.3
        self.assertEqual(self.new.path_work(), 0.0)

    def test_own_figures_are_kept(self):
        """Guards against a neighbour's figures in place of newer own ones."""
        for other in self.others:
            other.receive()
        self.new.receive(LoadState(limit=10, work_ms={"room": 90.0}))
        self.new.start()
        self.assertEqual(self.new.path_work(), 90.0)

    def test_second_neighbour_is_asked_and_no_third(self):
        """Guards against a start that asks all of a fleet that is cut off."""
        self.network.partitioned = {"n1"}
        self.others[1].receive()
        asked = [peer.name for peer in self.new.exchange.neighbours()]
        self.assertEqual(set(asked), {"n1", "n2"})
        counters = self.new.start()
        self.assertEqual(counters["snapshots_adopted"], 1)
        self.assertEqual(self.new.path_work(), 400.0)
        self.network.partitioned = {"n1", "n2", "n3"}
        self.assertGreaterEqual(self.others[2].start()["snapshots_unanswered"], 2)

    def test_default_policy_asks_nobody(self):
        """Guards against messages where the policy does not need them."""
        self.policy = Policy(validate_policy({}, "t"), 1)
        self.new.start()
        self.assertEqual(self.network.bytes, {})

    def test_neighbours_that_leave_are_not_asked(self):
        """Guards against waiting for members that no longer answer."""
        for one in self.members[1:]:
            one.state = MemberState.LEAVING
        with mock.patch.object(snapshot, "MAX_WAIT_S", 0.2):
            self.assertEqual(sum(self.new.start().values()), 0)

    def test_adopted_call_trees_are_bounded(self):
        """Guards against more child paths than are kept of own runs."""
        calls = {f"room/{number}": 1 for number in range(MAX_CHILDREN + 1)}
        self.new.counts.adopt("stock/look", 1, calls)
        adopted = self.new.counts.paths["stock/look"].calls
        self.assertEqual(len(adopted), MAX_CHILDREN)

    def test_levels_that_cannot_be_are_not_read(self):
        """Guards against a service that one message closes or opens."""
        for level, path_level in ((-2, 0), (ADMIT_ALL + 1, 0), (0, -(2**62))):
            figures = ["stock", 1, level, {"stock/look": path_level}, []]
            payload = snapshot_messages.encoder.encode([[], [figures]])
            with self.assertRaises(ProtocolError):
                snapshot_messages.decode(payload)

    def test_message_is_bounded(self):
        """Guards against a message of all paths of a large policy."""
        other = self.others[0]
        for number in range(256):
            other.receive(path_key=f"stock/{number:0100}")
            called = {f"room/{number:0100}": 1}
            other.counts.record(f"stock/{number:0100}", called, True)
        payload = run_virtual(lambda clock: other.exchange.handle_request(b"", "n0"))
        self.assertLessEqual(len(payload), snapshot_messages.MAX_BYTES)
        self.assertTrue(snapshot_messages.decode(payload).counts)
        long = snapshot_messages.PathCounts("p" * 20_000, 1, {})
        long = snapshot_messages.encoder.encode(snapshot_messages.Snapshot([long]))
        for malformed in (b"\x91", long, b"\x92\x91\x93\xa1a\x00\x80\x90"):
            with self.assertRaises(ProtocolError):
                snapshot_messages.decode(malformed)
