"""What papayabay asks of the platform's storage."""

from dataclasses import dataclass
from typing import Protocol

from papayabay_core.platform.era import StoreEra


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    Attributes
    ----------
    key : str
        Path-like, such as ``config/patch/00000000000000000042``.
    value : dict
        Plain JSON values.
    revision : int
        Grows with each write of this row, also when the store came back from
        an older copy in between; above 0.
    """

    key: str
    value: dict
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """One conditional write of a transaction.

    Attributes
    ----------
    key : str
    value : dict or None
        None deletes the row.
    expected : int or None
        Revision that the row must have; 0 when it must not exist; None
        writes without a condition.
    """

    key: str
    value: dict | None
    expected: int | None = None


class TableService(Protocol):
    """Rows with conditional, transactional writes.

    Every method raises `PlatformError` when it certainly had no effect,
    and `PlatformAmbiguous` when a write may or may not have been applied.

    Attributes
    ----------
    era : StoreEra
        Never changes where the store can't come back from an older copy.
    """

    era: StoreEra

    async def get(self, key: str) -> Row | None:
        """Return a row, or None."""

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows of a key prefix in key order, those after a key."""

    async def write(self, puts: list[Put]) -> None:
        """Apply all writes or none; `ConditionFailed` when one can't be."""


class ObjectStore(Protocol):
    """Whole objects by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object's content, or None."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object whole, replacing an older one."""

    async def delete(self, name: str) -> None:
        """Remove an object; one that is not there is no error."""
