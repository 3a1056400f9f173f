"""The latest version of this daemon and its confirmation by the store."""

import asyncio
import math

import logbook

from papayabay_core.utils.clock import whole_ms
from papayabay_daemon._internal.configuration.lag import VersionLag
from papayabay_daemon._internal.configuration.messages import Offer
from papayabay_daemon._internal.configuration.version import VersionInForce

FRESH_SECONDS = 10.0
"""Age up to which a confirmation is passed between daemons."""
RESTORED_STORE_SECONDS = 1.0
"""How long confirmations by a restored store are ignored. The store may have
lost its newest version; after this time this daemon knows of that version, if
any peer does."""
COUNTS = (
    "store_reads",
    "store_errors",
    "stale_reads",
    "pushes",
    "push_errors",
    "pulls",
    "pull_errors",
    "pulls_unusable",
    "stale_offers",
)
log = logbook.Logger("papayabay.configuration")


class ConfigurationState:
    """State that the parts of the configuration manager share.

    Parameters
    ----------
    members : Membership
    clock : callable
        Returns the time in seconds, including the time that the machine was
        suspended.

    Attributes
    ----------
    version : VersionInForce
    lag : VersionLag
    confirmed : bool
        Whether the store has confirmed a version since the start.
    confirmed_at : float
        Latest time up to which the store is known to have accepted no
        version above the own one.
    in_force_confirmed_at : float
        The same, while the own one was in force. The accounts in force are as
        old as this, however recently a version that can't be used was
        confirmed.
    distrusted_until : float
        Answers to earlier requests confirm nothing, as the store was restored
        from an older copy.
    reconfirmed : asyncio.Event
        Set by each confirmation.
    loaded : asyncio.Event
        Set once the first load has ended, successful or not.
    announced : int
        Latest version that was announced to the own failure domain.
    push_due : asyncio.Event
        Set when there is a newer version to push to peers.
    counts : dict of str to int
    """

    def __init__(self, members, clock):
        self.members = members
        self.clock = clock
        self.version = VersionInForce()
        self.lag = VersionLag(self.version, clock)
        self.confirmed = False
        self.confirmed_at = float("-inf")
        self.in_force_confirmed_at = float("-inf")
        self.distrusted_until = float("-inf")
        self.reconfirmed = asyncio.Event()
        self.loaded = asyncio.Event()
        self.announced = 0
        self.push_due = asyncio.Event()
        self.counts = dict.fromkeys(COUNTS, 0)

    def apply_full_version(self, configuration):
        """Apply a full version if it is newer, and propagate it."""
        if self.version.apply_full_version(configuration):
            self.propagate()

    def apply_patches(self, patches):
        """Apply patches that are in the store, such as one just committed.

        Returns
        -------
        int
            The latest version; lower than that of the last patch when
            patches in between are missing.
        """
        if self.version.apply_patches(patches):
            self.propagate()
        return self.version.latest.version

    def propagate(self):
        """Announce a newer version by gossip and pushes."""
        self.lag.record_version()
        self.members.set_configuration(self.version.latest.version)
        self.push_due.set()

    def confirm(self, asked_at):
        """Record that the store has no version above the own one.

        Parameters
        ----------
        asked_at : float
            When the store was asked. The answer may have been delayed, and
            does not cover what was committed in the meantime.
        """
        if asked_at < self.distrusted_until:
            return
        self.mark_confirmed()
        self.confirmed_at = max(asked_at, self.confirmed_at)
        if self.version.is_in_force:
            self.in_force_confirmed_at = self.confirmed_at
        self.reconfirmed.set()

    def mark_confirmed(self):
        """Record that the store has confirmed a version since the start."""
        if not self.confirmed:
            self.confirmed = True
            log.info(
                "configuration version {} is confirmed by the store",
                self.version.latest.version,
            )

    def staleness(self):
        """Return the seconds since the latest version was confirmed."""
        return self.clock() - self.confirmed_at

    def in_force_staleness(self):
        """Return the seconds since the version in force was the newest."""
        return self.clock() - self.in_force_confirmed_at

    def store_restored(self):
        """Ignore the store for a while, as it was restored from a copy."""
        self.confirmed_at = float("-inf")
        self.in_force_confirmed_at = float("-inf")
        self.distrusted_until = self.clock() + RESTORED_STORE_SECONDS

    def own_offer(self):
        """Return the latest version and its confirmation's age as an offer."""
        age = max(0.0, self.staleness())
        return Offer(self.version.latest.version, None if age == math.inf else age)

    def own_confirmation(self):
        """Return the latest version and the age of its confirmation.

        Returns
        -------
        (int, int) or None
            Version, and age in milliseconds. None while the policy sets no
            maximum staleness, or when the confirmation is too old to be
            passed on.
        """
        if self.version.policy.authentication.max_staleness_ms is None:
            return None
        age = max(0.0, self.staleness())
        if age > FRESH_SECONDS:
            return None
        return self.version.latest.version, whole_ms(age)

    def peer_confirmed(self, version, age_ms, asked_at):
        """Apply the confirmation that came with a peer's answer to a call.

        Parameters
        ----------
        version : int
        age_ms : int
            Age of the confirmation when the peer answered, which was not
            before it was asked.
        asked_at : float
        """
        if version <= self.version.latest.version:
            self.confirm(asked_at - age_ms / 1_000)

    def receive_confirmation(self, offer, asked_at=None):
        """Apply the confirmation in a peer's offer if it is recent.

        A confirmation from before a store outage does not cover what was
        committed since. Its age is passed on with it, so that it does not
        become fresh again by being passed between daemons.

        Parameters
        ----------
        offer : Offer
        asked_at : float or None
            When the peer was asked for the offer. None for an unsolicited
            offer, which may have been delayed by any time.
        """
        recent = offer.age is not None and offer.age <= FRESH_SECONDS
        if not recent or offer.version != self.version.latest.version:
            return
        self.mark_confirmed()
        if asked_at is not None:
            self.confirm(asked_at - offer.age)
