"""Answers to calls whose key is known, here or in the store."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency import answers
from papayabay_daemon._internal.idempotency.claims import Claim, ClaimState
from papayabay_daemon._internal.idempotency.key_table import KeyState
from papayabay_daemon._internal.idempotency.runner import is_running, result_of


class RepeatHandler:
    """Answers repeats; it never runs anything.

    Parameters
    ----------
    state : GateState
    owners : ClaimOwners
    """

    def __init__(self, state, owners):
        self.state = state
        self.owners = owners

    async def answer(self, entry, call, digest, may_forward):
        """Answer a call whose key is known here."""
        if entry.digest != digest:
            self.state.counters["conflicts"] += 1
            raise CallError(ErrorKind.KEY_CONFLICT)
        if entry.state is KeyState.RUNNING or is_running(entry.task):
            return await self.join(entry, call, may_forward)
        self.state.counters["repeats"] += 1
        return self.recorded_answer(entry, call)

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
            return await self.answer_from_claim(result, call, entry.digest, may_forward)
        if entry.state is KeyState.DONE:
            return self.recorded_answer(entry, call)
        return answers.answer_for_repeat(result, call)

    def recorded_answer(self, entry, call):
        """Return the first answer again, or say what is known instead."""
        if entry.state is KeyState.DONE and entry.answer is None:
            detail = "it was run; its answer was too large to be kept"
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if entry.state is KeyState.DONE:
            return answers.answer_for_repeat(answers.decode_answer(entry.answer), call)
        if entry.state in (KeyState.RELEASING, KeyState.HELD):
            raise CallError(ErrorKind.STORE_UNAVAILABLE, "a claim isn't released yet")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)

    async def answer_from_claim(self, claim, call, digest, may_forward):
        """Answer a call whose key another attempt claimed.

        A claim is never taken over while its outcome is open: its holder may
        be paused, and would go on where it stood.
        """
        if claim.state is None:
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the claim can't be read")
        member = self.state.live_member(claim.daemon)
        if claim.digest != digest:
            # The claimant may only hold the claim, unrun, and then frees the
            # key for another request; it alone can tell.
            open_elsewhere = (
                claim.state is ClaimState.CLAIMED
                and claim.daemon != self.state.local.name
            )
            if open_elsewhere and may_forward and member is not None:
                return await self.owners.forward(member, call)
            self.state.counters["conflicts"] += 1
            raise CallError(ErrorKind.KEY_CONFLICT)
        answer = answer_of_claim(claim)
        if answer is not None:
            self.state.counters["repeats"] += 1
            return answers.answer_for_repeat(answer, call)
        if claim.state is ClaimState.UNKNOWN or member is None:
            raise CallError(ErrorKind.OUTCOME_UNKNOWN)
        if claim.daemon == self.state.local.name:
            return await self.answer_from_memory(claim, call, digest)
        if not may_forward:
            raise CallError(ErrorKind.KEY_IN_PROGRESS)
        return await self.owners.forward(member, call)

    async def answer_from_memory(self, claim, call, digest):
        """Answer from this daemon's memory for a claim in its name.

        An earlier process of this name has taken its memory with it. This
        one forgets an undecided claim only after the row told its outcome,
        so a row that still shows it claimed was read stale.
        """
        entry = self.state.key_table.get((call.service, call.idempotency_key))
        ours = claim.instance_id == self.state.key_mint.instance_id
        if entry is not None and ours:
            return await self.answer(entry, call, digest, may_forward=False)
        if ours and claim.state is ClaimState.CLAIMED:
            raise CallError(ErrorKind.KEY_IN_PROGRESS, "the claim is changing")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)


def answer_of_claim(claim):
    """Return the first answer that a claim's row holds, or None."""
    if claim.state is not ClaimState.DONE or claim.answer is None:
        return None
    return answers.unpack_answer(claim.answer)
