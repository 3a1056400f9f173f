"""Answers to calls whose key is known, here or in the store."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency import answers
from papayabay_daemon._internal.idempotency.attempts import KeyState
from papayabay_daemon._internal.idempotency.claims import Claim, ClaimState
from papayabay_daemon._internal.idempotency.running import is_running, result_of


class Repeats:
    """Answers repeats; it never runs anything.

    Parameters
    ----------
    state : GateState
    holders : Holders
    """

    def __init__(self, state, holders):
        self.state = state
        self.holders = holders

    async def repeat(self, entry, call, digest, may_forward):
        """Answer a call whose key is known here."""
        if entry.digest != digest:
            self.state.counters["conflicts"] += 1
            raise CallError(ErrorKind.KEY_CONFLICT)
        if entry.state is KeyState.RUNNING or is_running(entry.task):
            return await self.join(entry, call, may_forward)
        self.state.counters["repeats"] += 1
        return self.recorded(entry, call)

    async def join(self, entry, call, may_forward):
        """Wait for the running attempt while the repeat's own life lasts."""
        self.state.counters["joined"] += 1
        remaining = max(call.expires_at - self.state.clock(), 0.0)
        entry.waiters += 1
        task = entry.task
        try:
            ended, _ = await asyncio.wait({task}, timeout=remaining)
        finally:
            entry.waiters -= 1
        if not ended:
            raise CallError(ErrorKind.KEY_IN_PROGRESS)
        result = result_of(task)
        if isinstance(result, Claim):
            return await self.answer_from(result, call, entry.digest, may_forward)
        if entry.state is KeyState.DONE:
            return self.recorded(entry, call)
        return answers.repeated(result, call)

    def recorded(self, entry, call):
        """Return the first answer again, or say what is known instead."""
        if entry.state is KeyState.DONE and entry.answer is None:
            detail = "it was run; its answer was too large to be kept"
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if entry.state is KeyState.DONE:
            return answers.repeated(answers.from_bytes(entry.answer), call)
        if entry.state in (KeyState.RELEASING, KeyState.HELD):
            raise CallError(ErrorKind.STORE_UNAVAILABLE, "a claim isn't released yet")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)

    async def answer_from(self, claim, call, digest, may_forward):
        """Answer a call whose key another attempt claimed.

        A claim is never taken over while its outcome is open: its holder may
        be paused, and would go on where it stood.
        """
        if claim.state is None:
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the claim can't be read")
        member = self.state.living(claim.daemon)
        if claim.digest != digest:
            # The claimant may only hold the claim, unrun, and then frees the
            # key for another request; it alone can tell.
            open_elsewhere = (
                claim.state is ClaimState.CLAIMED
                and claim.daemon != self.state.local.name
            )
            if open_elsewhere and may_forward and member is not None:
                return await self.holders.ask(member, call)
            self.state.counters["conflicts"] += 1
            raise CallError(ErrorKind.KEY_CONFLICT)
        answer = unpack_recorded(claim)
        if answer is not None:
            self.state.counters["repeats"] += 1
            return answers.repeated(answer, call)
        if claim.state is ClaimState.UNKNOWN or member is None:
            raise CallError(ErrorKind.OUTCOME_UNKNOWN)
        if claim.daemon == self.state.local.name:
            return await self.answer_own(claim, call, digest)
        if not may_forward:
            raise CallError(ErrorKind.KEY_IN_PROGRESS)
        return await self.holders.ask(member, call)

    async def answer_own(self, claim, call, digest):
        """Answer from this daemon's memory for a claim in its name.

        An earlier process of this name has taken its memory with it. This
        one forgets an undecided claim only after the row told its outcome,
        so a row that still shows it claimed was read stale.
        """
        entry = self.state.key_table.get((call.service, call.idempotency_key))
        ours = claim.life == self.state.mint_keys.life
        if entry is not None and ours:
            return await self.repeat(entry, call, digest, may_forward=False)
        if ours and claim.state is ClaimState.CLAIMED:
            raise CallError(ErrorKind.KEY_IN_PROGRESS, "the claim is changing")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)


def unpack_recorded(claim):
    """Return the first answer that a claim's row holds, or None."""
    if claim.state is not ClaimState.DONE or claim.answer is None:
        return None
    return answers.unpack_answer(claim.answer)
