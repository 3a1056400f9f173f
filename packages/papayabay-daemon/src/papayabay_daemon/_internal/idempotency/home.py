"""Calls with keys that are bound to the daemon that minted them."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency import keys
from papayabay_daemon._internal.idempotency.attempts import KeyState


class HomeKeys:
    """Runs or forwards calls with home-bound keys; the store isn't used.

    Parameters
    ----------
    state : GateState
    runner : Runner
    repeats : Repeats
    """

    def __init__(self, state, runner, repeats):
        self.state = state
        self.runner = runner
        self.repeats = repeats

    async def forward(self, call, home):
        """Forward a call to the daemon that its key is bound to.

        The home itself tells whether it is still the process that minted
        the key: its incarnation in gossip also grows without a restart.
        """
        member = self.state.living(home.home)
        if member is None or home.home == self.state.local.name:
            raise home_gone()
        self.state.counters["forwarded_out"] += 1
        return await self.state.links.forward(member, call)

    async def run(self, call, home, dispatch):
        """Run a call whose key is bound to this process."""
        scope = (call.service, call.idempotency_key)
        digest = keys.call_digest(call)
        entry = self.state.key_table.get(scope)
        if entry is not None:
            return await self.repeats.repeat(entry, call, digest, may_forward=False)
        expires_at = home.issued_ms / 1000 + keys.HOME_KEY_LIFE
        if self.state.clock() >= expires_at:
            # What is remembered of a key goes after this time. To run it
            # now could be the second time, and nothing would show it.
            raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the key is too old")
        self.state.check_open()
        entry = self.state.key_table.add(scope, digest)
        attempt = self.attempt(scope, entry, call, dispatch, expires_at)
        return await self.runner.start(entry, attempt)

    async def attempt(self, scope, entry, call, dispatch, expires_at):
        """Make the attempt of a home-bound key."""
        result = await self.runner.dispatch(entry, call, dispatch)
        if entry.state is KeyState.HELD:
            self.state.key_table.remove(scope, entry)
        else:
            self.state.key_table.retire(scope, entry, expires_at)
        return result


def home_gone():
    """Return the error for a key whose home can't tell any more."""
    detail = "the daemon that the key is bound to is gone"
    return CallError(ErrorKind.OUTCOME_UNKNOWN, detail)
