"""Finds the patch that last set a key, over several pages of patches."""

import unittest
from unittest import mock

from papayabay_cli import provenance
from papayabay_core.configuration import new_patch

HISTORY = (
    {"services": {"a": {"deadline_ms": 1, "retries": {"credits": 1}}}},
    {"services": {"a": {"retries": None}}},
    {"services": {"a": {"retries": {"credits": 5}}}},
    {"services": {"b": {"deadline_ms": 9}}},
    {"services": {"a": {"deadline_ms": 2}}},
    {"decisions": {"deadlines": False}},
)
DEADLINE = "services.a.deadline_ms"
CREDITS = "services.a.retries.credits"


class FakeLog:
    """An in-memory log of patches that counts how many are read."""

    def __init__(self):
        self.patches = [
            new_patch(base, changes, author=f"author-{base + 1}")
            for base, changes in enumerate(HISTORY)
        ]
        self.read = 0

    async def patches_after(self, version, limit):
        found = self.patches[version : version + limit]
        self.read += len(found)
        return found


class OriginTest(unittest.IsolatedAsyncioTestCase):
    async def versions(self, version, *keys):
        self.log = FakeLog()
        origins = await provenance.find_origins(self.log, version, keys)
        return [origins[key].version for key in keys]

    async def test_last_patch_that_set_a_key_is_found_across_pages(self):
        with mock.patch.object(provenance, "PAGE_SIZE", 2):
            self.assertEqual(await self.versions(6, DEADLINE, CREDITS), [5, 3])
            self.assertEqual(self.log.read, 4)
            self.assertEqual(await self.versions(4, DEADLINE, CREDITS), [1, 3])

    async def test_removing_a_table_counts_for_all_keys_in_it(self):
        self.assertEqual(await self.versions(2, CREDITS, "services.a"), [2, 2])

    async def test_search_stops_at_the_maximum_number_of_patches(self):
        with (
            mock.patch.object(provenance, "PAGE_SIZE", 2),
            mock.patch.object(provenance, "MAX_PATCHES", 3),
        ):
            self.assertEqual(await self.versions(6, DEADLINE, CREDITS), [5, 0])
            origins = await provenance.find_origins(FakeLog(), 6, [CREDITS])
        self.assertEqual(origins[CREDITS].text, "a patch before version 4")
