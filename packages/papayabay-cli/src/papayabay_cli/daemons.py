"""Sends HTTP requests to the daemons' status URLs."""

import asyncio
from urllib.parse import quote

import aiohttp

from papayabay_cli.errors import DaemonsUnreachable, UsageError
from papayabay_cli.output import print_note
from papayabay_core.configuration import PROOF_HEADER, encode_patches, prove_patches

QUERY_TIMEOUT = aiohttp.ClientTimeout(total=60.0, connect=2.0)
"""In seconds; long, as the daemon queries all others before it answers."""
POST_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
"""In seconds."""
PATCHES = "/configuration/patches"
LIFT = "/quarantine/lift"


def query_fleet(settings, *paths):
    """Return the JSON answers of the first daemon that answers all paths.

    Parameters
    ----------
    settings : OperatorSettings
    *paths : str
        Paths below a status URL, such as ``/fleet/status``.

    Returns
    -------
    list of dict

    Raises
    ------
    UsageError
        When the settings name no status URL.
    DaemonsUnreachable
        With the cause of the failure at each status URL.
    """
    if not settings.status_urls:
        raise UsageError(
            "settings: status_urls: empty; the status URL of a daemon is needed"
        )
    return asyncio.run(fetch_from_first(settings.status_urls, paths))


def query_all_daemons(settings):
    """Return the status pages of all daemons, fetched in pages of 200.

    Returns
    -------
    dict
        ``heard`` and ``not_heard``, merged over all pages.
    """
    fleet = {"heard": {}, "not_heard": {}}
    after = ""
    while after is not None:
        (page,) = query_fleet(settings, f"/fleet/status?after={quote(after, safe='')}")
        for name, entries in fleet.items():
            entries.update(page.get(name, {}))
        following = page.get("next")
        if following is not None and not str(following) > after:
            raise DaemonsUnreachable(
                "/fleet/status: the next page does not start after this one"
            )
        after = following
    return fleet


async def fetch_from_first(urls, paths):
    """Return the answers of the first status URL that answers all paths."""
    causes = []
    async with aiohttp.ClientSession(timeout=QUERY_TIMEOUT) as session:
        for url in urls:
            try:
                return [await fetch(session, url, path) for path in paths]
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                causes.append(f"{url}: {str(error) or type(error).__name__}")
    raise DaemonsUnreachable(f"no daemon answered: {'; '.join(causes)}")


async def fetch(session, url, path):
    """Return the JSON object at a path below a status URL."""
    async with session.get(url.rstrip("/") + path) as response:
        if response.status != 200:
            raise ValueError(f"{path} answered with HTTP status {response.status}")
        content = await response.json(content_type=None)
    if not isinstance(content, dict):
        raise ValueError(f"{path} did not answer with a JSON object")
    return content


def lift_request(settings, fingerprint):
    """Release a request from quarantine; return whether it was quarantined.

    Parameters
    ----------
    settings : OperatorSettings
    fingerprint : str

    Raises
    ------
    UsageError
        When the settings name no status URL or no cluster secret.
    DaemonsUnreachable
        With the cause of the failure at each status URL.
    """
    if not settings.status_urls or settings.cluster_secret is None:
        raise UsageError("settings: status_urls and cluster_secret must be set")
    return asyncio.run(post_lift(settings, fingerprint.encode()))


async def post_lift(settings, content):
    """Send a fingerprint to the first daemon that accepts it."""
    headers = {PROOF_HEADER: prove_patches(settings.cluster_secret, content)}
    causes = []
    async with aiohttp.ClientSession(timeout=POST_TIMEOUT) as session:
        for url in settings.status_urls:
            try:
                target = url.rstrip("/") + LIFT
                async with session.post(
                    target, data=content, headers=headers
                ) as response:
                    if response.status == 200:
                        return (await response.json(content_type=None))["lifted"]
                    causes.append(f"{url}: answered with HTTP status {response.status}")
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                causes.append(f"{url}: {str(error) or type(error).__name__}")
    raise DaemonsUnreachable(f"no daemon accepted the request: {'; '.join(causes)}")


async def post_patch(urls, patch, secret):
    """Send a committed patch to the first daemon that accepts it.

    It is no error if no daemon accepts the patch: it is stored already, and
    the daemons that poll the store will find it there. Daemons only accept
    patches with a proof of the cluster's secret.

    Parameters
    ----------
    urls : list of str
        Status URLs.
    patch : Patch
    secret : str or None
        The cluster's secret; None sends the patch to no daemon.
    """
    if secret is None:
        print_note(
            "settings: cluster_secret is not set, so the patch was sent to no daemon; "
            "the daemons will read it from the store"
        )
        return
    content = encode_patches([patch])
    headers = {PROOF_HEADER: prove_patches(secret, content)}
    async with aiohttp.ClientSession(timeout=POST_TIMEOUT) as session:
        for url in urls:
            try:
                target = url.rstrip("/") + PATCHES
                async with session.post(
                    target, data=content, headers=headers
                ) as response:
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
    print_note(
        "no daemon in status_urls accepted the patch; "
        "the daemons will read it from the store"
    )
