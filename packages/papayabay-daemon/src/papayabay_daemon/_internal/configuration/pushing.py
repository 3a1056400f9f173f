"""Offers of the held version to a few peers, and questions for theirs."""

import asyncio
from contextlib import suppress

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.configuration.messages import (
    OFFER_TOPIC,
    PEER_SECONDS,
    decode_offer,
)
from papayabay_daemon._internal.membership.sampling import random_peers

FAN_OUT = 3
PARTNERS = 8
CONFIRM_SECONDS = 2.0


class Pusher:
    """Exchanges offers with peers.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    random : random.Random
    readers : Readers
    note_offer : callable
        Takes a version above the held one and who holds it.
    """

    def __init__(self, state, links, random, readers, note_offer):
        self.state = state
        self.links = links
        self.random = random
        self.readers = readers
        self.note_offer = note_offer
        self.partners = []

    async def run(self):
        """Offer each newer version to a few peers."""
        slots = asyncio.Semaphore(FAN_OUT * 4)
        async with asyncio.TaskGroup() as group:
            while True:
                await self.state.push_due.wait()
                self.state.push_due.clear()
                for peer in self.pick_partners():
                    await slots.acquire()
                    task = group.create_task(self.push(peer))
                    task.add_done_callback(lambda _: slots.release())

    def pick_partners(self):
        """Return a few peers to push to.

        They are drawn from a small lasting choice: a fresh draw from 13,000
        members for each version would open a new link nearly each time.
        """
        kept = [name for name in self.partners if self.state.members.get(name)]
        if len(kept) < PARTNERS:
            drawn = [
                member.name
                for member in random_peers(self.state.members, PARTNERS, self.random)
            ]
            kept += [name for name in drawn if name not in kept]
        self.partners = kept[:PARTNERS]
        chosen = self.random.sample(self.partners, min(FAN_OUT, len(self.partners)))
        return [self.state.members.get(name) for name in chosen]

    async def push(self, peer):
        """Offer the held version to a peer and hear what it holds."""
        self.state.counts["pushes"] += 1
        await self.exchange_offers(peer)

    async def exchange_offers(self, peer):
        """Return a peer's offer for the own, or None when that fails."""
        asked_at = self.state.clock()
        payload = self.state.own_offer().encode()
        try:
            answer = await self.links.request(peer, OFFER_TOPIC, payload, PEER_SECONDS)
            offer, _ = decode_offer(answer)
        except (ProtocolError, OSError, TimeoutError):
            self.state.counts["push_errors"] += 1
            return None
        if offer.version > self.state.version.latest.version:
            self.note_offer(offer.version, peer.name)
        self.state.receive_confirmation(offer, asked_at)
        return offer

    async def run_confirming(self):
        """While unconfirmed, ask the readers of the own domain."""
        while not self.state.confirmed:
            await asyncio.sleep(CONFIRM_SECONDS * self.random.uniform(0.5, 1.0))
            await self.ask_reader()

    async def ask_reader(self):
        """Ask one reader how recently the store vouched for its version."""
        readers = self.readers.other_readers()
        if readers:
            await self.exchange_offers(self.random.choice(readers))

    async def request_confirmation(self, peer, timeout):
        """Ask a peer the same, and wait no longer than some seconds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.exchange_offers(peer)
