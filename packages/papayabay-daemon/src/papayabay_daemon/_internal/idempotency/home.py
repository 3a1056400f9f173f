"""Calls with home-bound keys, which only the daemon that issued them runs."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.key_table import KeyState


class HomeKeys:
    """Runs calls with home-bound keys, or forwards them to the key's home.

    The store is not needed: only the process that issued a key may run its
    call, and it remembers the outcome in memory.

    Parameters
    ----------
    state : GateState
    runner : AttemptRunner
    repeat_handler : RepeatHandler
    """

    def __init__(self, state, runner, repeat_handler):
        self.state = state
        self.runner = runner
        self.repeat_handler = repeat_handler

    async def forward(self, call, home):
        """Forward a call to the daemon that its key is bound to.

        The home checks itself whether it is still the process that issued
        the key. Its incarnation in gossip does not show this, as it also
        grows without a restart.
        """
        member = self.state.live_member(home.home)
        if member is None or home.home == self.state.local.name:
            raise home_unavailable()
        self.state.counters["forwarded_out"] += 1
        return await self.state.links.forward(member, call)

    async def run(self, call, home, dispatch):
        """Run a call whose key is bound to this process."""
        scope = (call.service, call.idempotency_key)
        digest = keys.call_digest(call)
        entry = self.state.key_table.get(scope)
        if entry is not None:
            return await self.repeat_handler.answer(
                entry, call, digest, may_forward=False
            )
        expires_at = home.issued_ms / 1000 + keys.HOME_KEY_TTL_SECONDS
        if self.state.clock() >= expires_at:
            # The record of a key is dropped after this time, so the call may
            # have run before without a trace.
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the key is too old")
        self.state.check_open()
        entry = self.state.key_table.add(scope, digest)
        attempt = self.run_attempt(scope, entry, call, dispatch, expires_at)
        return await self.runner.start(entry, attempt)

    async def run_attempt(self, scope, entry, call, dispatch, expires_at):
        """Dispatch the call and record its outcome in the key table."""
        result = await self.runner.dispatch(entry, call, dispatch)
        if entry.state is KeyState.HELD:
            self.state.key_table.remove(scope, entry)
        else:
            self.state.key_table.replace_by_record(scope, entry, expires_at)
        return result


def home_unavailable():
    """Return the error for a key whose home process is gone."""
    detail = "the daemon that the key is bound to is gone"
    return CallError(ErrorKind.OUTCOME_UNKNOWN, detail)
