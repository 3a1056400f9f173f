"""Eras of a store that can come back from an older copy of itself."""

import logbook

from papayabay_core.exceptions import PlatformError

log = logbook.Logger("papayabay.platform")


class StoreEra:
    """The era of a store, as observed in its answers.

    A store that was restored from an older copy has lost later writes, and
    reuses their versions. It then reports an era one higher: conditions on
    earlier reads no longer hold, and earlier writes may be lost.

    Attributes
    ----------
    current : int or None
        None until one is observed; some stores report none.
    listeners : list of callable
        Called, without arguments, before the first answer of a new era is
        used.
    changes : int
    """

    def __init__(self):
        self.current = None
        self.listeners = []
        self.changes = 0

    def observe(self, era):
        """Observe the era of an answer.

        Raises
        ------
        PlatformError
            For a delayed answer of an earlier era, which is outdated.
        """
        if era is None or era == self.current:
            return
        if self.current is None:
            self.current = era
            return
        if era < self.current:
            raise PlatformError(f"an answer of era {era}, now it is {self.current}")
        log.warning(
            "the store has come back from an older copy: era {} after {}",
            era,
            self.current,
        )
        self.current = era
        self.changes += 1
        for listener in self.listeners:
            listener()
