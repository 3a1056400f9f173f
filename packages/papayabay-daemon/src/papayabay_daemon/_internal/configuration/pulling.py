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
    TAIL,
    TAIL_TOPIC,
    decode_chunk,
    decode_offer,
    encode_version,
)
from papayabay_daemon._internal.configuration.offers import Offers
from papayabay_daemon._internal.configuration.requesting import request_peer
from papayabay_daemon._internal.membership.detector import wait_event
from papayabay_daemon._internal.membership.sampling import random_peers

FIRST_PEERS = 5
"""Peers from which a daemon loads when the store is down at its start."""
MAX_PULLS = 3
"""Peers that are asked for a newer version at the same time."""
HEDGE_SECONDS = 0.25
"""Time after which another peer is asked beside one that has not answered.
A link that went silent fails only after a second or two."""


class Puller:
    """Pulls newer versions from the members that offer them.

    Parameters
    ----------
    state : ConfigurationState
    links : Links
    random : random.Random

    Attributes
    ----------
    offers : Offers
    asked : set of str
        Names of the members that are being asked.
    """

    def __init__(self, state, links, random):
        self.state = state
        self.links = links
        self.random = random
        self.offers = Offers(state, random)
        self.asked = set()

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
        self.offers.record(version, name)

    async def run(self):
        """Pull from the members that offer newer versions, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                peer = await self.wait_for_peer()
                task = group.create_task(self.ask(peer))
                await asyncio.wait([task], timeout=HEDGE_SECONDS)

    async def wait_for_peer(self):
        """Return the next member to ask, once one may be asked."""
        while True:
            self.offers.changed.clear()
            delay = None
            if len(self.asked) < MAX_PULLS:
                peer = self.offers.next_peer(self.asked)
                if peer is not None:
                    return peer
                delay = self.offers.seconds_until_due(self.asked)
            await wait_event(self.offers.changed, delay)

    async def ask(self, peer):
        """Pull from one member, and let the next one be asked afterwards."""
        self.asked.add(peer.name)
        try:
            await self.pull(peer)
        finally:
            self.asked.discard(peer.name)
            self.offers.changed.set()

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
            answer = await request_peer(self.links, peer, topic, payload)
            offer = await self.apply_answer(peer, answer, asked_at)
        except UpgradeNeeded as error:
            return self.record_undecodable(peer, error)
        except (ProtocolError, PlatformError, OSError, TimeoutError) as error:
            if isinstance(error.__context__, UpgradeNeeded):
                return self.record_undecodable(peer, error)
            return self.record_unreachable(peer, error)
        self.offers.record_answer(offer.version, peer.name)
        if offer.version > self.state.version.latest.version:
            self.note_offer(offer.version, peer.name)
        if self.state.version.latest.version >= min(offer.version, previous + 1):
            return True
        delay = self.offers.record_missing(peer.name)
        reason = f"the answer held no version above {previous}"
        self.state.lag.record_failure(peer.name, reason, delay)
        return False

    def record_undecodable(self, peer, error):
        """Record a version that this release can't decode; return False."""
        self.state.counts["pulls_unusable"] += 1
        self.state.version.reject(error)
        delay = self.offers.record_undecodable(peer.name)
        self.state.lag.record_failure(peer.name, str(error), delay)
        return False

    def record_unreachable(self, peer, error):
        """Record a request that failed; return False."""
        self.state.counts["pull_errors"] += 1
        delay = self.offers.record_unreachable(peer.name)
        reason = str(error) or type(error).__name__
        self.state.lag.record_failure(peer.name, reason, delay)
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
            answer = await request_peer(self.links, peer, FULL_TOPIC, request)
            offer, body = decode_offer(answer)
            new_total, chunk = decode_chunk(body, len(content))
            if (offer.version, new_total) != (version, total):
                raise ProtocolError(
                    f"peer changed from version {version} to {offer.version} "
                    f"between two chunks"
                )
            content += chunk
        return bytes(content)
