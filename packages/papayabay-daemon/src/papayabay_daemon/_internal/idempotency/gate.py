"""At-most-once gate for calls with an idempotency key."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.idempotency import answers, keys
from papayabay_daemon._internal.idempotency.caller_keys import CallerKeys
from papayabay_daemon._internal.idempotency.claims import ClaimStore
from papayabay_daemon._internal.idempotency.held import HeldClaims
from papayabay_daemon._internal.idempotency.home import HomeKeys, home_unavailable
from papayabay_daemon._internal.idempotency.key_table import KeyTable
from papayabay_daemon._internal.idempotency.outcomes import OutcomeWriter
from papayabay_daemon._internal.idempotency.owners import ClaimOwners
from papayabay_daemon._internal.idempotency.repeats import RepeatHandler
from papayabay_daemon._internal.idempotency.runner import AttemptRunner
from papayabay_daemon._internal.idempotency.state import GateState

MAX_KEYED_BODY_BYTES = 1024 * 1024
"""Largest request body of a call with a key, in bytes. The body is buffered,
as the digest covers all of it."""
CLOSE_TIMEOUT_SECONDS = 5.0


async def refuse_forwarded(call):
    """Refuse forwarded calls until `set_forwarded_dispatch` is called."""
    raise CallError(ErrorKind.LEAVING, "this daemon takes no forwarded calls")


class IdempotencyGate:
    """Runs each call with an idempotency key at most once.

    It checks keys and bodies and passes each call to the class that handles
    its kind of key: `CallerKeys` for keys that callers choose, `HomeKeys` for
    keys that a daemon has issued.

    Parameters
    ----------
    settings : DaemonSettings
    local : Member
        This daemon, as it was at its start.
    table : TableService
    links : Links
    members : Members
    clock : callable
        Returns seconds; has to count the time in which the VM is suspended.
    sleep : callable
        Coroutine function that waits some seconds.

    Attributes
    ----------
    counters : Counter
        Counts of attempts by outcome, of repeats that joined a running
        attempt or got a recorded answer, of forwarded calls, and of claims
        held, resumed and released.
    claims : ClaimStore
        Its `counters` hold ``writes``, ``outcome_writes``, ``reads``,
        ``ambiguous``, ``refused`` and ``claims_held_back``.
    key_table : KeyTable
    held : dict
        Entries whose claims are held; see `HeldClaims.entries`.
    owners : dict
        Daemons that own claims; see `ClaimOwners.names_by_key`.
    """

    def __init__(
        self, settings, local, table, links, members, clock=now, sleep=asyncio.sleep
    ):
        key_mint = keys.KeyMint(
            settings.cluster.secret, local.name, local.incarnation, clock
        )
        timeout = settings.platform.timeout_ms / 1000
        self.clock = clock
        self.key_mint = key_mint
        self.claims = ClaimStore(table, clock, sleep, timeout)
        self.key_table = KeyTable(clock)
        self.state = GateState(
            local, links, members, clock, key_mint, self.claims, self.key_table
        )
        self.counters = self.state.counters
        self.tasks = self.state.tasks
        self.forwarded_dispatch = refuse_forwarded
        self.build_components(timeout)

    def build_components(self, timeout):
        """Create the gate's components and connect them."""
        state = self.state
        runner = AttemptRunner(state)
        outcome_writer = OutcomeWriter(state)
        owners = ClaimOwners(state)
        self.held_claims = HeldClaims(state, outcome_writer)
        self.repeat_handler = RepeatHandler(state, owners)
        self.home = HomeKeys(state, runner, self.repeat_handler)
        self.caller_keys = CallerKeys(
            state,
            runner,
            self.repeat_handler,
            owners,
            self.held_claims,
            outcome_writer,
            timeout,
        )
        self.held = self.held_claims.entries
        self.owners = owners.names_by_key

    def set_forwarded_dispatch(self, dispatch):
        """Set the function that dispatches calls forwarded by other daemons.

        Parameters
        ----------
        dispatch : callable
            Coroutine function that takes the call and returns its `Answer`.
        """
        self.forwarded_dispatch = dispatch

    def set_claim_precheck(self, precheck):
        """Set the check that runs before a key is claimed for the first time.

        It saves the write for a call that would be refused anyway.

        Parameters
        ----------
        precheck : callable
            Takes the call and raises a `CallError` with the effect
            ``not run`` if the call would be refused at once.
        """
        self.caller_keys.precheck = precheck

    def mint(self):
        """Return a new key bound to this process.

        It is valid for `keys.HOME_KEY_TTL_SECONDS`.
        """
        return self.key_mint.mint()

    def parse(self, key):
        """Return the `HomeKey` of a key, or None; see `KeyMint.parse`."""
        return self.key_mint.parse(key)

    async def run(self, call, rule, dispatch):
        """Run a call with a key, or answer it with the key's known outcome.

        Parameters
        ----------
        call : Call
        rule : CallRule
            Its `at_most_once` says which kinds of key are accepted.
        dispatch : callable
            Coroutine function that sends the call to an upstream and returns
            its `Answer`. It may try another upstream only after an answer
            with the effect ``not run``.

        Returns
        -------
        Answer

        Raises
        ------
        CallError
            The effect ``not run`` is that of this call alone: an earlier call
            with the same key may have been run.
        """
        keys.check_key(call.idempotency_key)
        home = self.parse(call.idempotency_key)
        if home is None and rule.at_most_once == "token":
            detail = "this call takes only a key got from POST /.papayabay/keys"
            raise CallError(ErrorKind.BAD_REQUEST, detail)
        if home is not None and rule.at_most_once == "claim":
            detail = "this call takes only a key of the caller's own"
            raise CallError(ErrorKind.BAD_REQUEST, detail)
        await self.read_body(call)
        if home is None:
            return await self.caller_keys.run(call, dispatch, may_forward=True)
        if self.key_mint.is_minted_here(home):
            return await self.home.run(call, home, dispatch)
        return await self.home.forward(call, home)

    async def handle_forwarded(self, call, peer):
        """Run or answer a call that a peer forwarded to this daemon.

        It is never forwarded again, even if this daemon believes that the
        key belongs to another one, so that there can be no forwarding loop.
        """
        self.counters["forwarded_in"] += 1
        keys.check_key(call.idempotency_key)
        home = self.parse(call.idempotency_key)
        await self.read_body(call)
        dispatch = self.forwarded_dispatch
        if home is None:
            return await self.caller_keys.run(call, dispatch, may_forward=False)
        if self.key_mint.is_minted_here(home):
            return await self.home.run(call, home, dispatch)
        raise home_unavailable()

    async def close(self, timeout=CLOSE_TIMEOUT_SECONDS):
        """Wait for running attempts and pending writes up to a timeout.

        The newest held claims, at most `held.CLOSE_BATCH`, are released. What
        is still running at the timeout is cancelled.

        Parameters
        ----------
        timeout : float
            Seconds. A claim whose outcome or release is not written by then
            has an unknown outcome for all daemons.
        """
        self.state.closing = True
        self.held_claims.release_newest()
        deadline = now() + timeout
        while self.tasks and now() < deadline:
            await asyncio.wait(self.tasks, timeout=deadline - now())
        pending = list(self.tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def read_body(self, call):
        """Buffer the whole body within the call's remaining lifetime."""
        if call.body.whole:
            return
        try:
            async with asyncio.timeout(call.expires_at - self.clock()):
                call.body = await answers.read_up_to(call.body, MAX_KEYED_BODY_BYTES)
        except TimeoutError:
            raise CallError(ErrorKind.EXPIRED_UNSENT) from None
        if not call.body.whole:
            detail = f"a keyed call's body is at most {MAX_KEYED_BODY_BYTES} bytes"
            raise CallError(ErrorKind.BODY_TOO_LARGE, detail)
