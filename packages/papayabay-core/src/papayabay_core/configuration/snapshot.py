"""Snapshots of the configuration in the object store."""

import hashlib
import json

from papayabay_core.configuration.patch import VERSION_DIGITS
from papayabay_core.configuration.records import (
    FORMAT,
    CorruptRecord,
    PointerRecord,
    SnapshotRecord,
    read_json_record,
)
from papayabay_core.configuration.state import Configuration
from papayabay_core.exceptions import PlatformError

SNAPSHOT_EVERY = 64
"""Versions between two snapshots."""
SNAPSHOTS_KEPT = 4
SNAPSHOTS_LISTED = 16
"""Most snapshots in the pointer, with those whose removal has failed."""
SNAPSHOT_PREFIX = "config/snapshot/"
POINTER_NAME = f"{SNAPSHOT_PREFIX}latest"


def snapshot_name(version):
    """Return the object name of a version's snapshot."""
    return f"{SNAPSHOT_PREFIX}{version:0{VERSION_DIGITS}d}"


def checksum(version, values):
    """Return the SHA-256 of version and values in hexadecimal."""
    content = json.dumps([version, values], sort_keys=True).encode()
    return hashlib.sha256(content).hexdigest()


def encode_configuration(configuration):
    """Return a configuration as bytes for the object store and for peers."""
    version, values = configuration.version, configuration.values
    record = {
        "format": FORMAT,
        "version": version,
        "values": values,
        "sha256": checksum(version, values),
    }
    return json.dumps(record).encode()


def decode_configuration(content, source="configuration"):
    """Return the configuration encoded in bytes; it is not confirmed.

    Raises
    ------
    UpgradeNeeded
    CorruptRecord
        When the bytes are truncated, malformed or fail the checksum.
    """
    record = read_json_record(SnapshotRecord, content, source)
    if record.sha256 != checksum(record.version, record.values):
        raise CorruptRecord(f"{source}: the checksum does not match")
    return Configuration(
        version=record.version,
        values=record.values,
        snapshot_version=record.version,
    )


class SnapshotStore:
    """Reads, writes and removes snapshots.

    Parameters
    ----------
    objects : ObjectStore
    """

    def __init__(self, objects):
        self.objects = objects

    async def newest(self, upto=None):
        """Return the newest valid snapshot up to a version, or None.

        Snapshots only reduce the number of patches to read after them, so
        missing, truncated and unreadable ones are skipped.
        """
        for version in await self.listed_versions(upto):
            snapshot = await self.fetch(version)
            if snapshot is not None:
                return snapshot
        return None

    async def fetch(self, version):
        """Return the snapshot of a version, or None if it is not valid."""
        name = snapshot_name(version)
        try:
            content = await self.objects.get(name)
            snapshot = content and decode_configuration(content, name)
        except PlatformError:
            # An interrupted write leaves a truncated object, which fails its
            # checksum. An older snapshot or all patches are read instead.
            return None
        return snapshot if snapshot and snapshot.version == version else None

    async def listed_versions(self, upto=None):
        """Return the versions listed in the pointer, newest first."""
        try:
            content = await self.objects.get(POINTER_NAME)
            if content is None:
                return []
            record = read_json_record(PointerRecord, content, POINTER_NAME)
        except PlatformError:
            return []
        return sorted(
            (v for v in record.versions if upto is None or v <= upto), reverse=True
        )

    async def save(self, configuration):
        """Store a snapshot, remove old ones and update the pointer.

        The `SNAPSHOTS_KEPT` newest snapshots are kept, so that a reader with
        an earlier pointer still finds one. A snapshot whose removal fails
        stays in the pointer, and the next save tries again; if it were not
        listed, it would never be found and removed.

        Raises
        ------
        PlatformError
        """
        version = configuration.version
        name = snapshot_name(version)
        await self.objects.put(name, encode_configuration(configuration))
        older = [v for v in await self.listed_versions() if v != version]
        stored = sorted([version, *older], reverse=True)
        versions = stored[:SNAPSHOTS_KEPT]
        versions += await self.remove(stored[SNAPSHOTS_KEPT:SNAPSHOTS_LISTED])
        pointer = {"format": FORMAT, "versions": versions}
        await self.objects.put(POINTER_NAME, json.dumps(pointer).encode())

    async def remove(self, versions):
        """Remove snapshots; return the versions whose removal failed."""
        failed = []
        for version in versions:
            try:
                await self.objects.delete(snapshot_name(version))
            except PlatformError:
                failed.append(version)
        return failed
