"""Patches of the configuration."""

import json
import time
from dataclasses import asdict, dataclass

from papayabay_core.configuration.records import (
    FORMAT,
    CorruptRecord,
    PatchRecord,
    read_record,
)
from papayabay_core.exceptions import PolicyError
from papayabay_core.utils.identifiers import new_identifier

MAX_PATCH_BYTES = 256 * 1024
MAX_DEPTH = 32
VERSION_DIGITS = 20
PATCH_PREFIX = "config/patch/"


@dataclass(frozen=True, slots=True)
class Patch:
    """A change from one configuration version to the next.

    Attributes
    ----------
    version : int
        The version that the patch creates; one more than `base`.
    patch_id : str
        Unique identifier. A patch that is submitted again keeps it, which
        distinguishes it from a competing patch for the same version.
    base : int
        The version that the patch was written against.
    patch : dict
        JSON merge patch for the policy document.
    author, message : str
    committed_at_ms : int
        Wall clock of the author, milliseconds since 1970; for display only.
    """

    version: int
    patch_id: str
    base: int
    patch: dict
    author: str = ""
    message: str = ""
    committed_at_ms: int = 0

    def values(self):
        """Return the plain values of the patch's row."""
        return {"format": FORMAT, **asdict(self)}


def new_patch(base, changes, author="", message=""):
    """Return a new patch against a version.

    Raises
    ------
    PolicyError
        When the changes are too large, nested too deep or not JSON.
    """
    patch = Patch(
        version=base + 1,
        patch_id=new_identifier(),
        base=base,
        patch=changes,
        author=author,
        message=message,
        committed_at_ms=time.time_ns() // 1_000_000,
    )
    check_patch(patch)
    return patch


def check_patch(patch):
    """Raise `PolicyError` if the patch can't be stored."""
    source = f"patch {patch.patch_id}"
    if depth_of(patch.patch) > MAX_DEPTH:
        raise PolicyError(f"{source}: nested deeper than {MAX_DEPTH}")
    try:
        size = len(json.dumps(patch.patch, allow_nan=False))
    except (TypeError, ValueError) as error:
        raise PolicyError(f"{source}: not JSON: {error}") from None
    if size > MAX_PATCH_BYTES:
        raise PolicyError(
            f"{source}: {size} bytes, at most {MAX_PATCH_BYTES} are allowed"
        )
    try:
        patch_of_values(patch.values(), source)
    except CorruptRecord as error:
        raise PolicyError(str(error)) from None


def depth_of(value, limit=MAX_DEPTH + 1):
    """Return the nesting depth of a value, at most `limit`."""
    if limit == 0 or not isinstance(value, dict | list):
        return 0
    members = value.values() if isinstance(value, dict) else value
    return 1 + max((depth_of(member, limit - 1) for member in members), default=0)


def patch_of_values(values, source):
    """Return the `Patch` of the plain values of a row.

    Raises
    ------
    UpgradeNeeded, CorruptRecord
    """
    record = read_record(PatchRecord, values, source)
    if record.version != record.base + 1:
        raise CorruptRecord(
            f"{source}: version {record.version} does not follow {record.base}"
        )
    if depth_of(record.patch) > MAX_DEPTH:
        raise CorruptRecord(f"{source}: nested deeper than {MAX_DEPTH}")
    return Patch(**record.model_dump(exclude={"format"}))


def patch_key(version):
    """Return the row key of a version; keys sort in version order."""
    return f"{PATCH_PREFIX}{version:0{VERSION_DIGITS}d}"
