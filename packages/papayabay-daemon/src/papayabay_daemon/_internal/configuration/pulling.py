"""Pulls newer versions from the members that offer them."""

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
"""Peers from which a daemon loads when the store is down at its start."""
RETRY_SECONDS = 0.25
RETRY_MAX_SECONDS = 30.0
"""Backoff after failed pulls."""


class Puller:
    """Collects the offers of members, and pulls the highest version.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    random : random.Random

    Attributes
    ----------
    offers : dict of str to int
        Versions above the own one, by the name of the member.
    failure : str
        Why the last request failed.
    """

    def __init__(self, state, links, random):
        self.state = state
        self.links = links
        self.random = random
        self.offers = {}
        self.offered = asyncio.Event()
        self.failure = ""

    async def load_from_peers(self):
        """Fetch the full versions of several peers; the highest one stays.

        This does not confirm it as the newest version, since possibly none
        of these peers has the newest patch.
        """
        peers = random_peers(self.state.members, FIRST_PEERS, self.random)
        start = encode_version(0)
        await asyncio.gather(*(self.fetch(peer, FULL_TOPIC, start) for peer in peers))

    def note_offer(self, version, name):
        """Record that a member offers a newer version."""
        if version <= self.state.version.latest.version:
            self.state.counts["stale_offers"] += 1
            return
        self.state.lag.record_offer(version)
        if name in self.offers or len(self.offers) < OFFERS_MAX:
            self.offers[name] = version
            self.offered.set()

    async def run(self):
        """Pull from the member that offers the highest version.

        Every gossip packet offers a version. A version that can't be decoded
        here would be fetched several times a second forever, so each further
        failure doubles the backoff.
        """
        backoff = RETRY_SECONDS
        while True:
            await self.offered.wait()
            peer = self.next_offer()
            if peer is None:
                self.offered.clear()
            elif await self.pull(peer):
                backoff = RETRY_SECONDS
            else:
                delay = backoff * self.random.random()
                self.state.lag.record_failure(peer.name, self.failure, delay)
                await asyncio.sleep(delay)
                backoff = min(RETRY_MAX_SECONDS, backoff * 2)

    def next_offer(self):
        """Remove the highest offer and return its member, or None.

        Offers of members that are gone and of older versions are dropped.
        """
        while self.offers:
            name = max(self.offers, key=self.offers.get)
            version = self.offers.pop(name)
            peer = self.state.members.get(name)
            if peer is not None and version > self.state.version.latest.version:
                return peer
        return None

    async def pull(self, peer):
        """Pull the patches after the latest version from a peer."""
        self.state.counts["pulls"] += 1
        after = encode_version(self.state.version.latest.version)
        return await self.fetch(peer, TAIL_TOPIC, after)

    async def fetch(self, peer, topic, payload):
        """Send a request to a peer and apply its answer.

        Returns
        -------
        bool
            Whether the request succeeded. An answer without any newer version
            is a failure if the peer offers one, as it would otherwise be
            requested again without a backoff.
        """
        previous = self.state.version.latest.version
        asked_at = self.state.clock()
        try:
            answer = await self.links.request(peer, topic, payload, PEER_SECONDS)
            offer = await self.apply_answer(peer, answer, asked_at)
        except UpgradeNeeded as error:
            self.failure = str(error)
            self.state.counts["pulls_unusable"] += 1
            self.state.version.reject(error)
        except (ProtocolError, PlatformError, OSError, TimeoutError) as error:
            self.failure = str(error) or type(error).__name__
            self.state.counts["pull_errors"] += 1
            if isinstance(error.__context__, UpgradeNeeded):
                self.state.version.reject(error)
        else:
            if offer.version > self.state.version.latest.version:
                self.note_offer(offer.version, peer.name)
            self.failure = f"the answer held no version above {previous}"
            return self.state.version.latest.version >= min(offer.version, previous + 1)
        return False

    async def apply_answer(self, peer, answer, asked_at):
        """Apply the patches or the full version that a peer sent."""
        offer, body = decode_offer(answer)
        if body[:1] == TAIL:
            self.state.apply_patches(decode_patches(body[1:]))
        elif body:
            content = await self.fetch_chunks(peer, offer.version, body)
            configuration = decode_configuration(content, "a peer's version")
            self.state.apply_full_version(configuration)
        if self.state.loaded.is_set():
            self.state.receive_confirmation(offer, asked_at)
        return offer

    async def fetch_chunks(self, peer, version, body):
        """Fetch the rest of an encoded full version and return all of it.

        Parameters
        ----------
        peer : Member
        version : int
        body : bytes
            The first chunk, as it was sent.
        """
        total, chunk = decode_chunk(body, 0)
        content = bytearray(chunk)
        while len(content) < total:
            request = encode_version(len(content))
            answer = await self.links.request(peer, FULL_TOPIC, request, PEER_SECONDS)
            offer, body = decode_offer(answer)
            new_total, chunk = decode_chunk(body, len(content))
            if (offer.version, new_total) != (version, total):
                raise ProtocolError(
                    f"peer changed from version {version} to {offer.version} "
                    f"between two chunks"
                )
            content += chunk
        return bytes(content)
