"""The version in force; it only ever grows."""

import time

import logbook

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import PolicyError
from papayabay_core.policy import Policy
from papayabay_daemon._internal.configuration.history import History

log = logbook.Logger("papayabay.configuration")


class VersionInForce:
    """Holds the newest version and puts it in force when it compiles.

    A version that this release can't read is held all the same, so that
    peers get it and later patches still apply; the last readable one stays
    in force.
    """

    def __init__(self):
        self.latest = Configuration()
        self.current = Configuration()
        self.policy = Policy()
        self.applied_at = 0.0
        self.history = History()
        self.refused = ""
        self.listeners = []

    def apply_patches(self, patches):
        """Apply the patches that follow; return whether any did.

        Patches come from several peers in any order and more than once.
        Only the one after the held version is applied, so an old one can't
        bring an old version back.
        """
        steps = []
        for patch in patches:
            if patch.version == self.latest.version + 1:
                self.latest = self.latest.apply(patch)
                self.history.add(patch)
                steps.append(self.latest)
        self.put_in_force(steps)
        return bool(steps)

    def apply_full_version(self, configuration):
        """Take a whole version; return whether it is newer."""
        if configuration.version <= self.latest.version:
            return False
        self.latest = configuration
        self.history.clear()
        self.put_in_force([configuration])
        return True

    def put_in_force(self, steps):
        """Put the newest of some versions in force that compiles."""
        for configuration in reversed(steps):
            try:
                policy = configuration.policy(self.current, self.policy)
            except PolicyError as error:
                self.refuse(error)
                continue
            self.current = configuration
            self.policy = policy
            self.applied_at = time.time()
            log.notice("version {} is in force", configuration.version)
            if configuration is self.latest:
                self.refused = ""
            self.tell()
            return

    def refuse(self, error):
        """Note why a version is not in force; logged once."""
        if not self.refused:
            log.error("version {} stays in force: {}", self.current.version, error)
        self.refused = str(error)

    def tell(self):
        """Call the listeners with the policy now in force."""
        for listener in self.listeners:
            listener(self.policy)
