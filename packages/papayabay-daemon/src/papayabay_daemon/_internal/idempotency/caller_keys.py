"""Calls with caller-chosen keys, which are claimed in the platform's table."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.identifiers import new_identifier
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.claims import (
    AmbiguousClaimError,
    Claim,
    claim_key,
)
from papayabay_daemon._internal.idempotency.key_table import KeyState


def accept_all(call):
    """Accept every call; the precheck until another one is set."""


class CallerKeys:
    """Runs calls under claims: one attempt per key in the whole cluster.

    Parameters
    ----------
    state : GateState
    runner : AttemptRunner
    repeat_handler : RepeatHandler
    owners : ClaimOwners
    held : HeldClaims
    outcome_writer : OutcomeWriter
    release_timeout : float
        Longest time in seconds that a call waits until its key is released.

    Attributes
    ----------
    precheck : callable
        Check before a first claim; see `IdempotencyGate.set_claim_precheck`.
    """

    def __init__(
        self,
        state,
        runner,
        repeat_handler,
        owners,
        held,
        outcome_writer,
        release_timeout,
    ):
        self.state = state
        self.runner = runner
        self.repeat_handler = repeat_handler
        self.owners = owners
        self.held = held
        self.outcome_writer = outcome_writer
        self.release_timeout = release_timeout
        self.precheck = accept_all

    async def run(self, call, dispatch, may_forward):
        """Run a call with a caller-chosen key, or answer it as a repeat."""
        scope = (call.service, call.idempotency_key)
        digest = keys.call_digest(call)
        self.held.release_expired()
        entry = self.state.key_table.get(scope)
        if entry is not None and scope in self.held.entries:
            if entry.digest == digest:
                return await self.run_with_held_claim(scope, entry, call, dispatch)
            # A key whose call never ran may be used for another request. The
            # row still has the digest of the first one, so the claim is
            # released before.
            self.held.release(scope, entry)
        if entry is not None and entry.state is KeyState.RELEASING:
            await self.wait_for_release(entry, call)
            entry = self.state.key_table.get(scope)
        if entry is not None:
            return await self.repeat_handler.answer(entry, call, digest, may_forward)
        owner = self.owners.get(scope) if may_forward else None
        if owner is not None:
            return await self.owners.forward(owner, call)
        return await self.claim_and_run(scope, call, digest, dispatch, may_forward)

    async def run_with_held_claim(self, scope, entry, call, dispatch):
        """Run a call with the claim that an earlier attempt left held."""
        self.state.check_open()
        claim = self.held.resume(scope, entry)
        attempt = self.run_attempt(scope, entry, claim, call, dispatch)
        return await self.runner.start(entry, attempt)

    async def claim_and_run(self, scope, call, digest, dispatch, may_forward):
        """Claim a key that is not known here, and run its call."""
        entry = self.add_entry(scope, call, digest)
        attempt = self.claim_and_attempt(scope, entry, call, dispatch)
        result = await self.runner.start(entry, attempt)
        if not isinstance(result, Claim):
            return result
        return await self.repeat_handler.answer_from_claim(
            result, call, digest, may_forward
        )

    def add_entry(self, scope, call, digest):
        """Add and return the entry of a key that is about to be claimed.

        Raises
        ------
        CallError
            If the gate is closing, the call would be refused anyway, or the
            key table is full; STORE_UNAVAILABLE if the write budget is
            exhausted.
        """
        self.state.check_open()
        self.precheck(call)
        try:
            entry = self.state.key_table.add(scope, digest)
        except CallError:
            self.held.release_oldest()
            raise
        try:
            self.state.claims.admit()
        except CallError:
            self.state.key_table.remove(scope, entry)
            raise
        return entry

    async def wait_for_release(self, entry, call):
        """Wait until a claim is released or the timeout has passed."""
        remaining = min(self.release_timeout, call.expires_at - self.state.clock())
        try:
            async with asyncio.timeout(max(remaining, 0.0)):
                await entry.released.wait()
        except TimeoutError:
            pass

    async def claim_and_attempt(self, scope, entry, call, dispatch):
        """Claim the key, run the call, and start writing the outcome.

        Returns
        -------
        Answer, CallError or Claim
            A `Claim` if another attempt holds the key.
        """
        claim = Claim(
            entry.digest,
            new_identifier(),
            self.state.local.name,
            self.state.key_mint.instance_id,
        )
        try:
            other = await self.state.claims.acquire(
                claim_key(*scope), claim, call.expires_at
            )
        except AmbiguousClaimError:
            # The claim may be in the store or still arrive there. The call is
            # never dispatched, so the effect `not run` is true. The entry
            # stays until the store has confirmed the release: without it, a
            # repeat would find a claim whose outcome no daemon knows.
            self.outcome_writer.release(scope, entry, claim)
            return CallError(ErrorKind.STORE_UNAVAILABLE, "the claim is unclear")
        except CallError as error:
            self.state.key_table.remove(scope, entry)
            return error
        except asyncio.CancelledError:
            entry.state = KeyState.UNKNOWN
            raise
        if other is not None:
            self.state.key_table.remove(scope, entry)
            return other
        return await self.run_attempt(scope, entry, claim, call, dispatch)

    async def run_attempt(self, scope, entry, claim, call, dispatch):
        """Run a call under its claim; hold the claim if it was not run."""
        result = await self.runner.dispatch(entry, call, dispatch)
        if entry.state is KeyState.HELD:
            self.held.hold(scope, entry, claim)
        else:
            self.outcome_writer.write_in_background(scope, entry, claim)
        return result
