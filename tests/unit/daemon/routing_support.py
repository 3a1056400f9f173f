"""Fixtures for tests of routing: members, calls, answers and a table."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from papayabay_core.calls import Answer, Body, Call, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance, level_of
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.routing import RoutingTable

CRITICAL_ONLY = level_of(Importance.NORMAL, 0) - 1
"""Admission level at which only critical calls are admitted."""


def member(name, domain="d1", incarnation=1, slots=10):
    return Member(name, incarnation, "127.0.0.1", 1, 2, 3, domain, "r", "stock", slots)


def call(importance=Importance.NORMAL, path_key="stock/look"):
    return Call("id", "stock", "GET", "/", [], Body(), importance, 7, 0, 1e18, 3,
                path_key=path_key)  # fmt: skip


def target_answer(load=None, status=200):
    return Answer(status, load=load)


def error_answer(kind, load=None):
    return Answer(503, kind=kind, load=load)


def high_load(admit_level=ADMIT_ALL):
    return LoadState(in_flight=10, queued=5, limit=10, admit_level=admit_level)


class RoutingCase(unittest.TestCase):
    def setUp(self):
        self.upstreams = [member(f"u{n}", f"d{n % 4}") for n in range(4)]
        self.members = SimpleNamespace(
            local=member("here", "d0"), upstreams=lambda service: self.upstreams
        )
        self.at = 100.0
        self.set_policy()
        self.table = RoutingTable(
            self.members, lambda: self.policy, random.Random(5), lambda: self.at
        )

    def set_policy(self, **decisions):
        self.policy = Policy(validate_policy({"decisions": decisions}, "test"))

    def run_attempt(self, upstream, result, elapsed=0.01, a_call=None):
        a_call = a_call or call()
        self.table.choose(a_call, ())
        self.table.started(upstream, a_call)
        self.table.ended(upstream, a_call, result, elapsed)

    def count_choices(self, count=400, a_call=None):
        chosen = (self.table.choose(a_call or call(), ()) for _ in range(count))
        return Counter(upstream.name for upstream in chosen)

    def refuse_all(self, admit_level=CRITICAL_ONLY):
        for upstream in self.upstreams:
            self.run_attempt(
                upstream,
                error_answer(ErrorKind.OVERLOADED, high_load(admit_level)),
                a_call=call(Importance.CRITICAL),
            )

    def assert_refused(self, a_call):
        with self.assertRaises(CallError) as caught:
            for _ in range(20):
                self.table.choose(a_call, ())
        return caught.exception
