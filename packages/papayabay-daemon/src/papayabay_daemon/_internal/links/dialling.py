"""Making links to other daemons, and finding lost ones again."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from papayabay_core.errors import CallError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import (
    BACKOFF_FIRST_SECONDS,
    BACKOFF_MAX_SECONDS,
    DIAL_SECONDS,
    SEEK_PAUSE_SECONDS,
    SEEK_SECONDS,
)
from papayabay_daemon._internal.links.link import Link
from papayabay_daemon._internal.links.outgoing import unavailable


@dataclass(slots=True)
class Peer:
    """What is kept of one peer.

    Attributes
    ----------
    links : list of Link
        Open links that take new calls, the newest last.
    dialling : asyncio.Task or None
        The one dial in progress.
    failures : int
        Dials that failed since the last success.
    retry_at : float
        Before this time on `clock.now()` the peer isn't dialled.
    address : tuple
        Where the last dial went.
    seeking : asyncio.Task or None
        Dials again and again a peer whose link ended in doubt.
    """

    links: list[Link] = field(default_factory=list)
    dialling: asyncio.Task | None = None
    failures: int = 0
    retry_at: float = 0.0
    address: tuple = ()
    seeking: asyncio.Task | None = None

    @property
    def unused(self):
        """Whether nothing would be lost by forgetting this."""
        busy = self.links or self.dialling or self.seeking
        return not busy and now() > self.retry_at


class Dialler:
    """Makes links, one dial per peer at a time.

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
        """Return a new link; one dial per peer serves all who wait.

        Raises
        ------
        CallError
            LINK_UNAVAILABLE, at once while the peer is backed off from.
        """
        peer = self.links.peer_of(member.name)
        if self.links.closing:
            raise unavailable("the links are closed")
        if peer.dialling is None:
            address = (member.host, member.link_port)
            if now() < peer.retry_at and address == peer.address:
                raise unavailable(f"{member.name} could not be reached lately")
            peer.address = address
            dial = self.connect(member, peer)
            peer.dialling = asyncio.get_running_loop().create_task(dial)
        # Shielded: one caller that leaves must not end the others' dial.
        await asyncio.wait([peer.dialling])
        link = self.links.live_link(member.name)
        if link is None:
            raise unavailable(f"{member.name} can't be reached")
        return link

    async def connect(self, member, peer):
        """Dial once and keep the result in the peer's entry."""
        link = None
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: Link(self.links, member.name), member.host, member.link_port
                )
                opened = await link.opened
        except (OSError, TimeoutError, ValueError, OverflowError):
            # The last two come from an address that can't be one; it was
            # gossiped, so nothing here has checked it.
            opened = False
        finally:
            peer.dialling = None
        if opened:
            peer.failures = 0
            peer.retry_at = 0.0
            return
        if link is not None:
            link.lose("not opened in time")
        self.links.counters.dials_failed += 1
        peer.retry_at = now() + self.backoff(peer.failures)
        peer.failures += 1

    def seek(self, member):
        """Dial a peer in the background until a link to it is open.

        Its link was given up for silence. Were the doubt to end with it, calls
        would choose the peer again and wait a second each for a link that
        can't be had, as long as nobody has declared it dead: up to a quarter
        of all requests of four seconds when machines lost power.
        """
        peer = self.links.peer_of(member.name)
        if self.links.closing or peer.seeking is not None:
            return
        seeking = self.find_again(member, peer)
        peer.seeking = asyncio.get_running_loop().create_task(seeking)

    async def find_again(self, member, peer):
        """Dial until a link is open, or for `SEEK_SECONDS`; end the doubt."""
        until = now() + SEEK_SECONDS
        try:
            while self.links.live_link(member.name) is None and now() < until:
                await asyncio.sleep(max(peer.retry_at - now(), SEEK_PAUSE_SECONDS))
                with suppress(CallError):
                    await self.dial(member)
        finally:
            peer.seeking = None
        self.links.peer_doubted(member.name, False)

    def backoff(self, failures):
        """Return seconds until the next dial, jittered.

        Without jitter all daemons that lost one peer would dial it in step
        when it is back.
        """
        longest = BACKOFF_FIRST_SECONDS * 2 ** min(failures, 10)
        return min(longest, BACKOFF_MAX_SECONDS) * self.rng.uniform(0.5, 1.0)
