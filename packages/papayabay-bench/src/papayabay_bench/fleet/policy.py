"""Commits a policy patch to the platform, as an operator does."""

from papayabay_core.configuration import CommitOutcome, ConfigurationLog, new_patch
from papayabay_core.platform import HttpObjectStore, HttpTableService

AUTHOR = "bench"


class CommitRefused(Exception):
    """A patch was rejected as stale, or its outcome is unknown."""


async def commit_patch(settings, changes, expected):
    """Commit a JSON merge patch to the policy; return the new version.

    Parameters
    ----------
    settings : PlatformSettings
    changes : dict
        The merge patch.
    expected : int
        Policy version that the patch is based on.

    Raises
    ------
    CommitRefused
        When the patch is stale, or its outcome is unknown.
    """
    table, objects = HttpTableService(settings), HttpObjectStore(settings)
    try:
        log = ConfigurationLog(table, objects)
        result = await log.commit(new_patch(expected, changes, AUTHOR))
    finally:
        await table.close()
        await objects.close()
    if result.outcome is not CommitOutcome.ACCEPTED:
        raise CommitRefused(
            f"patch not accepted: outcome {result.outcome.value}, "
            f"version {result.version}"
        )
    return result.version
