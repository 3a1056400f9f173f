"""Reads of the store by the readers of a failure domain."""

import asyncio

import logbook

from papayabay_core.configuration import CorruptRecord, UpgradeNeeded
from papayabay_core.exceptions import PlatformError, StaleVersion
from papayabay_daemon._internal.outage import Outage

LOAD_TIMEOUTS = 5
module_log = logbook.Logger("papayabay.configuration")


class StoreReader:
    """Loads the first version, then polls for newer ones.

    Parameters
    ----------
    settings : DaemonSettings
    state : ConfigurationState
    log : ConfigurationLog
    readers : Readers
    random : random.Random
    """

    def __init__(self, settings, state, log, readers, random):
        self.poll = settings.timing.config_poll_ms / 1_000
        self.timeout = settings.platform.timeout_ms / 1_000
        self.state = state
        self.log = log
        self.readers = readers
        self.random = random
        self.outage = Outage(module_log, "configuration store")

    async def load(self):
        """Load what the store has, if it answers."""
        asked_at = self.state.clock()
        try:
            async with asyncio.timeout(self.timeout * LOAD_TIMEOUTS):
                configuration = await self.log.load()
        except (UpgradeNeeded, CorruptRecord) as error:
            self.state.version.refuse(error)
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
        else:
            self.state.apply_full_version(configuration)
            if configuration.confirmed:
                self.state.confirm(asked_at)

    async def run(self):
        """Poll the head while this daemon is a reader of its domain."""
        while True:
            await asyncio.sleep(self.poll * self.random.uniform(0.9, 1.1))
            if self.readers.include_local():
                await self.read()

    async def read(self):
        """Read the head, and what follows it; return whether that worked."""
        self.state.counts["store_reads"] += 1
        try:
            async with asyncio.timeout(self.timeout * LOAD_TIMEOUTS):
                await self.read_head()
        except (UpgradeNeeded, CorruptRecord, StaleVersion) as error:
            self.state.version.refuse(error)
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
            return False
        else:
            self.outage.record_success()
        return True

    async def confirm(self):
        """Have the store confirm the version; return whether it answered."""
        return await self.read()

    async def read_head(self):
        """Compare the head with the held version.

        A read may be served from an old copy of the row. A head below the
        held version is such a read: it is counted and changes nothing.
        """
        asked_at = self.state.clock()
        head = await self.log.head()
        held = self.state.version.latest.version
        if head < held:
            self.state.counts["stale_reads"] += 1
            return
        if head > held:
            patches = await self.log.patches_after(held)
            self.state.apply_patches(patches)
        if self.state.version.latest.version >= head:
            self.state.confirm(asked_at)

    def failed(self, error):
        """Count a failure of the store."""
        self.state.counts["store_errors"] += 1
        self.outage.record_failure(error)
