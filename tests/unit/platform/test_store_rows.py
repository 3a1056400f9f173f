"""Rows of the store that somebody else wrote, or that were spoiled."""

import base64
import json
import unittest

from hypothesis import given, strategies as st

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
    def test_one_bad_row_hides_no_other(self):
        """No daemon found any other.

        Somebody wrote one row of another form into the table of seeds. Cause:
        the whole answer was refused for it, at each try again.
        """
        spoiled = (
            {},
            5,
            {"key": "seeds/b"},
            GOOD | {"value": "not base64!"},
            GOOD | {"value": 5},
            GOOD | {"ver": "new"},
            GOOD | {"key": 5},
        )
        page, unreadable = page_of(*spoiled, GOOD)
        self.assertEqual(page.rows, [StoredRow("seeds/a", b"{}", 3)])
        self.assertEqual(unreadable.count, len(spoiled))

    def test_a_row_is_reported_once(self):
        unreadable = UnreadableRows()
        for _ in range(3):
            unreadable.record("seeds/a", "spoiled")
        self.assertEqual((unreadable.count, unreadable.logged), (3, {"seeds/a"}))

    def test_an_own_row_that_is_no_object_counts_as_empty(self):
        """The seeds of a failure domain could never be written again.

        Its row was spoiled; whoever keeps it reads it first, and failed.
        """

        class Client:
            unreadable = UnreadableRows()
            era = StoreEra()

        table = StoreTable(Client())
        for value in (b"", b"\xff", b"[]", b"5", b"[" * 100_000):
            row = table.own_row(StoredRow("seeds/a", value, 4))
            self.assertEqual((row.value, row.revision), ({}, 4))

    def test_an_answer_of_another_form_is_refused(self):
        for content in (b"", b"[]", b"{}", b'{"rows": 5, "ver": 1}', b"\xff"):
            with self.subTest(content), self.assertRaises(PlatformError):
                decode_page(content, "http://store", UnreadableRows())

    @given(st.lists(anything, max_size=4))
    def test_whatever_stands_beside_a_row_it_is_read(self, others):
        page, _ = page_of(*others, GOOD)
        self.assertEqual(page.rows[-1], StoredRow("seeds/a", b"{}", 3))

    @given(anything)
    def test_seeds_of_any_form_are_parsed(self, value):
        for seed in parse_seeds(value):
            self.assertIsInstance(seed.host, str)

    @given(anything)
    def test_a_configuration_of_any_form_is_taken_or_refused(self, value):
        try:
            OperatorConfiguration.model_validate(value)
        except ValueError:
            return
        self.assertIsInstance(value, dict)
