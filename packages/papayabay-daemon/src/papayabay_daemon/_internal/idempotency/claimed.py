"""Calls with their callers' own keys, claimed in the platform's table."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.identifiers import new_identifier
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.attempts import KeyState
from papayabay_daemon._internal.idempotency.claims import (
    AmbiguousClaim,
    Claim,
    claim_key,
)


def accept_all(call):
    """Let every call try for its claim."""


class ClaimedKeys:
    """Runs calls under claims, one attempt per key in the whole cluster.

    Parameters
    ----------
    state : GateState
    runner : Runner
    repeats : Repeats
    holders : Holders
    held : HeldClaims
    settling : Settling
    release_wait : float
        Most seconds that a call waits for its key's release.

    Attributes
    ----------
    precheck : callable
        Asked before a first claim; see `IdempotencyGate.set_claim_precheck`.
    """

    def __init__(self, state, runner, repeats, holders, held, settling, release_wait):
        self.state = state
        self.runner = runner
        self.repeats = repeats
        self.holders = holders
        self.held = held
        self.settling = settling
        self.release_wait = release_wait
        self.precheck = accept_all

    async def run(self, call, dispatch, may_forward):
        """Run a call with its caller's own key."""
        scope = (call.service, call.idempotency_key)
        digest = keys.call_digest(call)
        self.held.release_due()
        entry = self.state.key_table.get(scope)
        if entry is not None and scope in self.held.entries:
            if entry.digest == digest:
                return await self.run_held(scope, entry, call, dispatch)
            # A key that never ran is free for another request. The row still
            # tells of the first one, so it is opened before.
            self.held.release(scope, entry)
        if entry is not None and entry.state is KeyState.RELEASING:
            await self.wait_released(entry, call)
            entry = self.state.key_table.get(scope)
        if entry is not None:
            return await self.repeats.repeat(entry, call, digest, may_forward)
        holder = self.holders.get(scope) if may_forward else None
        if holder is not None:
            return await self.holders.ask(holder, call)
        return await self.run_new(scope, call, digest, dispatch, may_forward)

    async def run_held(self, scope, entry, call, dispatch):
        """Run a call whose key's claim is held from an earlier attempt."""
        self.state.check_open()
        claim = self.held.resume(scope, entry)
        attempt = self.attempt(scope, entry, claim, call, dispatch)
        return await self.runner.start(entry, attempt)

    async def run_new(self, scope, call, digest, dispatch, may_forward):
        """Run a call whose key nobody is known to have claimed."""
        entry = self.add_claiming(scope, call, digest)
        attempt = self.claim_and_attempt(scope, entry, call, dispatch)
        result = await self.runner.start(entry, attempt)
        if not isinstance(result, Claim):
            return result
        return await self.repeats.answer_from(result, call, digest, may_forward)

    def add_claiming(self, scope, call, digest):
        """Return the entry of a key that is about to be claimed.

        Raises
        ------
        CallError
            When the call would be refused anyway, when there is no room, or
            STORE_UNAVAILABLE when the store has all the writes it takes.
        """
        self.state.check_open()
        self.precheck(call)
        try:
            entry = self.state.key_table.add(scope, digest)
        except CallError:
            self.held.release_first()
            raise
        try:
            self.state.claims.admit()
        except CallError:
            self.state.key_table.remove(scope, entry)
            raise
        return entry

    async def wait_released(self, entry, call):
        """Wait, not for long, until a claim that was not run is released."""
        remaining = min(self.release_wait, call.expires_at - self.state.clock())
        try:
            async with asyncio.timeout(max(remaining, 0.0)):
                await entry.released.wait()
        except TimeoutError:
            pass

    async def claim_and_attempt(self, scope, entry, call, dispatch):
        """Claim, run, and have the outcome written in the background.

        Returns
        -------
        Answer, CallError or Claim
            A `Claim` is another attempt's, which holds the key.
        """
        claim = Claim(
            entry.digest,
            new_identifier(),
            self.state.local.name,
            self.state.mint_keys.life,
        )
        try:
            other = await self.state.claims.take(
                claim_key(*scope), claim, call.expires_at
            )
        except AmbiguousClaim:
            # The claim may stand or still arrive. It never is dispatched, so
            # `not run` is true; the entry stays until the store has told
            # that the claim is given back, or a repeat would find a claim
            # that nobody can answer for.
            self.settling.release(scope, entry, claim)
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
        return await self.attempt(scope, entry, claim, call, dispatch)

    async def attempt(self, scope, entry, claim, call, dispatch):
        """Run a call under its standing claim; hold it when not run."""
        result = await self.runner.dispatch(entry, call, dispatch)
        if entry.state is KeyState.HELD:
            self.held.hold(scope, entry, claim)
        else:
            self.settling.settle_later(scope, entry, claim)
        return result
