"""Which requests are held back, for how long, and what is bounded."""

import asyncio
import random
import unittest
import unittest.mock

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.platform import Row
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.quarantine import (
    QuarantineGate,
    QuarantineRegistry,
    QuarantineRows,
)
from papayabay_daemon._internal.quarantine.messages import (
    RegistryDigest,
    decode,
    describe,
    encode,
    merge,
)
from papayabay_daemon._internal.quarantine.records import (
    HOUR_S,
    MINUTE_S,
    QuarantineEntry,
)
from papayabay_daemon._internal.quarantine.registry import MAX_CRASHES, MAX_ENTRIES
from tests.lib.cluster_fakes import MemoryTable
from tests.unit.daemon.door_fakes import call, settings


class BookCase(unittest.TestCase):
    def setUp(self):
        self.at = 1_000.0
        self.numbers = iter(range(1, 1_000_000))
        self.book = self.new_book()

    def new_book(self):
        return QuarantineRegistry(lambda: self.at)

    def end(self, *fingerprints, begun=None, book=None):
        """Let a target end that was just handed some requests."""
        self.at += 0.5
        begun = self.at - 0.2 if begun is None else begun
        name = next(self.numbers).to_bytes(8, "big")
        (book or self.book).add_crash(name, dict.fromkeys(fingerprints, begun))
        return name

    def held(self, fingerprint, book=None):
        return round((book or self.book).remaining_ttl(fingerprint), 1)


class JudgingTests(BookCase):
    def test_the_only_one_in_two_ends_is_held_back(self):
        self.end(b"p", b"a", b"b")
        self.end(b"p", b"c")
        self.assertEqual(self.held(b"p"), MINUTE_S)
        self.assertEqual([self.held(name) for name in (b"a", b"b", b"c")], [0.0] * 3)

    def test_one_of_two_is_told_apart_by_the_third_end(self):
        self.end(b"p", b"a")
        self.end(b"p", b"a")
        self.assertEqual((self.held(b"p"), self.held(b"a")), (0.0, 0.0))
        self.assertTrue(self.book.is_suspect(b"p") and self.book.is_suspect(b"a"))
        self.end(b"p")
        self.assertEqual((self.held(b"p"), self.held(b"a")), (10 * MINUTE_S, 0.0))

    def test_an_answer_leaves_the_other_as_the_only_one(self):
        self.end(b"p", b"a")
        self.end(b"p", b"a")
        self.book.exonerate(b"a")
        self.assertEqual((self.held(b"p"), self.held(b"a")), (MINUTE_S, 0.0))

    def test_targets_that_end_together_tell_nothing_of_busy_paths(self):
        """A path in constant use was at work in all of them; no cause.

        Symptom: callers of the most used path are refused for minutes after
        several targets lost power. Sequence: three targets end at once, and
        each was running requests of that path.
        """
        for _ in range(3):
            self.end(b"busy", begun=1_000.0)
        self.assertEqual(self.held(b"busy"), 0.0)
        self.assertFalse(self.book.is_suspect(b"busy"))

    def test_each_further_end_holds_it_back_for_longer(self):
        held = []
        for _ in range(7):
            self.end(b"p")
            held.append(self.held(b"p") / MINUTE_S)
            self.at += self.held(b"p")
        self.assertEqual(held, [0, 1, 10, 60, 360, 1440, 1440])

    def test_an_answer_lifts_it(self):
        for _ in range(3):
            self.end(b"p")
        self.assertTrue(self.book.exonerate(b"p"))
        self.assertEqual(self.held(b"p"), 0.0)
        self.end(b"p")
        self.assertEqual(self.held(b"p"), 0.0)
        self.assertFalse(self.book.exonerate(b"unknown"))


class BoundTests(BookCase):
    def test_a_flood_neither_fills_the_book_for_good_nor_empties_it(self):
        """Each request of a flood ends targets, and each is another one."""
        for _ in range(4):
            self.at += self.held(b"first")
            self.end(b"first")
        for number in range(MAX_ENTRIES + 100):
            fingerprint = b"f%d" % number
            self.end(fingerprint)
            self.end(fingerprint)
        self.assertEqual(len(self.book.crashes), MAX_CRASHES)
        self.assertEqual(len(self.book.entries), MAX_ENTRIES)
        self.assertGreater(self.held(b"first"), 0.0)
        self.at += 48 * HOUR_S
        self.assertEqual(len(self.book.expire()), MAX_ENTRIES)
        self.assertTrue(self.book.is_empty)

    def test_old_ends_are_forgotten(self):
        self.end(b"p")
        self.at += 7 * HOUR_S
        self.book.expire()
        self.assertTrue(self.book.is_empty)


