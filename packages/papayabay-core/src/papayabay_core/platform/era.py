"""Eras of a store that may be restored from a backup."""

import logbook

from papayabay_core.exceptions import PlatformError

log = logbook.Logger("papayabay.platform")


class StoreEra:
    """The era of a store, as observed in its answers.

    A store that is restored from a backup has lost the writes since then and
    reuses their versions. It reports this by incrementing its era: earlier
    writes may be lost, and versions read before must not be used in
    conditions.

    Attributes
    ----------
    current : int or None
        None until an era is observed; some stores report none.
    listeners : list of callable
        Called without arguments before the first answer of a new era is
        used.
    changes : int
        Number of restores observed.
    """

    def __init__(self):
        self.current = None
        self.listeners = []
        self.changes = 0

    def observe(self, era):
        """Process the era of an answer; call listeners if it is a new one.

        Raises
        ------
        PlatformError
            When the answer is a delayed one of an earlier era.
        """
        if era is None or era == self.current:
            return
        if self.current is None:
            self.current = era
            return
        if era < self.current:
            raise PlatformError(
                f"stale answer of era {era}, current era {self.current}"
            )
        log.warning(
            "the store has come back from an older copy: era {} after {}",
            era,
            self.current,
        )
        self.current = era
        self.changes += 1
        for listener in self.listeners:
            listener()
