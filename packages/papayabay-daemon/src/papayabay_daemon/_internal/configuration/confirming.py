"""Keeps the confirmation recent that the held version is the newest."""

import asyncio

from papayabay_daemon._internal.membership.detector import wait_event

READER_SHARE = 0.25
"""Part of the bound after which a reader has the store confirm the version."""
PEER_SHARE = 0.45
"""Part after which any other daemon in use asks a reader."""
STORE_SHARE = 0.6
"""Part after which it asks the store itself."""
TURN_SHARE = 0.05
"""Part by which each reader of the fleet waits longer than the one before it;
the first one's answer reaches the others with the answers to their calls."""
PEER_SECONDS = 0.3
"""How long a peer has to answer before the store is asked."""
MAX_READER_SHARE = 0.4
JITTER_SHARE = 0.1
"""Part over which all other daemons spread."""
SAFETY_SECONDS = 0.1
"""How long before the bound a confirmation is no longer relied on."""
REFRESH_SECONDS = 0.25
"""How long a request waits for a confirmation at most."""
RECHECK_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0


class Confirmer:
    """Renews confirmations while policy bounds their age.

    Parameters
    ----------
    state : ConfigurationState
    store : StoreReader or VersionWatcher
    pusher : Pusher
    readers : Readers
    offers : dict of str to int
        Versions above the held one, by the peer that holds them.
    random : random.Random
    """

    def __init__(self, state, store, pusher, readers, offers, random):
        self.offers = offers
        self.state = state
        self.store = store
        self.pusher = pusher
        self.readers = readers
        self.random = random
        self.wanted = asyncio.Event()
        self.used_at = float("-inf")
        self.pause = FIRST_PAUSE_SECONDS

    @property
    def bound(self):
        """Seconds that a confirmation holds; None without a bound."""
        bound_ms = self.state.version.policy.authentication.max_staleness_ms
        return None if bound_ms is None else bound_ms / 1_000

    def is_fresh(self):
        """Return whether the accounts known here may be relied on."""
        bound = self.bound
        return bound is None or self.state.staleness() <= bound - SAFETY_SECONDS

    def is_behind(self):
        """Return whether a peer is known to hold a newer version."""
        return bool(self.offers)

    async def ensure_fresh(self):
        """Return whether they may be, after a short wait if that helps."""
        self.used_at = self.state.clock()
        if self.is_fresh():
            return True
        self.wanted.set()
        self.state.reconfirmed.clear()
        await wait_event(self.state.reconfirmed, REFRESH_SECONDS)
        return self.is_fresh()

    async def run(self):
        """Renew until cancelled."""
        while True:
            self.wanted.clear()
            await wait_event(self.wanted, self.seconds_left())
            if not self.is_due():
                continue
            if await self.renew():
                self.pause = FIRST_PAUSE_SECONDS
                continue
            await asyncio.sleep(self.pause * self.random.uniform(0.5, 1.0))
            self.pause = min(MAX_PAUSE_SECONDS, self.pause * 2)

    def seconds_left(self):
        """Return how long the confirmation needs no renewal."""
        bound = self.bound
        if bound is None or not self.is_needed():
            return RECHECK_SECONDS
        share = self.due_share()
        if not self.readers.must_read():
            share += self.random.uniform(0.0, JITTER_SHARE)
        return min(max(0.0, bound * share - self.state.staleness()), RECHECK_SECONDS)

    def due_share(self):
        """Return the part of the bound after which this daemon asks."""
        if not self.readers.must_read():
            return PEER_SHARE
        share = READER_SHARE + self.readers.turn() * TURN_SHARE
        return min(share, MAX_READER_SHARE)

    def is_due(self):
        """Return whether the confirmation has to be renewed."""
        if self.bound is None or not self.is_needed():
            return False
        return self.state.staleness() >= self.bound * self.due_share()

    def is_needed(self):
        """Return whether the confirmation is used, here or by others."""
        in_use = self.state.clock() - self.used_at < self.bound
        return in_use or self.readers.include_local()

    async def renew(self):
        """Ask a peer, else the store; return whether that was enough.

        The fleet's first reader asks the store, the other readers the first
        one, and all others a reader of their own failure domain.
        """
        peer = self.peer_to_ask()
        if peer is not None:
            await self.pusher.ask_confirmation(peer, PEER_SECONDS)
        if peer is None or self.is_store_due():
            await self.store.confirm()
        return not self.is_due()

    def peer_to_ask(self):
        """Return the member that may have a newer confirmation, or None."""
        if self.readers.include_local():
            return self.readers.first_of_fleet()
        others = self.readers.others()
        return self.random.choice(others) if others else None

    def is_store_due(self):
        """Return whether what the peer knew leaves the store to be asked."""
        share = STORE_SHARE
        if self.readers.must_read():
            share = self.due_share()
        return self.state.staleness() >= self.bound * share
