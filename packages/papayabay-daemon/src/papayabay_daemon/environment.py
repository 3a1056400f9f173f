"""The environment of a daemon: platform services, dialects and listeners.

`Daemon` depends only on `Environment`. For a platform with other services or
protocols, an adapter builds another environment; the components of the daemon
do not depend on the platform.
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
    """A network listener that the daemon opens and closes with its own."""

    host: str
    port: int

    async def start(self) -> None:
        """Start listening; raises `OSError`."""

    async def close(self) -> None:
        """Stop listening and close all connections."""


@dataclass(frozen=True, slots=True)
class Environment:
    """The platform services that a daemon uses, and its interfaces to others.

    Attributes
    ----------
    table : TableService
        Stores the seeds of the membership, and claims of idempotency keys.
        Closed by `close`.
    versions : ConfigurationLog or VersionWatch
        Source of configuration versions.
    version_reader : type
        Class that reads `versions`: `StoreReader` or `VersionWatcher`.
    caller_dialect : CallerDialect
    target_dialect : TargetDialect
    listeners : callable
        Takes the daemon and returns the listeners for its target and other
        local processes. Called once.
    close : callable
        Returns a coroutine that closes the services.
    apply_settings : callable
        Takes changed settings and uses the store at its new address.
    """

    table: Any
    versions: Any
    version_reader: type
    caller_dialect: CallerDialect
    target_dialect: TargetDialect
    listeners: Callable[[Any], list[Listener]]
    close: Callable[[], Any]
    apply_settings: Callable[[Any], None]


def default_environment(settings):
    """Return the environment that is used without a platform adapter.

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
        listeners=default_listeners,
        close=close,
        apply_settings=lambda settings: None,
    )


def default_listeners(daemon):
    """Return the loopback door for the target."""
    return [TargetDoor(daemon.settings, daemon.flow, daemon.registry)]
