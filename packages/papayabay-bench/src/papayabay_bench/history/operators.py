"""Simulates operators who commit policy patches concurrently."""

import asyncio
import itertools

from papayabay_bench.history.records import (
    PatchOutcome,
    PatchStored,
    PatchSubmitted,
)
from papayabay_bench.history.system import BACK, FRONT
from papayabay_core.configuration import CommitOutcome, ConfigurationLog, new_patch
from papayabay_core.exceptions import PlatformError
from papayabay_core.platform import HttpObjectStore, HttpTableService
from papayabay_core.utils.clock import now

NOT_WRITTEN = "not-written"


class Operators:
    """Commits policy patches and records their outcomes.

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
        self.patch_numbers = itertools.count(1)
        self.unsettled = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.table.close()
        await self.objects.close()

    async def race(self, count):
        """Commit `count` patches concurrently, all on the newest version.

        At most one of them can be accepted. Does nothing when the newest
        version can't be read.
        """
        try:
            base = await self.log.head()
        except PlatformError:
            return
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self.submit(base))

    async def submit(self, base):
        """Commit one patch based on a version and record its outcome.

        It sets a service's routing subset to 12 or more, which with so few
        upstreams changes no routing decision.
        """
        number = next(self.patch_numbers)
        service = (FRONT, BACK)[number % 2]
        subset = 12 + (base + number) % 100
        changes = {"services": {service: {"routing": {"subset": subset}}}}
        patch = new_patch(base, changes, f"operator-{number}")
        self.recorder.add(PatchSubmitted(patch.patch_id, base, patch.author, now()))
        try:
            result = await self.log.commit(patch)
        except PlatformError:
            self.record_outcome(patch.patch_id, NOT_WRITTEN, 0)
            return
        if result.outcome is CommitOutcome.UNKNOWN:
            self.unsettled.append(patch)
        self.record_outcome(patch.patch_id, result.outcome.value, result.version)

    def record_outcome(self, patch_id, outcome, version):
        """Record the outcome of a patch as the operator saw it."""
        self.recorder.add(PatchOutcome(patch_id, outcome, version, now()))

    async def settle(self):
        """Determine and record the outcomes of patches left unknown."""
        for patch in self.unsettled:
            result = await self.log.settle(patch.patch_id, patch.base)
            self.record_outcome(patch.patch_id, result.outcome.value, result.version)

    async def record_stored(self):
        """Record all stored patches and return their number.

        This is the newest version when no version is missing.
        """
        patches = await self.log.patches_after(0)
        for patch in patches:
            self.recorder.add(
                PatchStored(
                    patch.version, patch.patch_id, patch.base, patch.patch, now()
                )
            )
        return len(patches)
