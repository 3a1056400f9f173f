"""Joins the cluster through seeds, and reconciles member tables."""

import asyncio

import logbook

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.membership.detector import wait_event
from papayabay_daemon._internal.membership.sampling import random_peers
from papayabay_daemon._internal.membership.seeds import REFRESH_SECONDS

RECONCILE_PERIODS = 30
"""Gossip periods between two reconciliations with a random member."""
RECONCILE_FIRST_PERIODS = 0.5
"""Gossip periods before the first reconciliation after a start, when much is
new; doubled up to `RECONCILE_PERIODS`."""
JOIN_FIRST_SECONDS = 0.5
"""First pause between two attempts to join."""
JOIN_MAX_SECONDS = 2.0
"""Longest pause between two attempts to join."""
SEEDS_CONTACTED = 16
"""Seeds that a starting daemon contacts: all of a small fleet. A single seed
knows only the members that started before it."""
SEED_STAGGER_SECONDS = 0.1
"""How long one seed has to answer before the next is asked for the full list
too."""
SEED_FIRST_SECONDS = 2.0
"""First pause before the seed row is maintained, doubled up to
`REFRESH_SECONDS`."""
ROW_JITTER_SECONDS = 0.5
"""Longest random delay before a row is read again or written, so that the
write of one daemon saves the others of its domain theirs."""
log = logbook.Logger("papayabay.membership")


class Joining:
    """Joins, maintains the seed row and reconciles with random members.

    Parameters
    ----------
    table : MemberTable
    seeds : SeedRows
    exchange : Exchange
    period : float
        Seconds of a gossip period.
    random : random.Random

    Attributes
    ----------
    exchange_errors : int
    listed_seeds : list of Seed
        Seeds in the rows at the last attempt to join.
    store_restored : asyncio.Event
        Set when the store has come back from an older copy.
    """

    def __init__(self, table, seeds, exchange, period, random):
        self.table = table
        self.seeds = seeds
        self.exchange = exchange
        self.period = period
        self.random = random
        self.exchange_errors = 0
        self.listed_seeds = []
        self.store_restored = asyncio.Event()
        seeds.table.era.listeners.append(self.store_restored.set)

    async def run_seeds(self):
        """Join, then maintain the seed row until cancelled."""
        pause = JOIN_FIRST_SECONDS
        while not await self.join():
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(JOIN_MAX_SECONDS, pause * 2)
        log.info("joined the cluster; {} live members", self.table.live_count())
        pause = SEED_FIRST_SECONDS
        while True:
            timeout = pause * self.random.uniform(0.5, 1.0)
            await wait_event(self.store_restored, timeout)
            await self.maintain_seeds()
            pause = min(REFRESH_SECONDS, pause * 2)

    async def join(self):
        """Contact the seeds; return whether another member is known.

        When a whole fleet starts at once, all daemons find the rows empty. So
        a daemon that finds no seed reads the rows once more after a short
        random delay; the few that write first save the others their writes.
        A daemon that still knows no member adds itself to the row, so that
        others that are starting can find it.
        """
        rows = await self.contact_seeds()
        if rows is not None and not self.seeds.other_seeds(rows):
            await self.jitter()
            rows = await self.contact_seeds()
        joined = self.table.live_count() > 1
        if rows is not None and self.seeds.needs_update(rows):
            await self.update_row(joined)
        return joined

    async def contact_seeds(self):
        """Read the seed rows and contact the seeds in them.

        Returns
        -------
        list of Row or None
            None when the store does not answer.
        """
        rows = await self.seeds.read()
        seeds = self.listed_seeds = self.seeds.other_seeds(rows or ())
        if seeds:
            await self.join_any(seeds)
        return rows

    async def update_row(self, joined):
        """Update the own domain's seed row.

        Parameters
        ----------
        joined : bool
            Whether this daemon knows other members. Daemons that have just
            joined all find too few seeds in their row; a random delay lets
            the first one write for all.
        """
        if joined:
            await self.jitter()
        await self.seeds.update_row()

    async def jitter(self):
        """Sleep for a short random time."""
        await asyncio.sleep(self.random.uniform(0, ROW_JITTER_SECONDS))

    async def join_any(self, seeds):
        """Fetch all members from one seed, and reconcile with the others.

        Only one sends its full list, which is a megabyte in a fleet of
        thousands; the others send differences.
        """
        sample = self.random.sample(seeds, min(len(seeds), SEEDS_CONTACTED))
        fetched = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for index, seed in enumerate(sample):
                peer = self.table.get(seed.name) or seed.as_member()
                group.create_task(self.contact(peer, index, fetched))

    async def contact(self, peer, index, fetched):
        """Fetch all members from a seed, or reconcile with it.

        Parameters
        ----------
        peer : Member
        index : int
            Number of seeds that are contacted before this one.
        fetched : asyncio.Event
            Set once one of the seeds has sent its full list.
        """
        await wait_event(fetched, index * SEED_STAGGER_SECONDS)
        exchange = self.exchange.reconcile if fetched.is_set() else self.exchange.join
        if await self.try_exchange(exchange, peer):
            fetched.set()

    async def try_exchange(self, exchange, peer):
        """Run an exchange with a peer; return whether it succeeded."""
        try:
            await exchange(peer)
        except (ProtocolError, OSError, TimeoutError):
            self.exchange_errors += 1
            return False
        return True

    async def maintain_seeds(self):
        """Contact unknown seeds and update the seed row.

        This is done by the writer of the row, and by a daemon that knows no
        other member. Parts of a cluster that never had contact, or that were
        partitioned for longer than tombstones last, can find each other only
        through the rows. A store that was restored from an older copy may
        have lost the rows; then every daemon that learns of it checks them.
        """
        alone = self.table.live_count() == 1
        restored = self.store_restored.is_set()
        self.store_restored.clear()
        if not (alone or restored or self.seeds.is_writer()):
            return
        rows = await self.seeds.read()
        others = self.seeds.other_seeds(rows or ())
        unknown = [seed for seed in others if self.table.get(seed.name) is None]
        if unknown:
            await self.join_any(unknown)
        if rows is not None and self.seeds.needs_update(rows):
            await self.update_row(joined=not alone)

    async def run_reconcile(self):
        """Reconcile with a random member periodically, until cancelled.

        It is done more often after a start. When many daemons start at once,
        each is announced by a few packets among the few members that it knows
        at that time, and some members miss them.
        """
        periods = RECONCILE_FIRST_PERIODS
        while True:
            pause = self.period * periods
            await asyncio.sleep(pause * self.random.uniform(0.75, 1.25))
            for peer in random_peers(self.table, 1, self.random):
                await self.try_exchange(self.exchange.reconcile, peer)
            periods = min(RECONCILE_PERIODS, periods * 2)
