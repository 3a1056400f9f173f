"""Which requests are quarantined and how long; registry, rows and gate."""

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


class RegistryCase(unittest.TestCase):
    def setUp(self):
        self.at = 1_000.0
        self.numbers = iter(range(1, 1_000_000))
        self.registry = self.new_registry()

    def new_registry(self):
        return QuarantineRegistry(lambda: self.at)

    def crash(self, *fingerprints, started_at=None, registry=None):
        """Record a crash of a target that was running some requests."""
        self.at += 0.5
        started_at = self.at - 0.2 if started_at is None else started_at
        name = next(self.numbers).to_bytes(8, "big")
        started = dict.fromkeys(fingerprints, started_at)
        (registry or self.registry).add_crash(name, started)
        return name

    def ttl(self, fingerprint, registry=None):
        return round((registry or self.registry).remaining_ttl(fingerprint), 1)


class EvaluationTests(RegistryCase):
    def test_the_only_common_suspect_of_two_crashes_is_quarantined(self):
        self.crash(b"p", b"a", b"b")
        self.crash(b"p", b"c")
        self.assertEqual(self.ttl(b"p"), MINUTE_S)
        self.assertEqual([self.ttl(name) for name in (b"a", b"b", b"c")], [0.0] * 3)

    def test_a_third_crash_decides_between_two_suspects(self):
        self.crash(b"p", b"a")
        self.crash(b"p", b"a")
        self.assertEqual((self.ttl(b"p"), self.ttl(b"a")), (0.0, 0.0))
        self.assertTrue(
            self.registry.is_suspect(b"p") and self.registry.is_suspect(b"a")
        )
        self.crash(b"p")
        self.assertEqual((self.ttl(b"p"), self.ttl(b"a")), (10 * MINUTE_S, 0.0))

    def test_an_answer_leaves_the_other_as_the_sole_suspect(self):
        self.crash(b"p", b"a")
        self.crash(b"p", b"a")
        self.registry.exonerate(b"a")
        self.assertEqual((self.ttl(b"p"), self.ttl(b"a")), (MINUTE_S, 0.0))

    def test_simultaneous_crashes_are_no_evidence_against_busy_paths(self):
        """Callers of the most used path were refused after a power loss.

        Three targets crash together, and each was running requests to that
        path. It was quarantined for minutes, although it caused no crash.
        """
        for _ in range(3):
            self.crash(b"busy", started_at=1_000.0)
        self.assertEqual(self.ttl(b"busy"), 0.0)
        self.assertFalse(self.registry.is_suspect(b"busy"))

    def test_each_further_crash_extends_the_ttl(self):
        ttls = []
        for _ in range(7):
            self.crash(b"p")
            ttls.append(self.ttl(b"p") / MINUTE_S)
            self.at += self.ttl(b"p")
        self.assertEqual(ttls, [0, 1, 10, 60, 360, 1440, 1440])

    def test_an_answer_ends_the_quarantine(self):
        for _ in range(3):
            self.crash(b"p")
        self.assertTrue(self.registry.exonerate(b"p"))
        self.assertEqual(self.ttl(b"p"), 0.0)
        self.crash(b"p")
        self.assertEqual(self.ttl(b"p"), 0.0)
        self.assertFalse(self.registry.exonerate(b"unknown"))


class LimitTests(RegistryCase):
    def test_a_flood_neither_evicts_entries_nor_fills_the_registry_for_good(self):
        """Each request of a flood crashes targets, and all are different."""
        for _ in range(4):
            self.at += self.ttl(b"first")
            self.crash(b"first")
        for number in range(MAX_ENTRIES + 100):
            fingerprint = b"f%d" % number
            self.crash(fingerprint)
            self.crash(fingerprint)
        self.assertEqual(len(self.registry.crashes), MAX_CRASHES)
        self.assertEqual(len(self.registry.entries), MAX_ENTRIES)
        self.assertGreater(self.ttl(b"first"), 0.0)
        self.at += 48 * HOUR_S
        self.assertEqual(len(self.registry.expire()), MAX_ENTRIES)
        self.assertTrue(self.registry.is_empty)

    def test_old_crashes_expire(self):
        self.crash(b"p")
        self.at += 7 * HOUR_S
        self.registry.expire()
        self.assertTrue(self.registry.is_empty)


