"""Tests of merge patches, versions and their encoding for peers."""

import dataclasses
import json
import unittest

from hypothesis import given, settings, strategies as st

from papayabay_core.configuration import (
    Configuration,
    changed_keys,
    decode_configuration,
    decode_patches,
    diff_documents,
    encode_configuration,
    encode_patches,
    merge_patch,
    new_patch,
)
from papayabay_core.configuration.patch import MAX_PATCH_BYTES
from papayabay_core.configuration.records import CorruptRecord
from papayabay_core.configuration.transfer import MAX_TRANSFER_BYTES
from papayabay_core.exceptions import PolicyError, ProtocolError, StaleVersion

LEAVES = st.one_of(st.booleans(), st.integers(0, 2), st.text("ab", max_size=1))
VALUES = st.recursive(
    LEAVES | st.lists(LEAVES, max_size=2),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)
DOCUMENTS = st.dictionaries(st.sampled_from("abc"), VALUES, max_size=3)


class MergeTest(unittest.TestCase):
    def test_examples_of_rfc_7386(self):
        cases = [
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ]
        for target, patch, merged in cases:
            self.assertEqual(merge_patch(target, patch), merged)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(DOCUMENTS, DOCUMENTS)
    def test_diff_turns_the_old_document_into_the_new(self, old, new):
        merged = merge_patch(old, diff_documents(old, new))
        self.assertEqual(
            json.dumps(merged, sort_keys=True), json.dumps(new, sort_keys=True)
        )

    def test_changed_keys_are_dotted(self):
        patch = {"services": {"a": None, "b": {"deadline_ms": 1}}}
        self.assertEqual(changed_keys(patch), ["services.a", "services.b.deadline_ms"])


class PatchTest(unittest.TestCase):
    def test_invalid_patches_are_refused(self):
        deep = {}
        for _ in range(40):
            deep = {"a": deep}
        large = {"a": "x" * MAX_PATCH_BYTES}
        for changes in (deep, large, {"a": float("nan")}, {"a": {1, 2}}):
            with self.assertRaises(PolicyError):
                new_patch(0, changes)
        with self.assertRaises(PolicyError):
            new_patch(-1, {})

    def test_only_the_next_version_is_applied(self):
        first, second = new_patch(0, {"format": 1}), new_patch(1, {})
        one = Configuration().apply(first)
        self.assertEqual((one.version, one.policy().version), (1, 1))
        with self.assertRaises(StaleVersion):
            one.apply(first)
        with self.assertRaises(StaleVersion):
            Configuration().apply(second)

    def test_encoded_patches_are_limited_in_size(self):
        patches = [new_patch(n, {"a": "x" * 200_000}) for n in range(20)]
        received = decode_patches(encode_patches(patches))
        self.assertEqual(received, patches[: len(received)])
        self.assertEqual(len(received), MAX_TRANSFER_BYTES // 200_300)

    def test_malformed_encodings_are_refused(self):
        gap = encode_patches([new_patch(0, {}), new_patch(2, {})])
        newer = json.dumps([new_patch(0, {}).values() | {"format": 2}]).encode()
        bad_step = dataclasses.replace(new_patch(3, {}), base=1)
        cases = [
            gap,
            newer,
            encode_patches([bad_step]),
            b"{}",
            b"[1]",
            b"\xff",
            b" " * (MAX_TRANSFER_BYTES + 1),
        ]
        for content in cases:
            with self.assertRaises(ProtocolError):
                decode_patches(content)

    def test_altered_configuration_is_detected(self):
        configuration = Configuration(3, {"services": {"a": {}}})
        content = encode_configuration(configuration)
        decoded = decode_configuration(content)
        self.assertEqual(decoded.values, configuration.values)
        for bad in (content[:-9], content.replace(b'"a"', b'"b"'), b"null"):
            with self.assertRaises(CorruptRecord):
                decode_configuration(bad)
