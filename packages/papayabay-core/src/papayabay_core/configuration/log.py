"""The log of configuration patches in the table service."""

import asyncio
from dataclasses import replace

import logbook

from papayabay_core.configuration.patch import (
    PATCH_PREFIX,
    check_patch,
    patch_key,
    patch_of_values,
)
from papayabay_core.configuration.records import (
    FORMAT,
    CorruptRecord,
    HeadRecord,
    UpgradeNeeded,
    read_record,
)
from papayabay_core.configuration.results import CommitOutcome, CommitResult
from papayabay_core.configuration.snapshot import SNAPSHOT_EVERY, SnapshotStore
from papayabay_core.configuration.state import Configuration
from papayabay_core.exceptions import (
    ConditionFailed,
    PlatformAmbiguous,
    PlatformError,
)
from papayabay_core.platform.protocols import Put

HEAD_KEY = "config/head"
PAGE_ROWS = 100
MAX_PATCHES = 1_000
"""Most patches that `patches_after` returns by default."""
MAX_CHANGES = 100
"""Most patches that the result of a stale commit lists."""
SETTLE_PAUSES = (0.05, 0.1, 0.2, 0.4)
"""Seconds between the attempts to determine the outcome of a commit."""

log = logbook.Logger("papayabay.configuration")


