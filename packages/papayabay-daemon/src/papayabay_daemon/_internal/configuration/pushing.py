"""Pushes offers of the latest version to a few peers, and gets theirs."""

import asyncio
from contextlib import suppress

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.configuration.messages import (
    OFFER_TOPIC,
    decode_offer,
)
from papayabay_daemon._internal.configuration.requesting import request_peer
from papayabay_daemon._internal.membership.sampling import random_peers

FAN_OUT = 3
"""Peers that each new version is pushed to."""
PARTNERS = 8
"""Peers among which those are chosen."""
CONFIRM_SECONDS = 2.0
"""Longest time between two requests for a first confirmation."""


class Pusher:
    """Exchanges offers with peers.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    random : random.Random
    readers : Readers
    note_offer : callable
        Called with a version above the own one and the name of the peer.

    Attributes
    ----------
    partners : list of str
        Names of the peers that versions are pushed to.
    """

    def __init__(self, state, links, random, readers, note_offer):
        self.state = state
        self.links = links
        self.random = random
        self.readers = readers
        self.note_offer = note_offer
        self.partners = []

    async def run(self):
        """Offer each newer version to a few peers, until cancelled."""
        slots = asyncio.Semaphore(FAN_OUT * 4)
        async with asyncio.TaskGroup() as group:
            while True:
                await self.state.push_due.wait()
                self.state.push_due.clear()
                self.announce()
                for peer in self.pick_partners():
                    await slots.acquire()
                    task = group.create_task(self.push(peer))
                    task.add_done_callback(lambda _: slots.release())

    def announce(self):
        """Announce the latest version to the other readers, if this is one.

        Usually they have it from the store as well. When the store has not
        answered them, pushes and gossip would reach some of them only after a
        second. A version that did not come from the store is also announced
        to the own domain, whose other readers may not have it either.
        """
        if not self.readers.is_reader():
            return
        self.state.members.announce_version(self.readers.others_of_fleet())
        latest = self.state.version.latest.version
        if latest > self.state.announced:
            self.state.announced = latest
            self.state.members.announce_version(self.readers.followers())

    def pick_partners(self):
        """Return a few random peers to push to.

        They are chosen from a small set of partners that stays the same while
        these are alive. A new random choice from 13,000 members for each
        version would nearly always open a new link.
        """
        kept = [name for name in self.partners if self.state.members.get(name)]
        if len(kept) < PARTNERS:
            candidates = [
                member.name
                for member in random_peers(self.state.members, PARTNERS, self.random)
            ]
            kept += [name for name in candidates if name not in kept]
        self.partners = kept[:PARTNERS]
        chosen = self.random.sample(self.partners, min(FAN_OUT, len(self.partners)))
        return [self.state.members.get(name) for name in chosen]

    async def push(self, peer):
        """Offer the latest version to a peer."""
        self.state.counts["pushes"] += 1
        await self.exchange_offers(peer)

    async def exchange_offers(self, peer):
        """Send the own offer; return the peer's offer, or None on failure."""
        asked_at = self.state.clock()
        payload = self.state.own_offer().encode()
        try:
            answer = await request_peer(self.links, peer, OFFER_TOPIC, payload)
            offer, _ = decode_offer(answer)
        except (ProtocolError, OSError, TimeoutError):
            self.state.counts["push_errors"] += 1
            return None
        if offer.version > self.state.version.latest.version:
            self.note_offer(offer.version, peer.name)
        self.state.receive_confirmation(offer, asked_at)
        return offer

    async def run_until_confirmed(self):
        """Ask the readers of the own domain until a version is confirmed."""
        while not self.state.confirmed:
            await asyncio.sleep(CONFIRM_SECONDS * self.random.uniform(0.5, 1.0))
            await self.ask_reader()

    async def ask_reader(self):
        """Ask a random reader for the confirmation of its version."""
        readers = self.readers.other_readers()
        if readers:
            await self.exchange_offers(self.random.choice(readers))

    async def request_confirmation(self, peer, timeout):
        """Ask a peer for the confirmation of its version.

        Parameters
        ----------
        peer : Member
        timeout : float
            Seconds.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.exchange_offers(peer)
