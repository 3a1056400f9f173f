"""Finds the patch that last set each key of the policy."""

from dataclasses import dataclass

PAGE_SIZE = 500
"""Patches per call of the log."""
MAX_PATCHES = 10_000
"""Patches searched, from the newest back; each 100 cost the store a read."""


@dataclass(frozen=True, slots=True)
class Origin:
    """The patch that last set a key.

    Attributes
    ----------
    version : int
        The version that the patch made; 0 when the patch is older than those
        searched.
    author, message : str
    text : str
        Version, author and message in one line.
    """

    version: int
    author: str
    message: str
    text: str


async def find_origins(log, version, keys):
    """Return the `Origin` of each key, by key.

    Parameters
    ----------
    log : ConfigurationLog
    version : int
    keys : iterable of str
        Dotted keys that the policy sets at that version.

    Raises
    ------
    PlatformError
    """
    missing, origins, newest = set(keys), {}, version
    oldest = max(0, version - MAX_PATCHES)
    while missing and newest > oldest:
        start = max(oldest, newest - PAGE_SIZE)
        patches = await log.patches_after(start, newest - start)
        for patch in reversed(patches):
            found = {key for key in missing if touches(patch.patch, key)}
            origins |= dict.fromkeys(found, origin_of(patch))
            missing -= found
        newest = start
    unknown = Origin(0, "", "", f"a patch before version {oldest + 1}")
    return dict.fromkeys(missing, unknown) | origins


def touches(patch, dotted):
    """Return whether a merge patch sets or removes a dotted key."""
    for name in dotted.split("."):
        if not isinstance(patch, dict):
            return True
        if name not in patch:
            return False
        patch = patch[name]
    return True


def origin_of(patch):
    """Return a patch as the `Origin` of the keys that it sets."""
    author = f" by {patch.author}" if patch.author else ""
    message = f": {patch.message}" if patch.message else ""
    text = f"version {patch.version}{author}{message}"
    return Origin(patch.version, patch.author, patch.message, text)
