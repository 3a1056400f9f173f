"""Finds other members by the seed rows and evens out differences."""

import asyncio

import logbook

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.membership.detector import wait_event
from papayabay_daemon._internal.membership.sampling import random_peers
from papayabay_daemon._internal.membership.seeds import REFRESH_SECONDS

RECONCILE_PERIODS = 30
"""Gossip periods between two exchanges of differences with a random member."""
RECONCILE_FIRST_PERIODS = 0.5
"""The same after a start, when much is new."""
JOIN_FIRST_SECONDS = 0.5
"""First pause between two tries to meet somebody."""
JOIN_MAX_SECONDS = 2.0
"""Longest delay between two tries while this daemon is alone."""
SEEDS_MET = 16
"""Seeds that a starting daemon contacts: all of a small fleet. A single seed
knows only the members that started before it."""
SEED_TURN_SECONDS = 0.1
"""How long one seed has to answer before the next is asked for the whole list
too."""
SEED_FIRST_SECONDS = 2.0
"""First pause before the row's upkeep, doubled up to `REFRESH_SECONDS`."""
KEEP_JITTER_SECONDS = 0.5
"""Longest random delay before a row is read again or written, so that the
first daemon of a domain spares the others the write."""
log = logbook.Logger("papayabay.membership")


class Joining:
    """Joins, keeps the seed row and reconciles with random members.

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
        Those in the rows when this daemon last tried to join.
    """

    def __init__(self, table, seeds, exchange, period, random):
        self.table = table
        self.seeds = seeds
        self.exchange = exchange
        self.period = period
        self.random = random
        self.exchange_errors = 0
        self.listed_seeds = []
        self.store_came_back = asyncio.Event()
        seeds.table.era.listeners.append(self.store_came_back.set)

    async def run_seeds(self):
        """Join, then keep the seed row and look for parted members."""
        pause = JOIN_FIRST_SECONDS
        while not await self.join():
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.0))
            pause = min(JOIN_MAX_SECONDS, pause * 2)
        log.info("joined with {} live members", self.table.live_count())
        pause = SEED_FIRST_SECONDS
        while True:
            longest = pause * self.random.uniform(0.5, 1.0)
            await wait_event(self.store_came_back, longest)
            await self.tend_seeds()
            pause = min(REFRESH_SECONDS, pause * 2)

    async def join(self):
        """Return whether this daemon is in touch with a member.

        One that finds no seed at all looks once more after a short random
        wait: when a whole fleet starts at once, all find the rows empty, and
        the few that write first spare the others their writes. Still alone,
        it writes itself down, since another may be just doing the same.
        """
        rows = await self.meet_seeds()
        if rows is not None and not self.seeds.others(rows):
            await self.rest()
            rows = await self.meet_seeds()
        joined = self.table.live_count() > 1
        if rows is not None and self.seeds.is_due(rows):
            await self.keep_row(joined)
        return joined

    async def meet_seeds(self):
        """Read the seed rows and speak to the seeds in them.

        Returns
        -------
        list of Row or None
            None when the store fails.
        """
        rows = await self.seeds.read()
        seeds = self.listed_seeds = self.seeds.others(rows or ())
        if seeds:
            await self.join_any(seeds)
        return rows

    async def keep_row(self, joined):
        """Keep the seed row.

        Parameters
        ----------
        joined : bool
            Those who have just met find the row of their domain short all
            together; a random wait leaves the writing to the first.
        """
        if joined:
            await self.rest()
        await self.seeds.keep()

    async def rest(self):
        """Wait for a short random time."""
        await asyncio.sleep(self.random.uniform(0, KEEP_JITTER_SECONDS))

    async def join_any(self, seeds):
        """Fetch the members from one of some seeds, and meet the others.

        The others are asked for differences only: in a fleet of thousands a
        whole list is a megabyte.
        """
        drawn = self.random.sample(seeds, min(len(seeds), SEEDS_MET))
        met = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for turn, seed in enumerate(drawn):
                peer = self.table.get(seed.name) or seed.as_member()
                group.create_task(self.meet(peer, turn, met))

    async def meet(self, peer, turn, met):
        """Exchange lists with one of several seeds.

        Parameters
        ----------
        peer : Member
        turn : int
            How many are asked before it.
        met : asyncio.Event
            Set once one of them has told the whole list.
        """
        await wait_event(met, turn * SEED_TURN_SECONDS)
        exchange = self.exchange.reconcile if met.is_set() else self.exchange.join
        if await self.exchange_with(exchange, peer):
            met.set()

    async def exchange_with(self, exchange, peer):
        """Return whether an exchange with a peer went through."""
        try:
            await exchange(peer)
        except (ProtocolError, OSError, TimeoutError):
            self.exchange_errors += 1
            return False
        return True

    async def tend_seeds(self):
        """Do the row's upkeep when it falls to this daemon, or when alone.

        Parts of a cluster that never met, or were parted for longer than
        the dead are remembered, can only find each other in the rows. A store
        that has come back from an older copy may have lost them, and who
        hears of it first looks, whoever's turn it is.
        """
        alone = self.table.live_count() == 1
        lost = self.store_came_back.is_set()
        self.store_came_back.clear()
        if not (alone or lost or self.seeds.is_writer()):
            return
        rows = await self.seeds.read()
        others = self.seeds.others(rows or ())
        strange = [seed for seed in others if self.table.get(seed.name) is None]
        if strange:
            await self.join_any(strange)
        if rows is not None and self.seeds.is_due(rows):
            await self.keep_row(joined=not alone)

    async def run_reconcile(self):
        """Even out differences with a random member now and then.

        More often at first: when many start at once, each is told of by a
        few sends among the few that it then knows, and some are missed.
        """
        periods = RECONCILE_FIRST_PERIODS
        while True:
            pause = self.period * periods
            await asyncio.sleep(pause * self.random.uniform(0.75, 1.25))
            for peer in random_peers(self.table, 1, self.random):
                await self.exchange_with(self.exchange.reconcile, peer)
            periods = min(RECONCILE_PERIODS, periods * 2)
