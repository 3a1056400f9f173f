"""Answers to repeats: calls whose key is known here or in the store."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency import answers
from papayabay_daemon._internal.idempotency.claims import Claim, ClaimState
from papayabay_daemon._internal.idempotency.key_table import KeyState
from papayabay_daemon._internal.idempotency.runner import is_running, result_of


class RepeatHandler:
    """Answers repeats without running a call.

    Parameters
    ----------
    state : GateState
    owners : ClaimOwners
    """

    def __init__(self, state, owners):
        self.state = state
        self.owners = owners

    async def answer(self, entry, call, digest, may_forward):
        """Answer a call whose key is in this daemon's key table."""
        if entry.digest != digest:
            self.state.counters["conflicts"] += 1
            raise CallError(ErrorKind.KEY_CONFLICT)
        if entry.state is KeyState.RUNNING or is_running(entry.task):
            return await self.join(entry, call, may_forward)
        self.state.counters["repeats"] += 1
        return self.recorded_answer(entry, call)

    async def join(self, entry, call, may_forward):
        """Wait for the running attempt until the repeat itself expires."""
        self.state.counters["joined"] += 1
        remaining = max(call.expires_at - self.state.clock(), 0.0)
        entry.waiters += 1
        task = entry.task
        try:
            finished, _ = await asyncio.wait({task}, timeout=remaining)
        finally:
            entry.waiters -= 1
        if not finished:
            raise CallError(ErrorKind.KEY_IN_PROGRESS)
        result = result_of(task)
        if isinstance(result, Claim):
            return await self.answer_from_claim(result, call, entry.digest, may_forward)
        if entry.state is KeyState.DONE:
            return self.recorded_answer(entry, call)
        return answers.answer_for_repeat(result, call)

    def recorded_answer(self, entry, call):
        """Return the recorded answer.

        Raises
        ------
        CallError
            OUTCOME_UNKNOWN or STORE_UNAVAILABLE if there is none.
        """
        if entry.state is KeyState.DONE and entry.answer is None:
            detail = "it was run; its answer was too large to be kept"
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if entry.state is KeyState.DONE:
            return answers.answer_for_repeat(answers.decode_answer(entry.answer), call)
        if entry.state in (KeyState.RELEASING, KeyState.HELD):
            raise CallError(ErrorKind.STORE_UNAVAILABLE, "a claim isn't released yet")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)

    async def answer_from_claim(self, claim, call, digest, may_forward):
        """Answer a call whose key another attempt has claimed.

        A claim without an outcome is never taken over: its owner may only be
        paused, and would then run the call after all.
        """
        if claim.state is None:
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the claim can't be read")
        member = self.state.live_member(claim.daemon)
        if claim.digest != digest:
            # The owner may only hold the claim of a call that was not run.
            # The key is then free for another request; only the owner knows.
            may_be_held_elsewhere = (
                claim.state is ClaimState.CLAIMED
                and claim.daemon != self.state.local.name
            )
            if may_be_held_elsewhere and may_forward and member is not None:
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
        """Answer a call from memory, for a claim in this daemon's name.

        The memory of an earlier process of this daemon is lost. This process
        drops an undecided claim only after its outcome is in the row. So if
        the row shows a claim of this process that is not in memory, the read
        was stale.
        """
        entry = self.state.key_table.get((call.service, call.idempotency_key))
        ours = claim.instance_id == self.state.key_mint.instance_id
        if entry is not None and ours:
            return await self.answer(entry, call, digest, may_forward=False)
        if ours and claim.state is ClaimState.CLAIMED:
            raise CallError(ErrorKind.KEY_IN_PROGRESS, "the claim is changing")
        raise CallError(ErrorKind.OUTCOME_UNKNOWN)


def answer_of_claim(claim):
    """Return the first answer recorded in a claim's row, or None."""
    if claim.state is not ClaimState.DONE or claim.answer is None:
        return None
    return answers.unpack_answer(claim.answer)
