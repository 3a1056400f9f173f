"""Eras of a store that can come back from an older copy of itself."""

import logbook

from papayabay_core.exceptions import PlatformError

log = logbook.Logger("papayabay.platform")


class StoreEra:
    """The era that a store is in, as far as its answers tell.

    A store that comes back from an older copy has lost what was written since,
    and gives out the same versions again for other content. It then tells an
    era one higher. What was read before is no ground to write by any more, and
    what was written may not be there.

    Attributes
    ----------
    current : int or None
        None before any was told; a store without eras tells none.
    listeners : list of callable
        Called, without arguments, before the first answer of a new era is
        used.
    changes : int
    """

    def __init__(self):
        self.current = None
        self.listeners = []
        self.changes = 0

    def note(self, era):
        """Note the era that an answer tells.

        Raises
        ------
        PlatformError
            For an answer of an earlier one, which was long on its way. What it
            says is no longer true.
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
