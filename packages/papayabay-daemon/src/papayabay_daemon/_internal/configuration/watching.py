"""Follows whole versions that a store tells of as they are written."""

import asyncio
from typing import Protocol

import logbook

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_daemon._internal.outage import Outage

FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 2.0
"""Pauses after failed reads. At 2 s, 13,000 daemons that meet an outage ask
6,500 times a second: beyond what the store takes, but it is down then, and a
version written the moment it is back is wanted within seconds."""
log = logbook.Logger("papayabay.configuration")


class VersionWatch(Protocol):
    """A store that holds the newest version whole, and tells of changes."""

    async def load(self) -> Configuration:
        """Return the newest version, version 0 before any was written.

        Raises
        ------
        PlatformError
        PolicyError
            What is stored there can't be read.
        """

    async def changed(self) -> Configuration | None:
        """Wait for a change since the last load; None when none came.

        Raises as `load` does, and returns within seconds.
        """


class VersionWatcher:
    """Loads the newest version, then waits for newer ones.

    Every daemon watches. One that the store turns away hears of versions
    from its peers, as with `StoreReader`.

    Parameters
    ----------
    settings : DaemonSettings
    state : KeeperState
    watch : VersionWatch
    readers : Readers
        Not used: all members read.
    random : random.Random
    """

    def __init__(self, settings, state, watch, readers, random):
        self.state = state
        self.watch = watch
        self.random = random
        self.outage = Outage(log, "configuration store")
        self.loaded = False
        self.pause = FIRST_PAUSE_SECONDS

    async def load(self):
        """Load what the store has, if it answers."""
        await self.read(self.watch.load)

    async def run(self):
        """Follow the store until cancelled."""
        while True:
            following = self.watch.changed if self.loaded else self.watch.load
            if not await self.read(following):
                await asyncio.sleep(self.pause * self.random.uniform(0.5, 1.0))
                self.pause = min(LONGEST_PAUSE_SECONDS, self.pause * 2)

    async def read(self, following):
        """Take what one read brings; return whether the store answered."""
        self.state.counts["store_reads"] += 1
        try:
            configuration = await following()
        except PlatformError as error:
            self.loaded = False
            self.state.counts["store_errors"] += 1
            self.outage.failed(error)
            return False
        except PolicyError as error:
            # The store answered, with something that this release can't
            # read. It stays out of force, and the next change is awaited.
            self.state.version.refuse(error)
        else:
            if configuration is not None:
                self.take(configuration)
        self.loaded = True
        self.pause = FIRST_PAUSE_SECONDS
        self.outage.worked()
        return True

    def take(self, configuration):
        """Take a version, and note that the store vouched for it."""
        self.state.take_whole(configuration)
        if configuration.version == self.state.version.held.version:
            self.state.confirm(0.0)
