"""Outcomes and releases of claims, written in the background."""

import asyncio
from dataclasses import replace

from papayabay_daemon._internal.idempotency import answers, keys
from papayabay_daemon._internal.idempotency.attempts import KeyState
from papayabay_daemon._internal.idempotency.claims import ClaimState, claim_key

CLAIM_MEMORY = 60.0
"""Seconds that a claimed key is remembered once its outcome is stored."""
LARGE_ANSWER_MEMORY = keys.HOME_KEY_LIFE
"""The same for an answer too large for the row; only memory holds it."""


class Settling:
    """Writes what became of claims, then lets their entries go.

    Parameters
    ----------
    state : GateState
    """

    def __init__(self, state):
        self.state = state

    def release(self, scope, entry, claim):
        """Give a claim back that no attempt uses from now on."""
        entry.state = KeyState.RELEASING
        entry.released = asyncio.Event()
        self.settle_later(scope, entry, claim)

    def settle_later(self, scope, entry, claim):
        """Write a claim's outcome in the background.

        The caller's answer doesn't wait for the store; the entry answers
        repeats until the row can.
        """
        entry.task = None
        claim = replace(claim, state=row_state(entry))
        if entry.answer is not None:
            claim.answer = answers.pack_answer(answers.from_bytes(entry.answer))
        self.state.spawn(self.settle(scope, entry, claim))

    async def settle(self, scope, entry, claim):
        """Write a claim's outcome, then let its entry go."""
        await self.state.claims.settle(claim_key(*scope), claim)
        if claim.state is ClaimState.OPEN:
            self.state.key_table.remove(scope, entry)
            entry.released.set()
        else:
            in_row = claim.answer is not None or entry.answer is None
            memory = CLAIM_MEMORY if in_row else LARGE_ANSWER_MEMORY
            self.state.key_table.retire(scope, entry, self.state.clock() + memory)


def row_state(entry):
    """Return the state that a settled claim's row gets."""
    if entry.state is KeyState.DONE:
        return ClaimState.DONE
    if entry.state is KeyState.RELEASING:
        return ClaimState.OPEN
    return ClaimState.UNKNOWN
