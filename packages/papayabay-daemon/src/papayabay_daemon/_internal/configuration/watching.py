"""Follows full versions in a store that notifies its readers of changes."""

import asyncio
from typing import Protocol

import logbook

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_daemon._internal.configuration.wait_schedule import WaitSchedule
from papayabay_daemon._internal.outage import Outage

FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
"""Backoff after failed reads."""
SETTLE_SECONDS = 2.0
"""Delay of a new daemon's second read. By then it knows the members of its
failure domain, and whether it is a reader."""
RECHECK_SECONDS = 0.25
"""How often a daemon checks whether it is a reader."""
CHANGE_LAG_SECONDS = 1.0
"""Time after which a request for changes counts as unanswered when a newer
version has come from a peer."""
log = logbook.Logger("papayabay.configuration")


class VersionWatch(Protocol):
    """A store that has the newest version in full, and reports changes.

    Attributes
    ----------
    max_wait : float
        Longest wait for a change, in seconds.
    """

    max_wait: float

    async def load(self) -> Configuration:
        """Return the newest version, version 0 before any was written.

        Raises
        ------
        PlatformError
        PolicyError
            When the stored version can't be read.
        """

    async def changed(self, share: float) -> Configuration | None:
        """Wait for a change since the last load, for some seconds at most.

        Returns None when there was no change, and raises the same exceptions
        as `load`.

        Parameters
        ----------
        share : float
            Share of the longest wait that the store allows.
        """

    async def poll(self) -> Configuration | None:
        """Return the change since the last load, or None; doesn't wait."""


class VersionWatcher:
    """Loads the newest version, then waits for newer ones.

    Only the readers of a failure domain keep a request to the store open, and
    they notify the other members of the domain. So the load of the store
    grows with the number of domains, not of daemons.

    Parameters
    ----------
    settings : DaemonSettings
    state : ConfigurationState
    watch : VersionWatch
    readers : Readers
    random : random.Random

    Attributes
    ----------
    loaded : bool
        Whether the next read may wait for a change, rather than load.
    stored_version : int
        Version that the store returned last; 0 if it can't be read.
    schedule : WaitSchedule
        When the next request for changes has to end.
    waiting : asyncio.Timeout or None
        Timeout of the request for changes that is in flight.
    """

    def __init__(self, settings, state, watch, readers, random):
        self.state = state
        self.watch = watch
        self.readers = readers
        self.random = random
        self.outage = Outage(log, "configuration store", state.clock)
        self.loaded = False
        self.stored_version = 0
        self.schedule = WaitSchedule(readers, state.clock, watch.max_wait)
        self.waiting = None
        self.pause = FIRST_PAUSE_SECONDS
        state.version.listeners.append(self.expect_change)

    async def load(self):
        """Load the newest version from the store, if it answers."""
        await self.read(self.watch.load)

    async def run(self):
        """Follow the store while this daemon has to read it."""
        if self.loaded:
            await asyncio.sleep(SETTLE_SECONDS)
        self.schedule.reset()
        while True:
            if self.readers.must_read():
                await self.follow()
            else:
                # The last version read here will be stale when it becomes a
                # reader again.
                self.loaded = False
                self.schedule.reset()
                self.readers.expire_loss()
                await asyncio.sleep(RECHECK_SECONDS)

    async def follow(self):
        """Read once, and back off when the store does not answer.

        The backoff begins with the request: one that was not answered has
        spaced the next one already.
        """
        started = self.state.clock()
        request = self.wait_for_change if self.loaded else self.watch.load
        if not await self.read(request):
            pause = self.pause * self.random.uniform(0.5, 1.0)
            await asyncio.sleep(max(0.0, started + pause - self.state.clock()))
            self.pause = min(MAX_PAUSE_SECONDS, self.pause * 2)

    async def wait_for_change(self):
        """Wait for a change in the store.

        Raises
        ------
        PlatformError
            Also when a peer has had a newer version for a while: the store
            has then not answered this request.
        """
        share = self.schedule.start_wait()
        try:
            async with asyncio.timeout(None) as self.waiting:
                configuration = await self.watch.changed(share)
        except TimeoutError:
            raise PlatformError(
                f"no answer {CHANGE_LAG_SECONDS:.1f} s after a newer version came "
                f"from a peer"
            ) from None
        except PolicyError:
            self.schedule.record_change()
            raise
        finally:
            self.waiting = None
        if configuration is None:
            self.schedule.record_unchanged()
        else:
            self.schedule.record_change()
        return configuration

    def expect_change(self, policy):
        """Limit the wait for a change after a peer has sent one."""
        self.schedule.record_change(self.state.lag.since)
        if self.waiting is not None and self.waiting.when() is None:
            loop = asyncio.get_running_loop()
            self.waiting.reschedule(loop.time() + CHANGE_LAG_SECONDS)

    async def confirm(self):
        """Have the store confirm the version; return whether it answered."""
        return await self.read(
            self.watch.poll if self.stored_version else self.watch.load
        )

    async def read(self, request):
        """Make one request to the store and apply the version it returns.

        Parameters
        ----------
        request : callable
            A method of `watch`.

        Returns
        -------
        bool
            Whether the store answered.
        """
        self.state.counts["store_reads"] += 1
        asked_at = self.state.clock()
        try:
            configuration = await request()
        except PlatformError as error:
            self.loaded = False
            self.state.counts["store_errors"] += 1
            self.outage.record_failure(error)
            self.readers.record_access(False)
            return False
        except PolicyError as error:
            # The store answered with a version that this release can't read.
            # It does not come in force; wait for the next change.
            self.stored_version = 0
            self.state.version.reject(error)
        else:
            if configuration is not None:
                self.apply(configuration)
            if 0 < self.stored_version <= self.state.version.latest.version:
                self.state.confirm(asked_at)
        self.loaded = True
        self.pause = FIRST_PAUSE_SECONDS
        self.outage.record_success()
        self.readers.record_access(True)
        return True

    def apply(self, configuration):
        """Apply a version, and announce it to the domain if it is newer."""
        self.stored_version = configuration.version
        newer = configuration.version > self.state.version.latest.version
        self.state.apply_full_version(configuration)
        if newer:
            self.state.announced = configuration.version
            self.state.members.announce_version(self.readers.followers())
