"""Reads the policy's log and versions from the platform's store."""

import asyncio
from contextlib import asynccontextmanager

from papayabay_cli.arguments import load_operator_settings
from papayabay_cli.errors import UsageError
from papayabay_cli.output import print_note
from papayabay_core.configuration import ConfigurationLog
from papayabay_core.platform import HttpObjectStore, HttpTableService


@asynccontextmanager
async def open_log(settings):
    """Open a `ConfigurationLog`, and close its connections at the end.

    Parameters
    ----------
    settings : OperatorSettings
    """
    table = HttpTableService(settings.platform)
    objects = HttpObjectStore(settings.platform)
    try:
        yield ConfigurationLog(table, objects)
    finally:
        await table.close()
        await objects.close()


def run_with_log(settings_path, operation):
    """Run a coroutine function with the log and return its result.

    Parameters
    ----------
    settings_path : str or None
    operation : callable
        Coroutine function that takes the log.
    """
    settings = load_operator_settings(settings_path)

    async def run():
        async with open_log(settings) as log:
            return await operation(log)

    return asyncio.run(run())


async def load_version(log, version=None):
    """Return the configuration at a version; None for the newest.

    Raises
    ------
    UsageError
        When there is no such version yet.
    PlatformError
    """
    if version is None:
        configuration = await log.load()
        warn_unconfirmed(configuration)
        return configuration
    configuration = await log.load(upto=version)
    if configuration.version != version:
        raise UsageError(
            f"there is no version {version}; the newest is {configuration.version}"
        )
    return configuration


def warn_unconfirmed(configuration):
    """Print a note when only a snapshot, which may be stale, could be read."""
    if not configuration.confirmed:
        print_note(
            f"the table service does not answer; version {configuration.version} was "
            "read from a snapshot, and a newer version may be in force"
        )
