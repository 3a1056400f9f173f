"""What surrounds a daemon: its platform's services, and how others talk to it.

`Daemon` is built against these. Where a platform speaks otherwise, an adapter
of its own makes another environment; no part of the daemon knows which.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from papayabay_core.configuration import ConfigurationLog
from papayabay_core.platform import HttpObjectStore, HttpTableService
from papayabay_daemon._internal.configuration.store import StoreReader
from papayabay_daemon._internal.doors import TargetDoor
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.incoming import CallerDialect
from papayabay_daemon._internal.target.dialect import (
    DefaultTargetDialect,
    TargetDialect,
)


class Listener(Protocol):
    """A door that the daemon opens and closes with its own."""

    host: str
    port: int

    async def start(self) -> None:
        """Listen; raises `OSError`."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class Environment:
    """The services that a daemon uses, and the ways it is spoken to.

    Attributes
    ----------
    table : TableService
        Keeps seeds, and claims of idempotency keys; `close` closes it.
    versions : ConfigurationLog or VersionWatch
        Where versions of the configuration come from.
    version_reader : type
        What reads `versions`: `StoreReader` or `VersionWatcher`.
    caller_dialect : CallerDialect
    target_dialect : TargetDialect
    listeners : callable
        Takes the daemon; returns the doors by which its target, and what
        else stands beside it, reach it. Called once.
    close : callable
        Returns the coroutine that closes the services.
    apply_settings : callable
        Takes changed settings, to use the store where it is now.
    """

    table: Any
    versions: Any
    version_reader: type
    caller_dialect: CallerDialect
    target_dialect: TargetDialect
    listeners: Callable[[Any], list[Listener]]
    close: Callable[[], Any]
    apply_settings: Callable[[Any], None]


def own_environment(settings):
    """Return the environment where no platform says otherwise.

    Parameters
    ----------
    settings : DaemonSettings
    """
    table = HttpTableService(settings.platform)
    objects = HttpObjectStore(settings.platform)

    async def close():
        await table.close()
        await objects.close()

    return Environment(
        table=table,
        versions=ConfigurationLog(table, objects),
        version_reader=StoreReader,
        caller_dialect=DefaultCallerDialect(),
        target_dialect=DefaultTargetDialect(),
        listeners=own_listeners,
        close=close,
        apply_settings=lambda settings: None,
    )


def own_listeners(daemon):
    """Return the loopback door for the target."""
    return [TargetDoor(daemon.settings, daemon.flow, daemon.registry)]