class MergingTests(RegistryCase):
    def send(self, registry, to):
        digest = RegistryDigest(registry).current()
        merge(to, decode(encode(describe(registry, digest, True))))

    def test_crashes_at_two_daemons_make_one_entry(self):
        other = self.new_registry()
        self.crash(b"p", b"a")
        self.send(self.registry, other)
        self.crash(b"p", b"c", registry=other)
        self.send(other, self.registry)
        self.assertEqual((self.ttl(b"p"), self.ttl(b"c")), (MINUTE_S, 0.0))

    def test_registries_converge_in_any_order(self):
        for seed in range(40):
            rng = random.Random(seed)
            registries = [self.new_registry() for _ in range(4)]
            for _ in range(30):
                self.at += 0.1
                registry, to = rng.sample(registries, 2)
                names = rng.sample([b"p", b"a", b"b", b"c"], 2)
                rng.choice(
                    [
                        lambda registry=registry, names=names: self.crash(
                            *names, registry=registry
                        ),
                        lambda registry=registry, names=names: registry.exonerate(
                            names[0]
                        ),
                        lambda registry=registry, to=to: self.send(registry, to),
                    ]
                )()
            for _ in range(3):
                for registry in registries:
                    for to in registries:
                        self.send(registry, to)
            self.assertEqual(
                len({RegistryDigest(registry).current() for registry in registries}), 1
            )

    def test_malformed_messages_are_rejected(self):
        for payload in (b"", b"\x01", encode([b"", True, [[b"", [], [], -1]]])):
            with self.assertRaises(ProtocolError):
                decode(payload)


class RowTests(RegistryCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()

    def rows(self, registry, name="d1"):
        member = unittest.mock.Mock()
        member.name = name
        members = unittest.mock.Mock(live=lambda: [member], local=member)
        return QuarantineRows(registry, self.table, members)

    def test_malformed_rows_are_skipped(self):
        for key, value in {"zz": {}, "00": {}, "01": {"ends": 3}}.items():
            self.table.rows[f"quarantine/{key}"] = Row(f"quarantine/{key}", value, 1)
        self.crash(b"p")
        self.crash(b"p")
        self.assertTrue(asyncio.run(self.rows(self.registry).write_due()))
        other = self.new_registry()
        self.assertTrue(asyncio.run(self.rows(other).read()))
        self.assertEqual(list(other.entries), [b"p"])

    def test_a_wrong_wall_clock_deletes_no_row(self):
        self.crash(b"p")
        self.crash(b"p")
        asyncio.run(self.rows(self.registry).write_due())
        (key,) = self.table.rows
        self.table.rows[key].value["since"] -= 1e6
        other = self.new_registry()
        rows = self.rows(other)
        asyncio.run(rows.read())
        rows.expire()
        asyncio.run(rows.write_due())
        self.assertEqual(list(self.table.rows), [key])

    def test_a_row_is_deleted_when_its_entry_expires(self):
        self.crash(b"p")
        self.crash(b"p")
        rows = self.rows(self.registry)
        asyncio.run(rows.write_due())
        self.at += 25 * HOUR_S
        rows.expire()
        asyncio.run(rows.write_due())
        self.assertEqual(self.table.rows, {})


class GateTests(RegistryCase):
    def setUp(self):
        super().setUp()
        self.is_on = True
        self.gate = QuarantineGate(
            settings(), self.registry, DecisionLog(), lambda: self.is_on
        )
        self.crashing = call(path="/deadly")
        self.fingerprint = self.gate.fingerprints.of(self.crashing)

    def test_a_quarantined_request_is_refused_with_retry_after(self):
        self.crash(self.fingerprint)
        self.crash(self.fingerprint)
        with self.assertRaises(CallError) as caught:
            self.gate.check(self.crashing)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertEqual(caught.exception.retry_after_ms, 60_000)
        self.gate.check(call(path="/other"))
        (entry,) = self.gate.list_entries()
        self.assertEqual(entry["fingerprint"], self.fingerprint.hex())
        self.assertTrue(self.gate.lift(entry["fingerprint"]))
        self.gate.check(self.crashing)

    def test_policy_can_disable_quarantine(self):
        self.crash(self.fingerprint)
        self.crash(self.fingerprint)
        self.is_on = False
        self.gate.check(self.crashing)

    def test_suspects_run_one_at_a_time(self):
        other = call(path="/other")
        both = self.fingerprint, self.gate.fingerprints.of(other)
        self.crash(*both)
        self.crash(*both)
        self.assertTrue(self.gate.start_run(self.crashing))
        with self.assertRaises(CallError) as caught:
            self.gate.start_run(other)
        self.assertFalse(self.gate.start_run(call(path="/third")))
        self.assertIs(caught.exception.kind, ErrorKind.ISOLATED)
        self.gate.end_run()
        self.assertTrue(self.gate.start_run(other))

    def test_nothing_is_hashed_while_the_registry_is_empty(self):
        self.gate.fingerprints = None
        self.gate.check(self.crashing)
        self.assertFalse(self.gate.start_run(self.crashing))
        self.gate.record_answer(self.crashing)


class EntryTests(unittest.TestCase):
    def test_an_exonerated_entry_expires_at_once(self):
        self.assertEqual(QuarantineEntry({b"e"}, {b"e"}, 5.0).expires_at, 5.0)


if __name__ == "__main__":
    unittest.main()
