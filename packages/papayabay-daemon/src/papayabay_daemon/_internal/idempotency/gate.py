"""The gate that non-idempotent calls pass: one attempt per key at a time."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.idempotency import answers, keys
from papayabay_daemon._internal.idempotency.attempts import KeyTable
from papayabay_daemon._internal.idempotency.claimed import ClaimedKeys
from papayabay_daemon._internal.idempotency.claims import ClaimStore
from papayabay_daemon._internal.idempotency.held import HeldClaims
from papayabay_daemon._internal.idempotency.holders import Holders
from papayabay_daemon._internal.idempotency.home import HomeKeys, home_gone
from papayabay_daemon._internal.idempotency.repeats import Repeats
from papayabay_daemon._internal.idempotency.running import Runner
from papayabay_daemon._internal.idempotency.settling import Settling
from papayabay_daemon._internal.idempotency.state import GateState

KEYED_BODY_BYTES = 1024 * 1024
"""Largest request body of a keyed call; it is digested whole."""
CLOSE_TIMEOUT = 5.0


async def no_dispatch(call):
    """Refuse a forwarded call before `set_forwarded_dispatch` was called."""
    raise CallError(ErrorKind.LEAVING, "this daemon takes no forwarded calls")


class IdempotencyGate:
    """Runs keyed calls at most once.

    This is the border: it checks keys and bodies, and hands each call to the
    part that knows its kind of key.

    Parameters
    ----------
    settings : DaemonSettings
    local : Member
        This daemon, as it started.
    table : TableService
    links : Links
    members : Members
    clock : callable
        Seconds on a clock that counts suspended time.
    sleep : callable
        Coroutine function; tests replace it.

    Attributes
    ----------
    counters : Counter
        Attempts by outcome, joined and recorded repeats, forwards, claims
        held, resumed and released.
    claims : ClaimStore
        Its `counters` hold ``writes``, ``outcome_writes``, ``reads``,
        ``ambiguous``, ``refused`` and ``claims_held_back``.
    key_table : KeyTable
        What is remembered of keys.
    held : dict
        Entries of claims that were not run, the longest held first.
    holders : dict
        Names of the daemons that claimed keys which were repeated here.
    """

    def __init__(
        self, settings, local, table, links, members, clock=now, sleep=asyncio.sleep
    ):
        mint_keys = keys.KeyMint(
            settings.cluster.secret, local.name, local.incarnation, clock
        )
        timeout = settings.platform.timeout_ms / 1000
        self.clock = clock
        self.mint_keys = mint_keys
        self.claims = ClaimStore(table, clock, sleep, timeout)
        self.key_table = KeyTable(clock)
        self.state = GateState(
            local, links, members, clock, mint_keys, self.claims, self.key_table
        )
        self.counters = self.state.counters
        self.tasks = self.state.tasks
        self.forwarded_dispatch = no_dispatch
        self.assemble(timeout)

    def assemble(self, timeout):
        """Make the parts, each with those that it uses."""
        state = self.state
        runner = Runner(state)
        settling = Settling(state)
        hints = Holders(state)
        self.held_claims = HeldClaims(state, settling)
        self.repeats = Repeats(state, hints)
        self.home = HomeKeys(state, runner, self.repeats)
        self.claimed = ClaimedKeys(
            state, runner, self.repeats, hints, self.held_claims, settling, timeout
        )
        self.held = self.held_claims.entries
        self.holders = hints.names

    def set_forwarded_dispatch(self, dispatch):
        """Set what sends on calls that other daemons forward to this one."""
        self.forwarded_dispatch = dispatch

    def set_claim_precheck(self, precheck):
        """Set what is asked before a key is claimed for the first time.

        Parameters
        ----------
        precheck : callable
            Takes the call; raises a ``not run`` `CallError` when it would be
            refused at once, so that no write is spent on it.
        """
        self.claimed.precheck = precheck

    def mint(self):
        """Return a fresh key bound to this process.

        It is good for `keys.HOME_KEY_LIFE` seconds.
        """
        return self.mint_keys.mint()

    def parse(self, key):
        """Return the `HomeKey` of a key, or None; see `KeyMint.parse`."""
        return self.mint_keys.parse(key)

    async def run(self, call, rule, dispatch):
        """Run a keyed call, or answer it with what became of its key.

        Parameters
        ----------
        call : Call
        rule : CallRule
            Its `at_most_once` says which kinds of key are taken.
        dispatch : callable
            Coroutine function that sends the call on and returns its
            `Answer`. It may try several upstreams, after ``not run`` only.

        Returns
        -------
        Answer

        Raises
        ------
        CallError
            ``not run`` is said of this call alone: an earlier call with the
            same key may have been run.
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
            return await self.claimed.run(call, dispatch, may_forward=True)
        if self.mint_keys.is_ours(home):
            return await self.home.run(call, home, dispatch)
        return await self.home.forward(call, home)

    async def handle_forwarded(self, call, peer):
        """Run or answer a call that a peer forwarded to this daemon.

        It is never forwarded again, whatever the two daemons believe of the
        key, so calls can't go round in circles.
        """
        self.counters["forwarded_in"] += 1
        keys.check_key(call.idempotency_key)
        home = self.parse(call.idempotency_key)
        await self.read_body(call)
        dispatch = self.forwarded_dispatch
        if home is None:
            return await self.claimed.run(call, dispatch, may_forward=False)
        if self.mint_keys.is_ours(home):
            return await self.home.run(call, home, dispatch)
        raise home_gone()

    async def close(self, timeout=CLOSE_TIMEOUT):
        """Wait for running attempts and unwritten outcomes, then give up.

        Claims that are held are released, the newest and at most
        `held.CLOSE_BATCH` of them.

        Parameters
        ----------
        timeout : float
            Seconds. A claim whose outcome or release isn't written by then
            reads as ``unknown`` to everybody.
        """
        self.state.closing = True
        self.held_claims.release_newest()
        ends_at = now() + timeout
        while self.tasks and now() < ends_at:
            await asyncio.wait(self.tasks, timeout=ends_at - now())
        left = list(self.tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def read_body(self, call):
        """Bring the whole body to hand, within the call's life."""
        if call.body.is_complete:
            return
        try:
            async with asyncio.timeout(call.expires_at - self.clock()):
                call.body = await answers.read_up_to(call.body, KEYED_BODY_BYTES)
        except TimeoutError:
            raise CallError(ErrorKind.EXPIRED_UNSENT) from None
        if not call.body.is_complete:
            detail = f"a keyed call's body is at most {KEYED_BODY_BYTES} bytes"
            raise CallError(ErrorKind.BODY_TOO_LARGE, detail)
