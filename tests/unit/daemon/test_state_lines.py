"""Tests of log lines on state changes: few, even for bursts of changes."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

import logbook

from papayabay_core.importance import Importance
from papayabay_daemon._internal import aggregated_log
from papayabay_daemon._internal.admission.overload import QUIET_SECONDS, OverloadLog
from papayabay_daemon._internal.configuration.version import VersionInForce
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.deaths import DeathLog

LOST_MEMBERS = 650


def member(number, state):
    return SimpleNamespace(name=f"vm-{number}", state=state)


class StateLineTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def lines(self):
        return [record.message for record in self.logged.records]

    async def test_lost_failure_domain_gets_one_line(self):
        """Hundreds of deaths at once must not be logged one by one.

        A failure domain fails and one of its members comes back. A member
        that left before is not counted as dead.
        """
        deaths = DeathLog()
        with mock.patch.object(aggregated_log, "PERIOD_SECONDS", 0.0):
            deaths.note(member("left", MemberState.LEAVING))
            deaths.note(member("left", MemberState.DEAD))
            for number in range(LOST_MEMBERS):
                deaths.note(member(number, MemberState.SUSPECT))
                deaths.note(member(number, MemberState.DEAD))
                deaths.note(member(number, MemberState.DEAD))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            dead = f"members declared dead: {LOST_MEMBERS} (first: vm-0, vm-1, vm-2)"
            self.assertEqual(self.lines(), [dead])
            deaths.note(member(7, MemberState.ALIVE))
            deaths.note(member(7, MemberState.ALIVE))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(self.lines()[1:], ["members back: 1 (first: vm-7)"])

    async def test_begin_and_end_of_overload_are_logged_once(self):
        time = 100.0
        overload = OverloadLog(lambda: time)
        self.addCleanup(overload.close)
        for _ in range(3):
            overload.refused(Importance.SHEDDABLE, time)
        time = 104.0
        overload.refused(Importance.NORMAL, time)
        time = 104.0 + QUIET_SECONDS - 0.5
        overload.end_if_quiet()
        begins = "overload begins: a sheddable call was refused"
        self.assertEqual(self.lines(), [begins])
        time = 104.0 + QUIET_SECONDS
        overload.end_if_quiet()
        counts = "0 critical, 1 normal, 3 sheddable"
        ended = f"overload ended after 4.0 s; refused: {counts}"
        self.assertEqual(self.lines(), [begins, ended])
        overload.refused(Importance.NORMAL, time)
        self.assertIn("a normal call", self.lines()[2])

    def test_new_version_in_force_is_logged(self):
        version = VersionInForce()
        version.apply_full_version(version.latest.__class__(version=3))
        self.assertEqual(self.lines(), ["version 3 is in force"])


if __name__ == "__main__":
    unittest.main()
