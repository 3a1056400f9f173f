"""Tests of rows that another program wrote or that are corrupted."""

import base64
import json
import unittest

from hypothesis import HealthCheck, given, settings, strategies as st

from papayabay_core.exceptions import PlatformError
from papayabay_core.platform import StoreEra
from papayabay_daemon._internal.membership.seeds import parse_seeds
from papayabay_platform.configuration import OperatorConfiguration
from papayabay_platform.store import (
    StoredRow,
    StoreTable,
    UnreadableRows,
    decode_page,
)

GOOD = {"key": "seeds/a", "value": base64.b64encode(b"{}").decode(), "ver": 3}
anything = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["key", "value", "ver", "tombstone", "seeds", "x"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


def page_of(*rows):
    unreadable = UnreadableRows()
    content = json.dumps({"rows": rows, "ver": 7}).encode()
    return decode_page(content, "http://store", unreadable), unreadable


class RowsTest(unittest.TestCase):
    def test_malformed_row_does_not_hide_others(self):
        """Guards against daemons that can't discover each other.

        Another program writes a malformed row into the table of seeds. If the
        whole answer is refused for it, no daemon reads any seed.
        """
        malformed = (
            {},
            5,
            {"key": "seeds/b"},
            GOOD | {"value": "not base64!"},
            GOOD | {"value": 5},
            GOOD | {"ver": "new"},
            GOOD | {"key": 5},
        )
        page, unreadable = page_of(*malformed, GOOD)
        self.assertEqual(page.rows, [StoredRow("seeds/a", b"{}", 3)])
        self.assertEqual(unreadable.count, len(malformed))

    def test_row_is_logged_once(self):
        unreadable = UnreadableRows()
        for _ in range(3):
            unreadable.record("seeds/a", "malformed")
        self.assertEqual((unreadable.count, unreadable.logged), (3, {"seeds/a"}))

    def test_own_row_without_json_object_is_read_as_empty(self):
        """Guards against seeds that can never be written again.

        The daemon responsible for the seeds of a failure domain reads their
        row before it writes it; if the row is corrupted, the read must not
        fail.
        """

        class Client:
            unreadable = UnreadableRows()
            era = StoreEra()

        table = StoreTable(Client())
        for value in (b"", b"\xff", b"[]", b"5", b"[" * 100_000):
            row = table.own_row(StoredRow("seeds/a", value, 4))
            self.assertEqual((row.value, row.revision), ({}, 4))

    def test_malformed_answers_are_refused(self):
        for content in (b"", b"[]", b"{}", b'{"rows": 5, "ver": 1}', b"\xff"):
            with self.subTest(content), self.assertRaises(PlatformError):
                decode_page(content, "http://store", UnreadableRows())

    @settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(anything, max_size=4))
    def test_row_is_read_whatever_the_other_rows_are(self, others):
        page, _ = page_of(*others, GOOD)
        self.assertEqual(page.rows[-1], StoredRow("seeds/a", b"{}", 3))

    @settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(anything)
    def test_parsing_any_value_as_seeds_never_fails(self, value):
        for seed in parse_seeds(value):
            self.assertIsInstance(seed.host, str)

    @settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(anything)
    def test_any_value_is_accepted_or_refused_as_configuration(self, value):
        try:
            OperatorConfiguration.model_validate(value)
        except ValueError:
            return
        self.assertIsInstance(value, dict)
