"""Dials links to other daemons, with backoff, and redials lost peers."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from papayabay_core.errors import CallError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import (
    BACKOFF_FIRST_SECONDS,
    BACKOFF_MAX_SECONDS,
    DIAL_SECONDS,
    RECONNECT_PAUSE_SECONDS,
    RECONNECT_SECONDS,
)
from papayabay_daemon._internal.links.link import Link
from papayabay_daemon._internal.links.outgoing import unavailable


@dataclass(slots=True)
class PeerEntry:
    """State of one peer.

    Attributes
    ----------
    links : list of Link
        Open links that take new calls, the newest last.
    dialling : asyncio.Task or None
        The dial in progress.
    failures : int
        Failed dials since the last success.
    retry_at : float
        End of the backoff, on `clock.now()`.
    address : tuple
        Host and port of the last dial.
    reconnecting : asyncio.Task or None
        Redials the peer after its link was closed as unresponsive.
    """

    links: list[Link] = field(default_factory=list)
    dialling: asyncio.Task | None = None
    failures: int = 0
    retry_at: float = 0.0
    address: tuple = ()
    reconnecting: asyncio.Task | None = None

    @property
    def is_disposable(self):
        """Whether the entry holds no links, dials or backoff."""
        busy = self.links or self.dialling or self.reconnecting
        return not busy and now() > self.retry_at


class Dialler:
    """Dials links, at most one per peer at a time.

    Parameters
    ----------
    links : PeerLinks
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, links, rng):
        self.links = links
        self.rng = rng

    async def dial(self, member):
        """Return a new link; concurrent callers share one dial.

        Raises
        ------
        CallError
            LINK_UNAVAILABLE if the dial failed, or at once during the
            backoff after a failed dial of the same address.
        """
        peer = self.links.entry_of(member.name)
        if self.links.closing:
            raise unavailable("the links are closed")
        if peer.dialling is None:
            address = (member.host, member.link_port)
            if now() < peer.retry_at and address == peer.address:
                raise unavailable(f"{member.name} could not be reached lately")
            peer.address = address
            dial = self.connect(member, peer)
            peer.dialling = asyncio.get_running_loop().create_task(dial)
        # `wait` does not cancel the dial if one of its callers is cancelled.
        await asyncio.wait([peer.dialling])
        link = self.links.live_link(member.name)
        if link is None:
            raise unavailable(f"{member.name} can't be reached")
        return link

    async def connect(self, member, peer):
        """Dial once and record the result in the peer's entry."""
        link = None
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                link = await self.open_connection(member)
                opened = await link.opened
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two are raised for an invalid address, which is not
            # validated before since it comes from gossip.
            opened = False
        finally:
            peer.dialling = None
        if opened:
            peer.failures = 0
            peer.retry_at = 0.0
            return
        if link is not None:
            link.abort("the link was not opened in time")
        self.links.counters.dials_failed += 1
        peer.retry_at = now() + self.backoff(peer.failures)
        peer.failures += 1

    async def open_connection(self, member):
        """Return a link on a new connection, before its handshake."""
        _, link = await asyncio.get_running_loop().create_connection(
            lambda: Link(self.links, member.name), member.host, member.link_port
        )
        return link

    def end_backoff(self, name):
        """Allow the next dial of a peer at once, as it answers again.

        A backoff that grew during a partition would otherwise outlast it.
        """
        peer = self.links.peers.get(name)
        if peer is not None and peer.failures:
            peer.failures = 0
            peer.retry_at = 0.0

    def reconnect(self, member):
        """Redial a peer in the background after its link has timed out.

        The peer stays marked as unresponsive meanwhile. Otherwise calls would
        choose it again and each wait a second for a dial that fails, until
        gossip declares the peer dead. When machines lost power, that delayed
        up to a quarter of all requests for four seconds.
        """
        peer = self.links.entry_of(member.name)
        if self.links.closing or peer.reconnecting is not None:
            return
        reconnecting = self.redial(member, peer)
        peer.reconnecting = asyncio.get_running_loop().create_task(reconnecting)

    async def redial(self, member, peer):
        """Dial until a link is open or `RECONNECT_SECONDS` have passed.

        Afterwards the peer no longer counts as unresponsive.
        """
        until = now() + RECONNECT_SECONDS
        try:
            while self.links.live_link(member.name) is None and now() < until:
                await asyncio.sleep(max(peer.retry_at - now(), RECONNECT_PAUSE_SECONDS))
                with suppress(CallError):
                    await self.dial(member)
        finally:
            peer.reconnecting = None
        self.links.notify_unresponsive(member.name, False)

    def backoff(self, failures):
        """Return the seconds until the next dial, with jitter.

        Without jitter, all daemons that lost the same peer would dial it at
        the same moments.
        """
        longest = BACKOFF_FIRST_SECONDS * 2 ** min(failures, 10)
        return min(longest, BACKOFF_MAX_SECONDS) * self.rng.uniform(0.5, 1.0)
