"""What this daemon holds, and how far the store has vouched for it."""

import asyncio
import math

import logbook

from papayabay_core.utils.clock import whole_ms
from papayabay_daemon._internal.configuration.messages import Offer
from papayabay_daemon._internal.configuration.version import VersionInForce

FRESH_SECONDS = 10.0
RESTORED_STORE_SECONDS = 1.0
"""How long a restored store confirms nothing. It may have lost its newest
version; by then this daemon knows of it, if any peer does."""
COUNTS = (
    "store_reads",
    "store_errors",
    "stale_reads",
    "pushes",
    "push_errors",
    "pulls",
    "pull_errors",
    "stale_offers",
)
log = logbook.Logger("papayabay.configuration")


class ConfigurationState:
    """What the parts of the keeper share.

    Parameters
    ----------
    members : Membership
    clock : callable
        Seconds, counting suspended time.

    Attributes
    ----------
    version : VersionInForce
    confirmed : bool
        Whether the store has confirmed a version since the start.
    confirmed_at : float
        Latest time before which the store is known to have accepted no
        version that is newer than the held one.
    reconfirmed : asyncio.Event
        Set with each confirmation.
    loaded : asyncio.Event
        Set once the first load has ended.
    push_due : asyncio.Event
        Set when there is a newer version to pass on.
    counts : dict of str to int
    """

    def __init__(self, members, clock):
        self.members = members
        self.clock = clock
        self.version = VersionInForce()
        self.confirmed = False
        self.confirmed_at = float("-inf")
        self.distrusted_until = float("-inf")
        self.reconfirmed = asyncio.Event()
        self.loaded = asyncio.Event()
        self.push_due = asyncio.Event()
        self.counts = dict.fromkeys(COUNTS, 0)

    def apply_full_version(self, configuration):
        """Take a whole version if it is newer, and pass it on."""
        if self.version.apply_full_version(configuration):
            self.went_on()

    def apply_patches(self, patches):
        """Take patches that are in the store, such as one just committed.

        Returns
        -------
        int
            The version now held; lower than the last patch's when patches
            between are missing.
        """
        if self.version.apply_patches(patches):
            self.went_on()
        return self.version.latest.version

    def went_on(self):
        """Let the others know of a newer version."""
        self.members.set_configuration(self.version.latest.version)
        self.push_due.set()

    def confirm(self, asked_at):
        """Note that the store holds no newer version than the held one.

        Parameters
        ----------
        asked_at : float
            When the store was asked. The answer may have been long on its
            way, and says nothing of what was committed meanwhile.
        """
        if asked_at < self.distrusted_until:
            return
        self.note_confirmed()
        self.confirmed_at = max(asked_at, self.confirmed_at)
        self.reconfirmed.set()

    def note_confirmed(self):
        """Note that the store has confirmed a version, at whatever time."""
        if not self.confirmed:
            self.confirmed = True
            log.info("version {} is confirmed", self.version.latest.version)

    def staleness(self):
        """Return the seconds since no newer version was known to be stored."""
        return self.clock() - self.confirmed_at

    def store_restored(self):
        """Distrust the store for a while; it came back from an older copy."""
        self.confirmed_at = float("-inf")
        self.distrusted_until = self.clock() + RESTORED_STORE_SECONDS

    def own_offer(self):
        """Return what this daemon holds."""
        age = max(0.0, self.staleness())
        return Offer(self.version.latest.version, None if age == math.inf else age)

    def own_confirmation(self):
        """Return the held version and its confirmation's age, or None.

        Returns
        -------
        (int, int) or None
            The age in milliseconds. None while policy sets no bound to it.
        """
        if self.version.policy.authentication.max_staleness_ms is None:
            return None
        age = max(0.0, self.staleness())
        if age > FRESH_SECONDS:
            return None
        return self.version.latest.version, whole_ms(age)

    def peer_confirmed(self, version, age_ms, asked_at):
        """Take over the confirmation that came with a peer's answer.

        Parameters
        ----------
        version : int
        age_ms : int
            When the peer answered, which was no sooner than it was asked.
        asked_at : float
        """
        if version <= self.version.latest.version:
            self.confirm(asked_at - age_ms / 1_000)

    def receive_confirmation(self, offer, asked_at=None):
        """Take over a peer's confirmation if it is recent.

        One from before an outage says nothing of what was committed since.
        The age is passed on with it, so it can't be kept fresh by being
        passed around.

        Parameters
        ----------
        offer : Offer
        asked_at : float or None
            When the peer was asked for it; None for an offer that was sent
            unasked, and may have been under way for any time.
        """
        recent = offer.age is not None and offer.age <= FRESH_SECONDS
        if not recent or offer.version != self.version.latest.version:
            return
        self.note_confirmed()
        if asked_at is not None:
            self.confirm(asked_at - offer.age)
