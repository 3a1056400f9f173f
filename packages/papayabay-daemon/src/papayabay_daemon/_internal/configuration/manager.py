"""Keeps the configuration of this daemon up to date and propagates it."""

import asyncio
import math

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.configuration.answering import Answering
from papayabay_daemon._internal.configuration.confirming import Confirmer
from papayabay_daemon._internal.configuration.pulling import Puller
from papayabay_daemon._internal.configuration.pushing import Pusher
from papayabay_daemon._internal.configuration.readers import Readers
from papayabay_daemon._internal.configuration.state import ConfigurationState
from papayabay_daemon._internal.configuration.store import StoreReader


class ConfigurationManager:
    """The configuration of this daemon, and its propagation to others.

    Parameters
    ----------
    settings : DaemonSettings
    log : ConfigurationLog or VersionWatch
    members : Membership
        Beyond the methods of `Members`, `on_newer_configuration`,
        `on_contact` and `set_configuration` are used.
    links : Links
    random : random.Random
    clock : callable
        Returns the time in seconds, including the time that the machine was
        suspended.
    version_reader : type
        Class that reads `log`: `StoreReader`, or `VersionWatcher` for a
        `VersionWatch`.
    """

    def __init__(
        self,
        settings,
        log,
        members,
        links,
        random,
        clock=now,
        version_reader=StoreReader,
    ):
        self.state = ConfigurationState(members, clock)
        self.version = self.state.version
        self.loaded = self.state.loaded
        self.counts = self.state.counts
        count = settings.timing.config_readers_per_domain
        period = settings.timing.gossip_period_ms / 1_000
        self.readers = Readers(members, count, clock, period)
        self.store = version_reader(settings, self.state, log, self.readers, random)
        self.puller = Puller(self.state, links, random)
        note_offer = self.puller.note_offer
        self.pusher = Pusher(self.state, links, random, self.readers, note_offer)
        self.confirmer = Confirmer(
            self.state,
            self.store,
            self.pusher,
            self.readers,
            self.puller.offers,
            random,
        )
        self.answering = Answering(self.state, links, note_offer)
        members.on_newer_configuration(note_offer)
        members.on_contact(self.puller.offers.record_contact)

    @property
    def current(self):
        """The configuration in force."""
        return self.version.current

    @property
    def policy(self):
        """The compiled policy in force."""
        return self.version.policy

    @property
    def applied_at(self):
        """Wall time at which the current version came in force, or 0."""
        return self.version.applied_at

    @property
    def confirmed(self):
        """Whether the store has confirmed a version since the start."""
        return self.state.confirmed

    @property
    def store_reachable(self):
        """Whether the last read of the store succeeded."""
        return not self.store.outage.active

    def gauges(self):
        """Return how far this daemon may be behind, in seconds.

        `in_force` is 0 while a newer version is known that can't be used.
        `confirmation_age_s` is left out before the first confirmation.
        """
        gauges = {
            "lag_s": self.state.lag.seconds(),
            "store_outage_s": self.store.outage.seconds(),
            "reader": int(self.readers.is_reader()),
            "in_force": int(not self.version.rejection),
        }
        age = self.state.staleness()
        return gauges | ({"confirmation_age_s": age} if math.isfinite(age) else {})

    def on_change(self, callback):
        """Register a callback for each policy that comes in force."""
        self.version.listeners.append(callback)

    def apply_patches(self, patches):
        """Apply patches that are in the store; see `ConfigurationState`."""
        return self.state.apply_patches(patches)

    async def run(self):
        """Load a version, then read, pull and push until cancelled."""
        await self.load_first()
        self.loaded.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.store.run())
            group.create_task(self.puller.run())
            group.create_task(self.pusher.run())
            group.create_task(self.pusher.run_until_confirmed())
            group.create_task(self.confirmer.run())

    async def load_first(self):
        """Load from the store, or from peers while the store is down."""
        await self.store.load()
        if not self.confirmed:
            await self.puller.load_from_peers()

    def status(self):
        """Return the versions and the counters as plain values."""
        return {
            "version": self.version.current.version,
            "held_version": self.version.latest.version,
            "confirmed": self.confirmed,
            "applied_at": self.applied_at,
            "not_in_force": self.version.rejection,
            **self.gauges(),
            "reader": self.readers.is_reader(),
            "store_reachable": self.store_reachable,
            **self.counts,
        }
