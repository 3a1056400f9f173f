"""Requests to peers, which are sent again when their link has gone silent."""

import asyncio

from papayabay_core.exceptions import LinkLost, ProtocolError
from papayabay_daemon._internal.configuration.messages import PEER_SECONDS

REDIAL_SECONDS = 0.1
"""Time without any data from a peer after which a request is sent again over
another link. A healthy link answers in a few milliseconds; with 0.25 s, a
version would be in force after 2.45 s of the 2.5 s that are allowed when the
connections to the store and those between daemons go silent together."""


async def request_peer(links, peer, topic, payload):
    """Send a request about configuration versions; return the answer.

    A link that was idle when it went silent is noticed only two seconds after
    the request. As these requests may be run twice, a new link is opened
    meanwhile, and the first answer counts. If the link is closed as silent
    just then, the request is sent once more: a pull would else wait for the
    backoff of a peer that can't be reached.

    Parameters
    ----------
    links : Links
    peer : Member
    topic : str
    payload : bytes

    Raises
    ------
    ProtocolError, OSError, TimeoutError
        When the request on the first link failed, and on another one too.
    """
    try:
        return await request_or_redial(links, peer, topic, payload)
    except LinkLost:
        return await request_or_redial(links, peer, topic, payload)


async def request_or_redial(links, peer, topic, payload):
    """Send a request, and again over a new link if the first is silent."""
    first = asyncio.ensure_future(links.request(peer, topic, payload, PEER_SECONDS))
    tasks = {first}
    try:
        await asyncio.wait(tasks, timeout=REDIAL_SECONDS)
        if not first.done():
            again = request_over_new_link(links, peer, topic, payload)
            tasks.add(asyncio.ensure_future(again))
        return await first_answer(first, tasks)
    finally:
        for task in tasks:
            task.cancel()


async def request_over_new_link(links, peer, topic, payload):
    """Send a request over a new link if the present one is silent."""
    if not await links.replace_silent_link(peer, REDIAL_SECONDS):
        raise ProtocolError(f"no other link to {peer.name}")
    return await links.request(peer, topic, payload, PEER_SECONDS)


async def first_answer(first, tasks):
    """Return the first result of some tasks, or raise the error of `first`."""
    pending = tasks
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is None:
                return task.result()
    return first.result()
