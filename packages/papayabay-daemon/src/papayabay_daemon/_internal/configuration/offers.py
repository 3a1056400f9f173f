"""Versions that peers offer, and when each peer may be asked for its own."""

import asyncio
from dataclasses import dataclass

OFFERS_MAX = 64
FIRST_DELAY_SECONDS = 0.25
"""First delay after a failure, doubled by each further one."""
UNREACHABLE_MAX_SECONDS = 1.0
"""Longest delay of the next request to a peer that could not be reached. A
daemon has to be up to date within 3 s after a partition."""
UNUSABLE_MAX_SECONDS = 30.0
"""Longest delay before a version is fetched again that a peer does not have
or that this release can't decode. Every gossip packet offers it again."""


@dataclass(slots=True)
class PeerOffer:
    """The offer of one peer.

    Attributes
    ----------
    version : int
    failures : int
        Failed requests to the peer since its last success.
    retry_at : float
        Time before which the peer is not asked.
    lacks_version : bool
        Whether the peer was reached, but did not send what it offers.
    """

    version: int
    failures: int = 0
    retry_at: float = float("-inf")
    lacks_version: bool = False


@dataclass(slots=True)
class UndecodableVersion:
    """The highest version that could not be decoded.

    Attributes
    ----------
    version, failures : int
    retry_at : float
        Time before which it is fetched from no peer.
    """

    version: int = 0
    failures: int = 0
    retry_at: float = float("-inf")


class Offers:
    """The offers of newer versions, with a backoff for each kind of failure.

    Each peer has a backoff of its own, so that one that can't be reached does
    not delay the versions that others offer.

    Parameters
    ----------
    state : ConfigurationState
    random : random.Random

    Attributes
    ----------
    by_peer : dict of str to PeerOffer
    changed : asyncio.Event
        Set when a peer may have to be asked earlier than known before.
    """

    def __init__(self, state, random):
        self.state = state
        self.random = random
        self.by_peer = {}
        self.undecodable = UndecodableVersion()
        self.changed = asyncio.Event()

    def __len__(self):
        return len(self.by_peer)

    def clear(self):
        """Remove all offers."""
        self.by_peer.clear()

    def record(self, version, name):
        """Record the offer of a version above the own one."""
        offer = self.by_peer.get(name)
        if offer is None:
            if len(self.by_peer) >= OFFERS_MAX:
                return
            self.by_peer[name] = PeerOffer(version)
        elif version <= offer.version:
            return
        elif offer.lacks_version:
            self.by_peer[name] = PeerOffer(version)
        else:
            offer.version = version
        self.changed.set()

    def record_answer(self, version, name):
        """Record the version that a peer has, by its own answer.

        It may be lower than what it offered before, after a restart.
        """
        offer = self.by_peer.get(name)
        if offer is not None:
            offer.version = version

    def record_contact(self, name):
        """End the backoff of a peer that answers again."""
        offer = self.by_peer.get(name)
        if offer is not None and offer.failures and not offer.lacks_version:
            offer.failures = 0
            offer.retry_at = float("-inf")
            self.changed.set()

    def record_unreachable(self, name):
        """Record that a request to a peer failed; return the next delay."""
        return self.delay_peer(name, UNREACHABLE_MAX_SECONDS, lacks_version=False)

    def record_missing(self, name):
        """Record that a peer does not have the version that it offers."""
        return self.delay_peer(name, UNUSABLE_MAX_SECONDS, lacks_version=True)

    def delay_peer(self, name, longest, lacks_version):
        """Delay the next request to a peer; return the delay in seconds."""
        offer = self.by_peer.get(name)
        if offer is None:
            return 0.0
        delay = self.backoff(offer.failures, longest)
        offer.failures += 1
        offer.lacks_version = lacks_version
        offer.retry_at = self.state.clock() + delay
        return delay

    def record_undecodable(self, name):
        """Record that the offered version can't be decoded by this release.

        It delays requests to this peer, and to all that offer this version.
        """
        offer = self.by_peer.get(name)
        if offer is None:
            return 0.0
        known = self.undecodable
        if offer.version > known.version:
            known = self.undecodable = UndecodableVersion(offer.version)
        if offer.version == known.version:
            delay = self.backoff(known.failures, UNUSABLE_MAX_SECONDS)
            known.failures += 1
            known.retry_at = self.state.clock() + delay
        return self.record_missing(name)

    def backoff(self, failures, longest):
        """Return a delay with jitter, so that daemons do not ask at once."""
        delay = min(longest, FIRST_DELAY_SECONDS * 2 ** min(failures, 10))
        return delay * self.random.uniform(0.5, 1.0)

    def next_peer(self, asked):
        """Return the peer to ask now, or None.

        Peers without failures come first, then those with higher versions.

        Parameters
        ----------
        asked : collection of str
            Names of peers that are being asked.
        """
        self.drop_outdated()
        now = self.state.clock()
        due = [
            (offer.failures, -offer.version, name)
            for name, offer in self.by_peer.items()
            if name not in asked and self.due_at(offer) <= now
        ]
        return self.state.members.get(min(due)[2]) if due else None

    def seconds_until_due(self, asked):
        """Return the seconds until the next peer may be asked, or None."""
        due = [
            self.due_at(offer)
            for name, offer in self.by_peer.items()
            if name not in asked
        ]
        return max(0.0, min(due) - self.state.clock()) if due else None

    def due_at(self, offer):
        """Return when a peer may be asked for its offer."""
        if offer.version == self.undecodable.version:
            return max(offer.retry_at, self.undecodable.retry_at)
        return offer.retry_at

    def drop_outdated(self):
        """Remove offers of older versions and of members that are gone."""
        latest = self.state.version.latest.version
        self.by_peer = {
            name: offer
            for name, offer in self.by_peer.items()
            if offer.version > latest and self.state.members.get(name) is not None
        }
