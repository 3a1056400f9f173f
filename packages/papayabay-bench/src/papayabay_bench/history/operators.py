"""Operators that race each other with patches against the same version."""

import asyncio
import itertools

from papayabay_bench.history.records import (
    PatchOutcome,
    PatchStored,
    PatchSubmitted,
)
from papayabay_bench.history.system import BACK_SERVICE, FRONT_SERVICE
from papayabay_core.configuration import CommitOutcome, ConfigurationLog, new_patch
from papayabay_core.exceptions import PlatformError
from papayabay_core.platform import HttpObjectStore, HttpTableService
from papayabay_core.utils.clock import now

NOT_WRITTEN = "not-written"


class Operators:
    """Commits patches and records what became of them.

    Parameters
    ----------
    settings : PlatformSettings
    recorder : Recorder
    """

    def __init__(self, settings, recorder):
        self.recorder = recorder
        self.table = HttpTableService(settings)
        self.objects = HttpObjectStore(settings)
        self.log = ConfigurationLog(self.table, self.objects)
        self.numbers = itertools.count(1)
        self.unknown = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *failure):
        await self.table.close()
        await self.objects.close()

    async def race(self, count):
        """Have so many operators write against what is newest now."""
        try:
            base = await self.log.head()
        except PlatformError:
            return
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self.submit(base))

    async def submit(self, base):
        """Commit one patch; it moves numbers that change no decision."""
        number = next(self.numbers)
        service = (FRONT_SERVICE, BACK_SERVICE)[number % 2]
        subset = 12 + (base + number) % 100
        changes = {"services": {service: {"routing": {"subset": subset}}}}
        patch = new_patch(base, changes, f"operator-{number}")
        self.recorder.add(PatchSubmitted(patch.patch_id, base, patch.author, now()))
        try:
            result = await self.log.commit(patch)
        except PlatformError:
            self.told(patch.patch_id, NOT_WRITTEN, 0)
            return
        if result.outcome is CommitOutcome.UNKNOWN:
            self.unknown.append(patch)
        self.told(patch.patch_id, result.outcome.value, result.version)

    def told(self, patch_id, outcome, version):
        """Record what an operator was told."""
        self.recorder.add(PatchOutcome(patch_id, outcome, version, now()))

    async def settle(self):
        """Settle the patches whose outcome stayed unknown."""
        for patch in self.unknown:
            result = await self.log.settle(patch.patch_id, patch.base)
            self.told(patch.patch_id, result.outcome.value, result.version)

    async def record_stored(self):
        """Record the patches that are stored; return the newest version."""
        patches = await self.log.patches_after(0)
        for patch in patches:
            self.recorder.add(
                PatchStored(
                    patch.version, patch.patch_id, patch.base, patch.patch, now()
                )
            )
        return len(patches)
