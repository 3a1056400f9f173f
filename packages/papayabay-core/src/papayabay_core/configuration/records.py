"""Stored records of the configuration and their validation."""

import json
from typing import Annotated, Literal

from msgspec import Meta

from papayabay_core.exceptions import PlatformError
from papayabay_core.models import InvalidValues, Strict, explain_faults

FORMAT = 1
MAX_VERSION = 10**20 - 1
Version = Annotated[int, Meta(ge=1)]
Base = Annotated[int, Meta(ge=0)]
PatchId = Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]{1,64}\Z")]


class UpgradeNeeded(PlatformError):
    """A record was written by a newer release in an unknown format."""


class CorruptRecord(PlatformError):
    """A record is malformed, truncated or fails its checksum."""


def check_version(version):
    """Raise `ValueError` if a version has too many digits for a row key."""
    if version > MAX_VERSION:
        raise ValueError(f"a version has {len(str(MAX_VERSION))} digits at most")


def check_versions(versions):
    """Raise `ValueError` if a version has too many digits for a row key."""
    for version in versions:
        check_version(version)


class Record(Strict, frozen=True, kw_only=True):
    """A stored record; unknown members are an error."""

    format: Literal[1] = FORMAT


class HeadRecord(Record, frozen=True, kw_only=True):
    """Row ``config/head``: the newest version."""

    checks = {"version": check_version}

    version: Version
    patch_id: PatchId


class PatchRecord(Record, frozen=True, kw_only=True):
    """Row ``config/patch/<version>``: the patch that made the version."""

    checks = {"version": check_version, "base": check_version}

    version: Version
    patch_id: PatchId
    base: Base
    patch: dict
    author: Annotated[str, Meta(max_length=200)]
    message: Annotated[str, Meta(max_length=2_000)]
    committed_at_ms: Annotated[int, Meta(ge=0)]


class SnapshotRecord(Record, frozen=True, kw_only=True):
    """Object ``config/snapshot/<version>``: a complete version."""

    checks = {"version": check_version}

    version: Version
    values: dict
    sha256: str


class PointerRecord(Record, frozen=True, kw_only=True):
    """Object ``config/snapshot/latest``: stored snapshots, newest first."""

    checks = {"versions": check_versions}

    versions: Annotated[list[Version], Meta(min_length=1, max_length=16)]


def read_record(model, values, source):
    """Return the record of plain values.

    Raises
    ------
    UpgradeNeeded
        When the format is newer than this release supports.
    CorruptRecord
        When the values don't match the model.
    """
    found = values.get("format") if isinstance(values, dict) else None
    if type(found) is int and found > FORMAT:
        raise UpgradeNeeded(
            f"{source}: written in format {found}, and this release reads up to "
            f"{FORMAT}: upgrade papayabay"
        )
    try:
        return model.model_validate(values)
    except InvalidValues as error:
        raise CorruptRecord(explain_faults(error, source)) from None


def read_json_record(model, content, source):
    """Return the record of JSON bytes; see `read_record`."""
    try:
        values = json.loads(content)
    except (ValueError, RecursionError):
        raise CorruptRecord(f"{source}: not valid JSON") from None
    return read_record(model, values, source)
