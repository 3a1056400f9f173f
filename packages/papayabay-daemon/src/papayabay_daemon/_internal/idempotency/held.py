"""Claims of calls that were not run, held for the key's next attempt."""

from itertools import islice

HELD_CLAIM_SECONDS = 60.0
"""Time for which the claim of a call that was not run waits for a repeat."""
RELEASE_BATCH = 8
"""Most held claims that one call releases, because they have expired or the
key table is full."""
CLOSE_BATCH = 1_024
"""Most held claims that are released when the gate closes."""


class HeldClaims:
    """Holds claims of refused attempts until a repeat uses them.

    An overloaded service refuses many attempts per key. Releasing the claim
    and acquiring it again would cost two writes for each of them, just when
    callers retry most. A claim that no repeat uses is released after
    `HELD_CLAIM_SECONDS`.

    Parameters
    ----------
    state : GateState
    outcome_writer : OutcomeWriter

    Attributes
    ----------
    entries : dict
        `Entry` by (service, key), the longest held first.
    """

    def __init__(self, state, outcome_writer):
        self.state = state
        self.outcome_writer = outcome_writer
        self.entries = {}

    def hold(self, scope, entry, claim):
        """Hold a claim for the key's next attempt."""
        self.state.counters["held"] += 1
        entry.claim = claim
        entry.task = None
        self.state.key_table.count_as_held(entry)
        entry.held_until = self.state.clock() + HELD_CLAIM_SECONDS
        self.entries[scope] = entry
        if self.state.closing:
            self.release(scope, entry)

    def resume(self, scope, entry):
        """Stop holding a claim and return it for the key's next attempt."""
        del self.entries[scope]
        self.state.key_table.count_as_running(entry)
        self.state.counters["resumed"] += 1
        return entry.claim

    def release_expired(self):
        """Release some claims that have been held for too long."""
        if self.entries:
            oldest = list(islice(self.entries.items(), RELEASE_BATCH))
            now = self.state.clock()
            self.release_within_budget(
                [scope for scope, entry in oldest if entry.held_until <= now]
            )

    def release_oldest(self):
        """Release some of the longest held claims, to free table space."""
        self.release_within_budget(list(self.entries)[:RELEASE_BATCH])

    def release_within_budget(self, scopes):
        """Release held claims while the write budget has tokens."""
        for scope in scopes:
            if not self.state.claims.budget.has_token():
                return
            self.release(scope, self.entries[scope])

    def release_newest(self):
        """Release the newest held claims, at most `CLOSE_BATCH` of them."""
        # The newest first, as their callers are the most likely to retry.
        for scope in list(reversed(self.entries))[:CLOSE_BATCH]:
            self.release(scope, self.entries[scope])

    def release(self, scope, entry):
        """Release a held claim in the store."""
        del self.entries[scope]
        self.state.key_table.count_as_running(entry)
        self.state.counters["released"] += 1
        claim, entry.claim = entry.claim, None
        self.outcome_writer.release(scope, entry, claim)
