"""Renews the confirmation that the latest version known here is the newest."""

import asyncio

from papayabay_daemon._internal.membership.detector import wait_event

READER_SHARE = 0.25
"""Share of the maximum staleness after which the first reader of the fleet
has the store confirm the version."""
PEER_SHARE = 0.45
"""Share after which a daemon that is no reader asks one."""
STORE_SHARE = 0.6
"""Share after which a daemon that is no reader asks the store itself."""
READER_STEP_SHARE = 0.05
"""Share by which each reader of the fleet waits longer than the one before it,
since the first one's answer reaches the others with the answers to their
calls."""
PEER_SECONDS = 0.3
"""How long a peer has to answer before the store is asked."""
MAX_READER_SHARE = 0.4
"""Share after which every reader renews its confirmation."""
JITTER_SHARE = 0.1
"""Share over which the renewals of daemons that are no readers are spread."""
SAFETY_SECONDS = 0.1
"""How long before the maximum staleness a confirmation counts as expired."""
REFRESH_SECONDS = 0.25
"""Longest time that a request waits for a new confirmation."""
RECHECK_SECONDS = 1.0
"""Longest time between two checks whether a renewal is due."""
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
"""Backoff after failed renewals."""


class Confirmer:
    """Renews confirmations while the policy sets a maximum staleness.

    Parameters
    ----------
    state : ConfigurationState
    store : StoreReader or VersionWatcher
    pusher : Pusher
    readers : Readers
    offers : Offers
    random : random.Random
    """

    def __init__(self, state, store, pusher, readers, offers, random):
        self.offers = offers
        self.state = state
        self.store = store
        self.pusher = pusher
        self.readers = readers
        self.random = random
        self.requested = asyncio.Event()
        self.used_at = float("-inf")
        self.pause = FIRST_PAUSE_SECONDS

    @property
    def max_staleness(self):
        """Seconds for which a confirmation is valid; None without a limit."""
        limit_ms = self.state.version.policy.authentication.max_staleness_ms
        return None if limit_ms is None else limit_ms / 1_000

    def is_fresh(self):
        """Return whether the accounts known here are recent enough to use."""
        limit = self.max_staleness
        if limit is None:
            return True
        return self.state.in_force_staleness() <= limit - SAFETY_SECONDS

    def is_behind(self):
        """Return whether a newer version than the one in force is known."""
        return bool(self.offers or self.state.version.rejection)

    async def ensure_fresh(self):
        """Return whether the accounts known here are recent enough to use.

        If they are not, wait up to `REFRESH_SECONDS` for a new confirmation.
        """
        self.used_at = self.state.clock()
        if self.is_fresh():
            return True
        if not self.state.version.is_in_force:
            # No confirmation makes the accounts in force recent.
            return False
        self.requested.set()
        self.state.reconfirmed.clear()
        await wait_event(self.state.reconfirmed, REFRESH_SECONDS)
        return self.is_fresh()

    async def run(self):
        """Renew the confirmation whenever it is due, until cancelled."""
        while True:
            self.requested.clear()
            await wait_event(self.requested, self.seconds_until_due())
            if not self.is_due():
                continue
            if await self.renew():
                self.pause = FIRST_PAUSE_SECONDS
                continue
            await asyncio.sleep(self.pause * self.random.uniform(0.5, 1.0))
            self.pause = min(MAX_PAUSE_SECONDS, self.pause * 2)

    def seconds_until_due(self):
        """Return the seconds until the next renewal or check."""
        limit = self.max_staleness
        if limit is None or not self.is_in_use():
            return RECHECK_SECONDS
        share = self.renewal_share()
        if not self.readers.must_read():
            share += self.random.uniform(0.0, JITTER_SHARE)
        return min(max(0.0, limit * share - self.state.staleness()), RECHECK_SECONDS)

    def renewal_share(self):
        """Return the share of the maximum staleness after which to renew."""
        if not self.readers.must_read():
            return PEER_SHARE
        share = READER_SHARE + self.readers.fleet_index() * READER_STEP_SHARE
        return min(share, MAX_READER_SHARE)

    def is_due(self):
        """Return whether the confirmation has to be renewed."""
        if self.max_staleness is None or not self.is_in_use():
            return False
        return self.state.staleness() >= self.max_staleness * self.renewal_share()

    def is_in_use(self):
        """Return whether this daemon or others rely on the confirmation."""
        used_here = self.state.clock() - self.used_at < self.max_staleness
        return used_here or self.readers.is_reader()

    async def renew(self):
        """Ask a peer, or else the store; return whether that was enough.

        The first reader of the fleet asks the store, the other readers ask
        the first one, and all other daemons ask a reader of their own failure
        domain.
        """
        peer = self.choose_peer()
        if peer is not None:
            await self.pusher.request_confirmation(peer, PEER_SECONDS)
        if peer is None or self.is_store_due():
            await self.store.confirm()
        return not self.is_due()

    def choose_peer(self):
        """Return the reader to ask for a newer confirmation, or None."""
        if self.readers.is_reader():
            return self.readers.first_of_fleet()
        others = self.readers.other_readers()
        return self.random.choice(others) if others else None

    def is_store_due(self):
        """Return whether the store has to be asked after a peer was."""
        share = STORE_SHARE
        if self.readers.must_read():
            share = self.renewal_share()
        return self.state.staleness() >= self.max_staleness * share
