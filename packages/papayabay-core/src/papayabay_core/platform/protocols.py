"""Interfaces to the platform's storage."""

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
        Positive; increases with each write of the row, also across a restore
        of the store from a backup.
    """

    key: str
    value: dict
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """One write of a transaction, with an optional condition.

    Attributes
    ----------
    key : str
    value : dict or None
        None deletes the row.
    expected : int or None
        Revision that the row must have; 0 if it must not exist; None for no
        condition.
    """

    key: str
    value: dict | None
    expected: int | None = None


class TableService(Protocol):
    """Rows with conditional, transactional writes.

    All methods raise `PlatformError` if the request certainly had no effect,
    and `PlatformAmbiguous` if a write may or may not have been applied.

    Attributes
    ----------
    era : StoreEra
        Era of the store; never changes for a store without eras.
    """

    era: StoreEra

    async def get(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows with a key prefix, after a key, in key order."""

    async def write(self, puts: list[Put]) -> None:
        """Apply all writes or none; `ConditionFailed` if a condition fails."""


class ObjectStore(Protocol):
    """Objects by name, read and written as a whole."""

    async def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object, replacing an existing one."""

    async def delete(self, name: str) -> None:
        """Delete an object; a missing one is not an error."""
