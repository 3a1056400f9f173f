"""Polls the configuration store for newer versions."""

import asyncio

import logbook

from papayabay_core.configuration import CorruptRecord, UpgradeNeeded
from papayabay_core.exceptions import PlatformError, StaleVersion
from papayabay_daemon._internal.outage import Outage

LOAD_TIMEOUTS = 5
"""Time limit of a load or read, in multiples of the platform's timeout; each
consists of several requests."""
module_log = logbook.Logger("papayabay.configuration")


class StoreReader:
    """Loads the first version, then polls for newer ones on readers.

    Parameters
    ----------
    settings : DaemonSettings
    state : ConfigurationState
    log : ConfigurationLog
    readers : Readers
    random : random.Random
    """

    def __init__(self, settings, state, log, readers, random):
        self.poll_interval = settings.timing.config_poll_ms / 1_000
        self.timeout = settings.platform.timeout_ms / 1_000
        self.state = state
        self.log = log
        self.readers = readers
        self.random = random
        self.outage = Outage(module_log, "configuration store", state.clock)

    async def load(self):
        """Load the newest version from the store, if it answers."""
        asked_at = self.state.clock()
        try:
            async with asyncio.timeout(self.timeout * LOAD_TIMEOUTS):
                configuration = await self.log.load()
        except (UpgradeNeeded, CorruptRecord) as error:
            self.state.version.reject(error)
        except (PlatformError, TimeoutError) as error:
            self.note_failure(error)
        else:
            self.state.apply_full_version(configuration)
            if configuration.confirmed:
                self.state.confirm(asked_at)

    async def run(self):
        """Poll the head while this daemon has to read the store."""
        while True:
            await asyncio.sleep(self.poll_interval * self.random.uniform(0.9, 1.1))
            if self.readers.must_read():
                await self.read()
            else:
                self.readers.expire_loss()

    async def read(self):
        """Read newer versions; return whether the store answered."""
        self.state.counts["store_reads"] += 1
        try:
            async with asyncio.timeout(self.timeout * LOAD_TIMEOUTS):
                await self.read_head()
        except (UpgradeNeeded, CorruptRecord, StaleVersion) as error:
            self.state.version.reject(error)
        except (PlatformError, TimeoutError) as error:
            self.note_failure(error)
            return False
        else:
            self.outage.record_success()
            self.readers.record_access(True)
        return True

    async def confirm(self):
        """Have the store confirm the version; return whether it answered."""
        return await self.read()

    async def read_head(self):
        """Read the number of the newest version, and the patches up to it.

        The store may serve a read from a stale copy of the row. A number
        below the own version shows such a read, which is counted and ignored.
        """
        asked_at = self.state.clock()
        head = await self.log.head()
        latest = self.state.version.latest.version
        if head < latest:
            self.state.counts["stale_reads"] += 1
            return
        if head > latest:
            patches = await self.log.patches_after(latest)
            self.state.apply_patches(patches)
        if self.state.version.latest.version >= head:
            self.state.confirm(asked_at)

    def note_failure(self, error):
        """Count a failed access to the store."""
        self.state.counts["store_errors"] += 1
        self.outage.record_failure(error)
        self.readers.record_access(False)
