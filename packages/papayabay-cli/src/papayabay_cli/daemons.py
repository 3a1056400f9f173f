"""Asks the fleet through one daemon's status door."""

import asyncio
from urllib.parse import quote

import aiohttp

from papayabay_cli.errors import DaemonsUnreachable, UsageError
from papayabay_cli.output import note
from papayabay_core.configuration import PROOF_HEADER, encode_patches, prove_patches

TIMEOUT = aiohttp.ClientTimeout(total=60.0, connect=2.0)
POST_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
PATCHES = "/configuration/patches"
LIFT = "/quarantine/lift"


def ask_fleet(settings, *paths):
    """Return the JSON answers of the first daemon that gives them all.

    Parameters
    ----------
    settings : OperatorSettings
    *paths : str
        Paths at the status door, such as ``/fleet/status``.

    Returns
    -------
    list of dict

    Raises
    ------
    UsageError
        When the settings name no status door.
    DaemonsUnreachable
        Says of each one why not.
    """
    if not settings.status_urls:
        raise UsageError("settings: status_urls: name the status door of a daemon")
    return asyncio.run(ask_first(settings.status_urls, paths))


def ask_every_daemon(settings):
    """Return the status pages of all daemons, however many.

    Returns
    -------
    dict
        ``heard`` and ``not_heard``, put together of pages of 200 daemons.
    """
    fleet = {"heard": {}, "not_heard": {}}
    after = ""
    while after is not None:
        (page,) = ask_fleet(settings, f"/fleet/status?after={quote(after, safe='')}")
        for name, entries in fleet.items():
            entries.update(page.get(name, {}))
        following = page.get("next")
        if following is not None and not str(following) > after:
            raise DaemonsUnreachable("the list of daemons does not go on")
        after = following
    return fleet


async def ask_first(urls, paths):
    """Ask one status door after the other."""
    causes = []
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        for url in urls:
            try:
                return [await fetch(session, url, path) for path in paths]
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                causes.append(f"{url}: {str(error) or type(error).__name__}")
    raise DaemonsUnreachable(f"no daemon answered: {'; '.join(causes)}")


async def fetch(session, url, path):
    """Return the JSON object at a path of a status door."""
    async with session.get(url.rstrip("/") + path) as answer:
        if answer.status != 200:
            raise ValueError(f"{path} answered {answer.status}")
        content = await answer.json(content_type=None)
    if not isinstance(content, dict):
        raise ValueError(f"{path} did not answer with a JSON object")
    return content


def lift_request(settings, fingerprint):
    """Release a request from quarantine; return whether it was there.

    Parameters
    ----------
    settings : OperatorSettings
    fingerprint : str

    Raises
    ------
    UsageError
        When the settings name no status door or no secret.
    DaemonsUnreachable
        Says of each one why not.
    """
    if not settings.status_urls or settings.cluster_secret is None:
        raise UsageError("settings: status_urls and cluster_secret are needed")
    return asyncio.run(post_lift(settings, fingerprint.encode()))


async def post_lift(settings, content):
    """Give a fingerprint to the first daemon that takes it."""
    headers = {PROOF_HEADER: prove_patches(settings.cluster_secret, content)}
    causes = []
    async with aiohttp.ClientSession(timeout=POST_TIMEOUT) as session:
        for url in settings.status_urls:
            try:
                target = url.rstrip("/") + LIFT
                async with session.post(target, data=content, headers=headers) as got:
                    if got.status == 200:
                        return (await got.json(content_type=None))["lifted"]
                    causes.append(f"{url}: answered {got.status}")
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                causes.append(f"{url}: {str(error) or type(error).__name__}")
    raise DaemonsUnreachable(f"no daemon took it: {'; '.join(causes)}")


async def post_patch(urls, patch, secret):
    """Give a committed patch to the first daemon that takes it.

    That none does is no failure: the patch is stored, and the daemons that
    read the store will find it there. Daemons only take what comes with a
    proof of the cluster's secret.

    Parameters
    ----------
    urls : list of str
        Status doors.
    patch : Patch
    secret : str or None
        The cluster's; without it no daemon is asked.
    """
    if secret is None:
        note("settings: no cluster_secret; the daemons will read it from the store")
        return
    content = encode_patches([patch])
    headers = {PROOF_HEADER: prove_patches(secret, content)}
    async with aiohttp.ClientSession(timeout=POST_TIMEOUT) as session:
        for url in urls:
            try:
                target = url.rstrip("/") + PATCHES
                async with session.post(target, data=content, headers=headers) as got:
                    if got.status == 200:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
    note("no daemon of status_urls took the patch; they will read it from the store")
