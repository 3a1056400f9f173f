"""Pulls of newer versions from the members that offer them."""

import asyncio

from papayabay_core.configuration import (
    UpgradeNeeded,
    decode_configuration,
    decode_patches,
)
from papayabay_core.exceptions import PlatformError, ProtocolError
from papayabay_daemon._internal.configuration.messages import (
    FULL_TOPIC,
    PEER_SECONDS,
    TAIL,
    TAIL_TOPIC,
    decode_chunk,
    decode_offer,
    encode_version,
)
from papayabay_daemon._internal.membership.sampling import random_peers

OFFERS_MAX = 64
FIRST_PEERS = 5
RETRY_SECONDS = 0.25
RETRY_MAX_SECONDS = 30.0


class Puller:
    """Remembers who offers what, and pulls the highest version.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    random : random.Random

    Attributes
    ----------
    offers : dict of str to int
        Versions above the held one, by member.
    """

    def __init__(self, state, links, random):
        self.state = state
        self.links = links
        self.random = random
        self.offers = {}
        self.offered = asyncio.Event()

    async def load_from_peers(self):
        """Ask several peers for all they hold and keep the highest.

        Not confirmed by that: the newest patch may be known to none of
        those that were asked.
        """
        peers = random_peers(self.state.members, FIRST_PEERS, self.random)
        start = encode_version(0)
        await asyncio.gather(*(self.fetch(peer, FULL_TOPIC, start) for peer in peers))

    def note_offer(self, version, name):
        """Remember that a member holds a newer version."""
        if version <= self.state.version.latest.version:
            self.state.counts["stale_offers"] += 1
            return
        if name in self.offers or len(self.offers) < OFFERS_MAX:
            self.offers[name] = version
            self.offered.set()

    async def run(self):
        """Pull from whoever offers the highest version.

        Every packet of gossip offers a version. One that can't be read here
        would be fetched several times a second for good; so each failure
        in a row doubles the wait.
        """
        wait = RETRY_SECONDS
        while True:
            await self.offered.wait()
            peer = self.next_offer()
            if peer is None:
                self.offered.clear()
            elif await self.pull(peer):
                wait = RETRY_SECONDS
            else:
                await asyncio.sleep(wait * self.random.random())
                wait = min(RETRY_MAX_SECONDS, wait * 2)

    def next_offer(self):
        """Return the member that offers the highest version, if any."""
        while self.offers:
            name = max(self.offers, key=self.offers.get)
            version = self.offers.pop(name)
            peer = self.state.members.get(name)
            if peer is not None and version > self.state.version.latest.version:
                return peer
        return None

    async def pull(self, peer):
        """Pull what a peer holds beyond the held version."""
        self.state.counts["pulls"] += 1
        after = encode_version(self.state.version.latest.version)
        return await self.fetch(peer, TAIL_TOPIC, after)

    async def fetch(self, peer, topic, payload):
        """Ask a peer and take its answer; return whether that worked.

        An answer that brings nothing although the peer claims more is a
        failure; it would otherwise be asked for again without a pause.
        """
        before = self.state.version.latest.version
        asked_at = self.state.clock()
        try:
            answer = await self.links.request(peer, topic, payload, PEER_SECONDS)
            offer = await self.take_answer(peer, answer, asked_at)
        except UpgradeNeeded as error:
            self.state.version.refuse(error)
        except (ProtocolError, PlatformError, OSError, TimeoutError) as error:
            self.state.counts["pull_errors"] += 1
            if isinstance(error.__context__, UpgradeNeeded):
                self.state.version.refuse(error)
        else:
            if offer.version > self.state.version.latest.version:
                self.note_offer(offer.version, peer.name)
            return self.state.version.latest.version >= min(offer.version, before + 1)
        return False

    async def take_answer(self, peer, answer, asked_at):
        """Take the patches or the whole version that a peer sent."""
        offer, body = decode_offer(answer)
        if body[:1] == TAIL:
            self.state.apply_patches(decode_patches(body[1:]))
        elif body:
            content = await self.fetch_rest(peer, offer.version, body)
            whole = decode_configuration(content, "a peer's version")
            self.state.apply_full_version(whole)
        if self.state.loaded.is_set():
            self.state.receive_confirmation(offer, asked_at)
        return offer

    async def fetch_rest(self, peer, version, body):
        """Return a whole version of which the first part is there."""
        total, part = decode_chunk(body, 0)
        content = bytearray(part)
        while len(content) < total:
            request = encode_version(len(content))
            answer = await self.links.request(peer, FULL_TOPIC, request, PEER_SECONDS)
            offer, body = decode_offer(answer)
            same_total, part = decode_chunk(body, len(content))
            if (offer.version, same_total) != (version, total):
                raise ProtocolError("the peer went on to another version")
            content += part
        return bytes(content)
