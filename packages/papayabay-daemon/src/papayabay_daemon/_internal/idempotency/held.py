"""Claims that were not run, kept for the key's next attempt."""

from itertools import islice

HELD_MEMORY = 60.0
"""Seconds after a `not run` end for which its claim waits for a repeat."""
RELEASE_BATCH = 8
"""Most held claims that one call, or a full table, lets go."""
CLOSE_BATCH = 1_024
"""Most held claims that are released on closing."""


class HeldClaims:
    """Holds claims of refused attempts until a repeat, or for some time.

    An overloaded service refuses many attempts per key. To give the claim
    back and take it again for each of them would cost two writes each, just
    when callers repeat the most.

    Parameters
    ----------
    state : GateState
    settling : Settling

    Attributes
    ----------
    entries : dict
        Entries by (service, key), the longest held first.
    """

    def __init__(self, state, settling):
        self.state = state
        self.settling = settling
        self.entries = {}

    def hold(self, scope, entry, claim):
        """Keep a claim that was not run for the key's next attempt."""
        self.state.counters["held"] += 1
        entry.claim = claim
        entry.task = None
        self.state.key_table.hold(entry)
        entry.held_until = self.state.clock() + HELD_MEMORY
        self.entries[scope] = entry
        if self.state.closing:
            self.release(scope, entry)

    def resume(self, scope, entry):
        """Hand a held claim to the key's next attempt; return the claim."""
        del self.entries[scope]
        self.state.key_table.resume(entry)
        self.state.counters["resumed"] += 1
        return entry.claim

    def release_due(self):
        """Release some claims that no repeat has asked for in time."""
        if self.entries:
            first = list(islice(self.entries.items(), RELEASE_BATCH))
            now_held = self.state.clock()
            self.release_some(
                [scope for scope, entry in first if entry.held_until <= now_held]
            )

    def release_first(self):
        """Release some claims, the longest held, to make room."""
        self.release_some(list(self.entries)[:RELEASE_BATCH])

    def release_some(self, scopes):
        """Release held claims as far as the store has writes to spare."""
        for scope in scopes:
            if not self.state.claims.budget.spare():
                return
            self.release(scope, self.entries[scope])

    def release_newest(self):
        """Release claims on closing, at most `CLOSE_BATCH` of them."""
        # The newest first: their callers are the likeliest to come back.
        for scope in list(reversed(self.entries))[:CLOSE_BATCH]:
            self.release(scope, self.entries[scope])

    def release(self, scope, entry):
        """Give a held claim back; no attempt uses it from now on."""
        del self.entries[scope]
        self.state.key_table.resume(entry)
        self.state.counters["released"] += 1
        claim, entry.claim = entry.claim, None
        self.settling.release(scope, entry, claim)
