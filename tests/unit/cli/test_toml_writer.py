"""Values written as TOML are read back unchanged."""

import tomllib
import unittest

from hypothesis import given, settings, strategies

from papayabay_cli.toml_writer import to_toml

TEXT = strategies.text(strategies.characters(exclude_categories=["Cs"]))
SCALARS = (
    TEXT
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=12,
)


class RoundTripTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(strategies.dictionaries(TEXT, VALUES, max_size=4))
    def test_written_values_are_read_back_unchanged(self, values):
        self.assertEqual(tomllib.loads(to_toml(values)), values)

    def test_keys_come_before_tables(self):
        values = {"services": {"a": {"calls": {}, "deadline_ms": 5}}, "format": 1}
        expected = "format = 1\n\n[services.a]\ndeadline_ms = 5\n\n[services.a.calls]\n"
        self.assertEqual(to_toml(values), expected)