class ConfigurationLog:
    """Reads versions of the configuration and commits new ones.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    pauses : sequence of float
        Seconds between the attempts to determine the outcome of a commit;
        there is one attempt more than pauses.
    """

    def __init__(self, table, objects, pauses=SETTLE_PAUSES):
        self.table = table
        self.snapshots = SnapshotStore(objects)
        self.pauses = pauses

    async def head(self):
        """Return the newest version; 0 before any patch.

        Raises
        ------
        PlatformError
            Also as `UpgradeNeeded` and `CorruptRecord`.
        """
        version, _ = await self.read_head()
        return version

    async def read_head(self):
        """Return version and row revision of the head; zeros without one."""
        row = await self.table.get(HEAD_KEY)
        if row is None:
            return 0, 0
        record = read_record(HeadRecord, row.value, HEAD_KEY)
        return record.version, row.revision

    async def patches_after(self, version, limit=MAX_PATCHES):
        """Return the patches that follow a version, oldest first.

        Parameters
        ----------
        version : int
        limit : int
            Most patches to return; call again with the last version for more.

        Raises
        ------
        PlatformError
        """
        patches = []
        while len(patches) < limit:
            size = min(PAGE_ROWS, limit - len(patches))
            page = await self.read_page(version + len(patches), size)
            patches += page
            if len(page) < size:
                break
        return patches

    async def read_page(self, version, size):
        """Return up to `size` patches that follow a version."""
        rows = await self.table.scan(PATCH_PREFIX, patch_key(version), size)
        patches = [patch_of_values(row.value, row.key) for row in rows]
        for expected, (row, patch) in enumerate(
            zip(rows, patches, strict=True), version + 1
        ):
            # Without this check, a missing or misplaced row would be skipped
            # silently, and this configuration would differ from all others.
            if patch.version != expected or row.key != patch_key(expected):
                raise CorruptRecord(
                    f"{row.key}: version {expected} was expected, got {patch.version}"
                )
        return patches

    async def load(self, upto=None):
        """Return the newest configuration, or a given version of it.

        Reads the newest valid snapshot, then the patches after it. If the
        table service fails, the snapshot is returned, not confirmed.

        Parameters
        ----------
        upto : int or None
            Last version to apply. The result is older if the table has fewer
            versions, and is never marked as confirmed.

        Raises
        ------
        PlatformError
            When neither table nor snapshot can be read, or a record is
            invalid.
        """
        snapshot = await self.snapshots.newest(upto)
        start = snapshot or Configuration()
        try:
            return await self.read_tail(start, upto)
        except (UpgradeNeeded, CorruptRecord):
            raise
        except PlatformError:
            if snapshot is None or upto is not None:
                raise
            return snapshot

    async def read_tail(self, configuration, upto):
        """Return a configuration with the patches after it applied."""
        while size := page_size(configuration.version, upto):
            page = await self.read_page(configuration.version, size)
            for patch in page:
                configuration = configuration.apply(patch)
            if len(page) < size:
                break
        return replace(configuration, confirmed=upto is None)

    async def commit(self, patch):
        """Store a patch if its base is still the newest version.

        Committing the same patch again is safe: it is stored only once.

        Returns
        -------
        CommitResult

        Raises
        ------
        PolicyError
            When the patch or the resulting document is not valid; nothing
            was written.
        PlatformError
            When the platform failed and nothing was written.
        """
        check_patch(patch)
        maybe_written = False
        for pause in (*self.pauses, None):
            try:
                result = await self.attempt(patch)
            except PlatformAmbiguous:
                maybe_written = True
                result = await self.read_outcome(patch.patch_id, patch.base)
            except PlatformError:
                # This attempt wrote nothing, but an earlier one of this commit
                # may have been applied although its answer was lost.
                if not maybe_written:
                    raise
                result = None
            if result is not None:
                return result
            if pause is not None:
                await asyncio.sleep(pause)
        return CommitResult(CommitOutcome.UNKNOWN, patch.patch_id)

    async def attempt(self, patch):
        """Try a commit once; return None while its outcome is unknown."""
        current, revision = await self.read_head()
        if current != patch.base:
            return await self.explain_mismatch(patch, current)
        base = await self.load(upto=patch.base)
        if base.version != patch.base:
            raise PlatformError(
                f"the table's patches end at version {base.version}, but its head is "
                f"version {current}: nothing was written"
            )
        configuration = base.apply(patch)
        configuration.check()
        try:
            await self.table.write(commit_puts(patch, revision))
        except ConditionFailed:
            return await self.read_outcome(patch.patch_id, patch.base)
        await self.save_snapshot(configuration)
        return accepted_result(patch.patch_id, patch.version)

    async def explain_mismatch(self, patch, current):
        """Return the result of a patch whose base is not the head."""
        if current < patch.base:
            # Either the base never existed, or this read was stale. In the
            # second case the patch may be valid, so it is not called stale.
            raise PlatformError(
                f"the patch is based on version {patch.base}, but the newest version "
                f"in the table is {current}: nothing was written"
            )
        return await self.read_outcome(patch.patch_id, patch.base)

    async def settle(self, patch_id, base):
        """Determine the outcome of a commit that ended as unknown.

        Reads only. The row of a version is inserted once and never removed,
        so an existing row determines the outcome. A missing row leaves it
        unknown, since a delayed write may still be applied.

        Parameters
        ----------
        patch_id : str
        base : int
            The version that the patch was written against.

        Returns
        -------
        CommitResult
        """
        for pause in (*self.pauses, None):
            result = await self.read_outcome(patch_id, base)
            if result is not None:
                return result
            if pause is not None:
                await asyncio.sleep(pause)
        return CommitResult(CommitOutcome.UNKNOWN, patch_id)

    async def read_outcome(self, patch_id, base):
        """Return the result of a commit from the row of its version.

        None if the row is missing or can't be read.
        """
        key = patch_key(base + 1)
        try:
            row = await self.table.get(key)
        except PlatformError:
            return None
        if row is None:
            return None
        if row.value.get("patch_id") == patch_id:
            return accepted_result(patch_id, base + 1)
        return await self.stale_result(patch_id, base)

    async def stale_result(self, patch_id, base):
        """Return the result of a patch whose version another patch has."""
        changes, current = [], base + 1
        try:
            changes = await self.patches_after(base, MAX_CHANGES)
            current = max(current, base + len(changes), await self.head())
        except PlatformError as error:
            log.info("patches after version {} could not be read: {}", base, error)
        return CommitResult(CommitOutcome.STALE, patch_id, current, changes)

    async def save_snapshot(self, configuration):
        """Store a snapshot if the last one is old; only log a failure."""
        if configuration.version - configuration.snapshot_version < SNAPSHOT_EVERY:
            return
        try:
            await self.snapshots.save(configuration)
        except PlatformError as error:
            log.warning(
                "snapshot of version {} could not be stored: {}",
                configuration.version,
                error,
            )


def page_size(version, upto):
    """Return how many patches to read next; 0 once `upto` is reached."""
    if upto is None:
        return PAGE_ROWS
    return max(0, min(PAGE_ROWS, upto - version))


def accepted_result(patch_id, version):
    """Return the result of a patch that is stored."""
    return CommitResult(CommitOutcome.ACCEPTED, patch_id, version)


def commit_puts(patch, head_revision):
    """Return the writes of the transaction that stores a patch."""
    head = {"format": FORMAT, "version": patch.version, "patch_id": patch.patch_id}
    return [
        Put(patch_key(patch.version), patch.values(), expected=0),
        Put(HEAD_KEY, head, expected=head_revision),
    ]
