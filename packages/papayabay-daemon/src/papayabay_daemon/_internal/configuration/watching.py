"""Follows whole versions that a store tells of as they are written."""

import asyncio
from typing import Protocol

import logbook

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_daemon._internal.outage import Outage

FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 2.0
"""Backoff after failed reads."""
SETTLE_SECONDS = 2.0
"""Delay of a new daemon's second read. By then it knows its failure domain,
and whether it is a reader."""
RECHECK_SECONDS = 0.25
"""How often a daemon checks whether it is a reader."""
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

    async def poll(self) -> Configuration | None:
        """Return a change since the last load at once; None without any."""


class VersionWatcher:
    """Loads the newest version, then waits for newer ones.

    Only the readers of a failure domain keep a request open at the store, and
    notify the others of the domain. So the store's load grows with the number
    of domains, not of daemons.

    Parameters
    ----------
    settings : DaemonSettings
    state : ConfigurationState
    watch : VersionWatch
    readers : Readers
    random : random.Random
    """

    def __init__(self, settings, state, watch, readers, random):
        self.state = state
        self.watch = watch
        self.readers = readers
        self.random = random
        self.outage = Outage(log, "configuration store")
        self.loaded = False
        self.newest = 0
        self.pause = FIRST_PAUSE_SECONDS

    async def load(self):
        """Load what the store has, if it answers."""
        await self.read(self.watch.load)

    async def run(self):
        """Follow the store while it falls to this daemon, until cancelled."""
        if self.loaded:
            await asyncio.sleep(SETTLE_SECONDS)
        while True:
            if self.readers.must_read():
                await self.follow()
            else:
                # The version last seen here is outdated by the next read.
                self.loaded = False
                await asyncio.sleep(RECHECK_SECONDS)

    async def follow(self):
        """Read once, and pause when the store does not answer."""
        following = self.watch.changed if self.loaded else self.watch.load
        if not await self.read(following):
            await asyncio.sleep(self.pause * self.random.uniform(0.5, 1.0))
            self.pause = min(LONGEST_PAUSE_SECONDS, self.pause * 2)

    async def confirm(self):
        """Have the store confirm the version; return whether it answered."""
        return await self.read(self.watch.poll if self.newest else self.watch.load)

    async def read(self, following):
        """Take what one read brings; return whether the store answered."""
        self.state.counts["store_reads"] += 1
        asked_at = self.state.clock()
        try:
            configuration = await following()
        except PlatformError as error:
            self.loaded = False
            self.state.counts["store_errors"] += 1
            self.outage.record_failure(error)
            return False
        except PolicyError as error:
            # The store answered, with something that this release can't
            # read. It stays out of force, and the next change is awaited.
            self.newest = 0
            self.state.version.refuse(error)
        else:
            if configuration is not None:
                self.take(configuration)
            if 0 < self.newest <= self.state.version.latest.version:
                self.state.confirm(asked_at)
        self.loaded = True
        self.pause = FIRST_PAUSE_SECONDS
        self.outage.record_success()
        return True

    def take(self, configuration):
        """Take a version, and pass it on if it is newer."""
        self.newest = configuration.version
        newer = configuration.version > self.state.version.latest.version
        self.state.apply_full_version(configuration)
        if newer:
            self.state.members.announce_version(self.readers.followers())
