"""Writes outcomes and releases of claims to the store, in the background."""

import asyncio
from dataclasses import replace

from papayabay_daemon._internal.idempotency import answers, keys
from papayabay_daemon._internal.idempotency.claims import ClaimState, claim_key
from papayabay_daemon._internal.idempotency.key_table import KeyState

RECORD_TTL_SECONDS = 60.0
"""Time for which a key stays in memory after its outcome has been stored."""
LARGE_ANSWER_TTL_SECONDS = keys.HOME_KEY_TTL_SECONDS
"""The same if the answer is too large for the row and is only in memory."""


class OutcomeWriter:
    """Writes outcomes of claims, then removes or replaces their entries.

    Parameters
    ----------
    state : GateState
    """

    def __init__(self, state):
        self.state = state

    def release(self, scope, entry, claim):
        """Release a claim in the background; no attempt may use it now."""
        entry.state = KeyState.RELEASING
        entry.released = asyncio.Event()
        self.write_in_background(scope, entry, claim)

    def write_in_background(self, scope, entry, claim):
        """Write a claim's outcome in the background.

        The caller's answer does not wait for the store. Until the outcome is
        in the row, repeats are answered from the entry.
        """
        entry.task = None
        claim = replace(claim, state=row_state(entry))
        if entry.answer is not None:
            claim.answer = answers.pack_answer(answers.decode_answer(entry.answer))
        self.state.spawn(self.write(scope, entry, claim))

    async def write(self, scope, entry, claim):
        """Write a claim's outcome, then remove or replace its entry."""
        await self.state.claims.write_outcome(claim_key(*scope), claim)
        if claim.state is ClaimState.OPEN:
            self.state.key_table.remove(scope, entry)
            entry.released.set()
        else:
            in_row = claim.answer is not None or entry.answer is None
            ttl = RECORD_TTL_SECONDS if in_row else LARGE_ANSWER_TTL_SECONDS
            self.state.key_table.replace_by_record(
                scope, entry, self.state.clock() + ttl
            )


def row_state(entry):
    """Return the state of the row for the outcome of an entry."""
    if entry.state is KeyState.DONE:
        return ClaimState.DONE
    if entry.state is KeyState.RELEASING:
        return ClaimState.OPEN
    return ClaimState.UNKNOWN
