"""Tests of models: all faults are reported, no value is converted."""

import unittest
from typing import Annotated, Literal

from msgspec import Meta, field

from papayabay_core.models import InvalidValues, Model, Strict, explain_faults


def check_even(number):
    """Refuse an odd number."""
    if number % 2:
        raise ValueError("is odd")


class Part(Strict, frozen=True, kw_only=True):
    checks = {"even": check_even}

    even: Annotated[int, Meta(ge=0, lt=100)]
    word: Annotated[str, Meta(pattern=r"^[a-z]+\Z", max_length=3)] | None = None


class Whole(Model, frozen=True, kw_only=True):
    parts: Annotated[list[Part], Meta(min_length=1)] = field(name="theParts")
    by_name: dict[Annotated[str, Meta(max_length=2)], float] = {}
    mode: Literal["slow", "fast"] = "slow"
    on: bool = False


class ModelTests(unittest.TestCase):
    def faults(self, values, model=Whole):
        with self.assertRaises(InvalidValues) as caught:
            model.model_validate(values)
        return [str(fault) for fault in caught.exception.faults]

    def test_valid_values(self):
        whole = Whole.model_validate({"theParts": [{"even": 4}], "by_name": {"a": 1}})
        self.assertEqual(whole.parts, [Part(even=4)])
        self.assertEqual(whole.by_name, {"a": 1.0})
        self.assertEqual(Whole.model_validate_json(b'{"theParts":[{"even":4}]}').on, 0)

    def test_every_fault_is_reported_with_its_path(self):
        values = {
            "theParts": [{"even": 3}, {"even": "4", "word": "four", "x": 1}, 7],
            "by_name": {"abc": 1, "d": "e"},
            "mode": "SLOW",
            "on": 1,
        }
        self.assertEqual(
            self.faults(values),
            [
                "theParts.0.even: Value error, is odd",
                "theParts.1.even: Input should be a valid integer",
                "theParts.1.word: String should have at most 3 characters",
                "theParts.1.x: Extra inputs are not permitted",
                "theParts.2: Input should be a valid dictionary",
                "by_name.abc: String should have at most 2 characters",
                "by_name.d: Input should be a valid number",
                "mode: Input should be one of 'slow', 'fast'",
                "on: Input should be a valid boolean",
            ],
        )

    def test_missing_and_short_values(self):
        self.assertEqual(self.faults({}), ["theParts: Field required"])
        expected = "theParts: List should have at least 1 item"
        self.assertEqual(self.faults({"theParts": []}), [expected])
        self.assertEqual(
            self.faults([]), ["(whole file): Input should be a valid dictionary"]
        )

    def test_numbers_are_not_converted_from_other_types(self):
        """Guards against a message whose numbers are strings.

        A library that converts strings to numbers accepted a heartbeat that
        another program had sent, as if it came from the upstream.
        """
        for value in ("4", 4.5, True, None, 10**30):
            with self.subTest(value=value):
                self.assertTrue(self.faults({"even": value}, Part))

    def test_pattern_matches_to_the_end_of_the_string(self):
        expected = r"word: String should match pattern '^[a-z]+\Z'"
        self.assertEqual(self.faults({"even": 2, "word": "a\n"}, Part), [expected])

    def test_malformed_json_is_refused(self):
        for content in (b"", b"{", b"\xff", b"[" * 100_000):
            with self.subTest(content=content[:4]):
                self.assertRaises(InvalidValues, Part.model_validate_json, content)

    def test_explanation_has_one_line_per_fault(self):
        with self.assertRaises(InvalidValues) as caught:
            Part.model_validate({"word": "A"})
        lines = explain_faults(caught.exception, "message").splitlines()
        self.assertEqual(lines[0], "message: even: Field required")
        self.assertEqual(len(lines), 2)

    def test_copy_does_not_change_the_original(self):
        part = Part(even=2)
        self.assertEqual(part.model_copy({"word": "ab"}), Part(even=2, word="ab"))
        self.assertIsNone(part.word)
        self.assertEqual(part.model_dump(exclude={"word"}), {"even": 2})
