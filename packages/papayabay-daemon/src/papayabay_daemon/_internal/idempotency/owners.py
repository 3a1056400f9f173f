"""Hints of which daemon claimed a key, and asking that daemon."""

from papayabay_core.errors import CallError, ErrorKind

MAX_OWNER_HINTS = 4_096
"""Most keys of which it is remembered who claimed them."""


class ClaimOwners:
    """Remembers claimants of keys that were repeated here.

    To ask the store each time would cost a write that fails. A hint may be
    old: whoever gets a forwarded call looks at its own memory and at the
    store, so a wrong one runs nothing twice.

    Parameters
    ----------
    state : GateState

    Attributes
    ----------
    names_by_key : dict
        Names of daemons by (service, key), the oldest hint first.
    """

    def __init__(self, state):
        self.state = state
        self.names_by_key = {}

    def get(self, scope):
        """Return the member that claimed a key when last seen, or None."""
        name = self.names_by_key.get(scope)
        member = self.state.live_member(name) if name else None
        if member is None:
            self.names_by_key.pop(scope, None)
        return member

    def remember(self, scope, name):
        """Remember who claimed a key; the oldest hint goes beyond the cap."""
        self.names_by_key.pop(scope, None)
        self.names_by_key[scope] = name
        if len(self.names_by_key) > MAX_OWNER_HINTS:
            del self.names_by_key[next(iter(self.names_by_key))]

    async def forward(self, member, call):
        """Ask the claimant, which knows what became of the call."""
        self.state.counters["forwarded_out"] += 1
        scope = (call.service, call.idempotency_key)
        self.remember(scope, member.name)
        try:
            return await self.state.links.forward(member, call)
        except CallError as error:
            if error.kind is not ErrorKind.LINK_UNAVAILABLE:
                raise
            self.names_by_key.pop(scope, None)
            # The key's first call may have run, so `not run` would mislead.
            detail = "the daemon that runs it can't be reached now"
            raise CallError(ErrorKind.KEY_IN_PROGRESS, detail) from error