class MergingTests(BookCase):
    def tell(self, book, to):
        digest = RegistryDigest(book).current()
        merge(to, decode(encode(describe(book, digest, True))))

    def test_ends_seen_by_two_daemons_make_one_verdict(self):
        other = self.new_book()
        self.end(b"p", b"a")
        self.tell(self.book, other)
        self.end(b"p", b"c", book=other)
        self.tell(other, self.book)
        self.assertEqual((self.held(b"p"), self.held(b"c")), (MINUTE_S, 0.0))

    def test_all_come_to_the_same_whatever_they_hear_first(self):
        for seed in range(40):
            rng = random.Random(seed)
            books = [self.new_book() for _ in range(4)]
            for _ in range(30):
                self.at += 0.1
                book, to = rng.sample(books, 2)
                names = rng.sample([b"p", b"a", b"b", b"c"], 2)
                rng.choice(
                    [
                        lambda book=book, names=names: self.end(*names, book=book),
                        lambda book=book, names=names: book.exonerate(names[0]),
                        lambda book=book, to=to: self.tell(book, to),
                    ]
                )()
            for _ in range(3):
                for book in books:
                    for to in books:
                        self.tell(book, to)
            self.assertEqual(len({RegistryDigest(book).current() for book in books}), 1)

    def test_what_is_no_message_is_refused(self):
        for payload in (b"", b"\x01", encode([b"", True, [[b"", [], [], -1]]])):
            with self.assertRaises(ProtocolError):
                decode(payload)


class RowTests(BookCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()

    def rows(self, book, name="d1"):
        member = unittest.mock.Mock()
        member.name = name
        members = unittest.mock.Mock(live=lambda: [member], local=member)
        return QuarantineRows(book, self.table, members)

    def test_what_can_not_be_read_is_passed_over(self):
        for key, value in {"zz": {}, "00": {}, "01": {"ends": 3}}.items():
            self.table.rows[f"quarantine/{key}"] = Row(f"quarantine/{key}", value, 1)
        self.end(b"p")
        self.end(b"p")
        self.assertTrue(asyncio.run(self.rows(self.book).keep()))
        other = self.new_book()
        self.assertTrue(asyncio.run(self.rows(other).read()))
        self.assertEqual(list(other.entries), [b"p"])

    def test_a_time_of_day_that_was_set_wrong_drops_no_row(self):
        self.end(b"p")
        self.end(b"p")
        asyncio.run(self.rows(self.book).keep())
        (key,) = self.table.rows
        self.table.rows[key].value["since"] -= 1e6
        other = self.new_book()
        rows = self.rows(other)
        asyncio.run(rows.read())
        rows.expire()
        asyncio.run(rows.keep())
        self.assertEqual(list(self.table.rows), [key])

    def test_a_row_goes_when_its_verdict_is_forgotten(self):
        self.end(b"p")
        self.end(b"p")
        rows = self.rows(self.book)
        asyncio.run(rows.keep())
        self.at += 25 * HOUR_S
        rows.expire()
        asyncio.run(rows.keep())
        self.assertEqual(self.table.rows, {})


class GateTests(BookCase):
    def setUp(self):
        super().setUp()
        self.is_on = True
        self.gate = QuarantineGate(
            settings(), self.book, DecisionLog(), lambda: self.is_on
        )
        self.deadly = call(path="/deadly")
        self.fingerprint = self.gate.fingerprints.of(self.deadly)

    def test_what_is_held_back_is_told_when_to_come_back(self):
        self.end(self.fingerprint)
        self.end(self.fingerprint)
        with self.assertRaises(CallError) as caught:
            self.gate.check(self.deadly)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertEqual(caught.exception.retry_after_ms, 60_000)
        self.gate.check(call(path="/other"))
        (listed,) = self.gate.list_entries()
        self.assertEqual(listed["fingerprint"], self.fingerprint.hex())
        self.assertTrue(self.gate.lift(listed["fingerprint"]))
        self.gate.check(self.deadly)

    def test_policy_can_turn_it_off(self):
        self.end(self.fingerprint)
        self.end(self.fingerprint)
        self.is_on = False
        self.gate.check(self.deadly)

    def test_suspects_pass_one_by_one(self):
        other = call(path="/other")
        both = self.fingerprint, self.gate.fingerprints.of(other)
        self.end(*both)
        self.end(*both)
        with self.gate.guard(self.deadly):
            with self.assertRaises(CallError) as caught, self.gate.guard(other):
                pass
            with self.gate.guard(call(path="/third")):
                pass
        self.assertIs(caught.exception.kind, ErrorKind.ISOLATED)
        with self.gate.guard(other):
            pass

    def test_nothing_is_hashed_while_nothing_is_suspected(self):
        self.gate.fingerprints = None
        self.gate.check(self.deadly)
        self.gate.record_answer(self.deadly)


class TermTests(unittest.TestCase):
    def test_one_that_was_lifted_holds_nothing_back(self):
        self.assertEqual(QuarantineEntry({b"e"}, {b"e"}, 5.0).expires_at, 5.0)


if __name__ == "__main__":
    unittest.main()
