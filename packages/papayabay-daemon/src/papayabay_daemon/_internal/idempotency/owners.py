"""Cache of the daemons that own claims, and forwarding of calls to them."""

from papayabay_core.errors import CallError, ErrorKind

MAX_CACHED_OWNERS = 4_096
"""Most keys whose owner is cached."""


class ClaimOwners:
    """Caches which daemons own the claims on keys that were repeated here.

    Without it each repeat would cost a claim write that fails. An entry is
    only a hint and may be stale. A wrong one runs no call twice, as the
    daemon that gets a forwarded call checks its own memory and the store.

    Parameters
    ----------
    state : GateState

    Attributes
    ----------
    names_by_key : dict
        Names of daemons by (service, key), the oldest entry first.
    """

    def __init__(self, state):
        self.state = state
        self.names_by_key = {}

    def get(self, scope):
        """Return the member that probably owns a key's claim, or None."""
        name = self.names_by_key.get(scope)
        member = self.state.live_member(name) if name else None
        if member is None:
            self.names_by_key.pop(scope, None)
        return member

    def remember(self, scope, name):
        """Cache the owner of a key's claim; evict the oldest if full."""
        self.names_by_key.pop(scope, None)
        self.names_by_key[scope] = name
        if len(self.names_by_key) > MAX_CACHED_OWNERS:
            del self.names_by_key[next(iter(self.names_by_key))]

    async def forward(self, member, call):
        """Forward a call to the owner of its key's claim.

        Raises
        ------
        CallError
            The owner's error; KEY_IN_PROGRESS if it cannot be reached.
        """
        self.state.counters["forwarded_out"] += 1
        scope = (call.service, call.idempotency_key)
        self.remember(scope, member.name)
        try:
            return await self.state.links.forward(member, call)
        except CallError as error:
            if error.kind is not ErrorKind.LINK_UNAVAILABLE:
                raise
            self.names_by_key.pop(scope, None)
            # LINK_UNAVAILABLE has the effect `not run`, but the first call
            # with this key may have run.
            detail = "the daemon that runs it can't be reached now"
            raise CallError(ErrorKind.KEY_IN_PROGRESS, detail) from error
