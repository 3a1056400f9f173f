"""The latest and the current configuration version; neither ever decreases."""

import time

import logbook

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PolicyError
from papayabay_core.policy import Policy
from papayabay_daemon._internal.configuration.history import History

log = logbook.Logger("papayabay.configuration")


class VersionInForce:
    """Stores the latest version and puts it in force if it compiles.

    A version that this release can't read is stored all the same, so that
    peers get it and later patches still apply. The last readable version
    stays in force.

    Attributes
    ----------
    latest : Configuration
        Newest version known to this daemon.
    current, policy : Configuration, Policy
        Version in force, and the policy that was compiled from it.
    applied_at : float
        Wall time at which it came in force; 0 before any did.
    rejection : str
        Why a newer version is not in force; empty when the latest one is.
    listeners : list of callable
        Called with each policy that comes in force.
    """

    def __init__(self):
        self.latest = Configuration()
        self.current = self.latest
        self.policy = Policy()
        self.applied_at = 0.0
        self.history = History()
        self.rejection = ""
        self.listeners = []

    @property
    def is_in_force(self):
        """Whether the latest version is the one in force."""
        return self.current is self.latest

    def apply_patches(self, patches):
        """Apply the patches that follow the latest version.

        Patches arrive from several peers, in any order and repeatedly. Only
        a patch to the latest version is applied, so that an old one can't
        bring back an old version.

        Returns
        -------
        bool
            Whether any patch was applied.
        """
        versions = []
        for patch in patches:
            if patch.version == self.latest.version + 1:
                self.latest = self.latest.apply(patch)
                self.history.add(patch)
                versions.append(self.latest)
        self.put_in_force(versions)
        return bool(versions)

    def apply_full_version(self, configuration):
        """Apply a full version; return whether it is newer."""
        if configuration.version <= self.latest.version:
            return False
        self.latest = configuration
        self.history.clear()
        self.put_in_force([configuration])
        return True

    def put_in_force(self, versions):
        """Put the newest version that compiles in force, if any does."""
        for configuration in reversed(versions):
            try:
                policy = configuration.policy(self.current, self.policy)
            except PolicyError as error:
                self.reject(error)
                continue
            self.current = configuration
            self.policy = policy
            self.applied_at = time.time()
            log.notice("version {} is in force", configuration.version)
            if configuration is self.latest:
                self.rejection = ""
            self.notify()
            return

    def reject(self, error):
        """Record why a version is not in force; log each reason once."""
        reason = str(error)
        if reason != self.rejection:
            log.error(
                "a newer configuration can't be used; version {} stays in force: {}",
                self.current.version,
                reason,
            )
        self.rejection = reason

    def notify(self):
        """Call the listeners with the policy in force."""
        for listener in self.listeners:
            listener(self.policy)
