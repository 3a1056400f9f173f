"""Keys: bad, home-bound, and what is remembered of them."""

import unittest

from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.idempotency import attempts
from papayabay_daemon._internal.interfaces import MemberState
from tests.unit.daemon.idempotency_support import (
    CLAIM,
    EITHER,
    TOKEN,
    FakeClock,
    GateCase,
)


class KeyTests(GateCase):
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
                self.assertIs(await self.kind_at("a", key, rule), kind)
        self.assertEqual(self.target.effects, 0)

    async def test_full_table_refuses_rather_than_forgets(self):
        key_table = self.cluster.gates["a"].key_table
        key_table.max_bytes = 1
        keys = [self.cluster.gates["a"].mint() for _ in range(2)]
        await self.run_at("a", keys[0])
        self.assertIs(await self.kind_at("a", keys[1]), ErrorKind.OVERLOADED)
        self.assertEqual((await self.run_at("a", keys[0])).body.first, b"done 1")
        self.cluster.clock.time += 901 + attempts.BUCKET_SECONDS
        key_table.drop_expired()
        kind = await self.kind_at("a", keys[0])
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(key_table.bytes, 0)


class HomeTests(GateCase):
    async def test_restarted_home_never_runs_its_old_keys(self):
        """Symptom: a grant took effect twice after a daemon's restart.

        The home runs the call and dies before it answers; the caller repeats
        with the key. Cause: the new process has no memory of it. The number
        of the incarnation may even be the same.
        """
        key = self.cluster.gates["a"].mint()
        await self.run_at("a", key)
        for incarnation in (1, 2):
            self.cluster.start("a", incarnation)
            for name in "ab":
                kind = await self.kind_at(name, key)
                self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 1)
        self.assertEqual(self.cluster.table.rows, {})

    async def test_refuted_suspicion_leaves_keys_good(self):
        key = self.cluster.gates["a"].mint()
        self.cluster.members["a"].incarnation += 1
        self.assertEqual((await self.run_at("b", key)).status, 201)

    async def test_home_out_of_reach(self):
        key = self.cluster.gates["a"].mint()
        self.cluster.cut = True
        kind = await self.kind_at("b", key)
        self.assertIs(kind, ErrorKind.LINK_UNAVAILABLE)
        self.cluster.members["a"].state = MemberState.DEAD
        kind = await self.kind_at("b", key)
        self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.target.effects, 0)


class RecordTests(unittest.TestCase):
    def test_decided_keys_shrink_and_bytes_return(self):
        clock = FakeClock()
        table = attempts.KeyTable(clock)
        scope, other = ("orders", "one"), ("orders", "two")
        for name, state in (
            (scope, attempts.KeyState.DONE),
            (other, attempts.KeyState.UNKNOWN),
        ):
            entry = table.add(name, "ab" * attempts.DIGEST_BYTES)
            entry.state = state
            if name is scope:
                table.keep_answer(entry, b"answer")
            table.retire(name, entry, clock() + 60)
        self.assertEqual(table.entries, {})
        self.assertEqual(table.get(scope).answer, b"answer")
        self.assertIs(table.get(other).state, attempts.KeyState.UNKNOWN)
        self.assertIsNone(table.get(other).answer)
        self.assertEqual(table.get(scope).digest, "ab" * attempts.DIGEST_BYTES)
        clock.time += 59
        table.drop_expired()
        self.assertIsNotNone(table.get(scope))
        clock.time += 1 + attempts.BUCKET_SECONDS
        table.drop_expired()
        self.assertIsNone(table.get(scope))
        self.assertEqual(table.bytes, 0)

    def test_large_answer_without_room_is_not_kept(self):
        table = attempts.KeyTable(FakeClock(), attempts.LARGE_ANSWER_BYTES * 2)
        entry = table.add(("orders", "one"), "")
        table.keep_answer(entry, bytes(attempts.LARGE_ANSWER_BYTES * 2))
        self.assertIsNone(entry.answer)
        self.assertEqual(table.counters["not_kept"], 1)
        table.keep_answer(entry, bytes(attempts.LARGE_ANSWER_BYTES))
        self.assertIsNotNone(entry.answer)
