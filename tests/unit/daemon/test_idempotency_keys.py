"""Tests of invalid keys, of home-bound keys, and of the key table."""

import unittest

from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.idempotency import key_table
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import (
    CLAIM,
    EITHER,
    TOKEN,
    FakeClock,
    GateTestCase,
)


class KeyTests(GateTestCase):
    async def test_bad_keys(self):
        home = self.cluster.gates["a"].mint()
        forged = home[:-1] + ("0" if home[-1] != "0" else "1")
        cases = [
            ("", EITHER, ErrorKind.KEY_MISSING),
            ("x" * 201, EITHER, ErrorKind.BAD_REQUEST),
            ("caf\u00e9", EITHER, ErrorKind.BAD_REQUEST),
            ("a\nb", EITHER, ErrorKind.BAD_REQUEST),
            (forged, EITHER, ErrorKind.BAD_REQUEST),
            ("pb1:", EITHER, ErrorKind.BAD_REQUEST),
            ("own", TOKEN, ErrorKind.BAD_REQUEST),
            (home, CLAIM, ErrorKind.BAD_REQUEST),
        ]
        for key, rule, kind in cases:
            with self.subTest(key=key):
                self.assertIs(await self.error_kind_at("a", key, rule), kind)
        self.assertEqual(self.target.effects, 0)

    async def test_full_table_refuses_new_keys_instead_of_evicting(self):
        table = self.cluster.gates["a"].key_table
        table.max_bytes = 1
        keys = [self.cluster.gates["a"].mint() for _ in range(2)]
        await self.run_at("a", keys[0])
        self.assertIs(await self.error_kind_at("a", keys[1]), ErrorKind.OVERLOADED)
        self.assertEqual((await self.run_at("a", keys[0])).body.first, b"done 1")
        self.cluster.clock.time += 901 + key_table.BUCKET_SECONDS
        table.drop_expired()
        kind = await self.error_kind_at("a", keys[0])
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(table.used_bytes, 0)


class HomeTests(GateTestCase):
    async def test_restarted_home_does_not_run_keys_of_its_former_process(self):
        """Guards against a second effect after a restart of the home daemon.

        The home runs the call and dies before it answers, and the caller
        retries with the same key. The new process does not remember the key,
        and it may even have the same incarnation.
        """
        key = self.cluster.gates["a"].mint()
        await self.run_at("a", key)
        for incarnation in (1, 2):
            self.cluster.start("a", incarnation)
            for name in "ab":
                kind = await self.error_kind_at(name, key)
                self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 1)
        self.assertEqual(self.cluster.table.rows, {})

    async def test_keys_stay_valid_after_a_refuted_suspicion(self):
        key = self.cluster.gates["a"].mint()
        self.cluster.members["a"].incarnation += 1
        self.assertEqual((await self.run_at("b", key)).status, 201)

    async def test_unreachable_home(self):
        key = self.cluster.gates["a"].mint()
        self.cluster.is_partitioned = True
        kind = await self.error_kind_at("b", key)
        self.assertIs(kind, ErrorKind.LINK_UNAVAILABLE)
        self.cluster.members["a"].state = MemberState.DEAD
        kind = await self.error_kind_at("b", key)
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 0)


class RecordTests(unittest.TestCase):
    def test_decided_keys_become_records_that_expire(self):
        clock = FakeClock()
        table = key_table.KeyTable(clock)
        scope, other = ("orders", "one"), ("orders", "two")
        for name, state in (
            (scope, key_table.KeyState.DONE),
            (other, key_table.KeyState.UNKNOWN),
        ):
            entry = table.add(name, "ab" * key_table.DIGEST_BYTES)
            entry.state = state
            if name is scope:
                table.keep_answer(entry, b"answer")
            table.replace_by_record(name, entry, clock() + 60)
        self.assertEqual(table.entries, {})
        self.assertEqual(table.get(scope).answer, b"answer")
        self.assertIs(table.get(other).state, key_table.KeyState.UNKNOWN)
        self.assertIsNone(table.get(other).answer)
        self.assertEqual(table.get(scope).digest, "ab" * key_table.DIGEST_BYTES)
        clock.time += 59
        table.drop_expired()
        self.assertIsNotNone(table.get(scope))
        clock.time += 1 + key_table.BUCKET_SECONDS
        table.drop_expired()
        self.assertIsNone(table.get(scope))
        self.assertEqual(table.used_bytes, 0)

    def test_large_answer_is_not_kept_in_a_full_table(self):
        table = key_table.KeyTable(FakeClock(), key_table.LARGE_ANSWER_BYTES * 2)
        entry = table.add(("orders", "one"), "")
        table.keep_answer(entry, bytes(key_table.LARGE_ANSWER_BYTES * 2))
        self.assertIsNone(entry.answer)
        self.assertEqual(table.counters["not_kept"], 1)
        table.keep_answer(entry, bytes(key_table.LARGE_ANSWER_BYTES))
        self.assertIsNotNone(entry.answer)
