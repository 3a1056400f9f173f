"""What the parts of the gate share."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency.attempts import KeyTable
from papayabay_daemon._internal.idempotency.claims import ClaimStore
from papayabay_daemon._internal.idempotency.keys import KeyMint
from papayabay_daemon._internal.interfaces import Links, Member, Members, MemberState


@dataclass(slots=True, eq=False)
class GateState:
    """The services, tables and counters of one gate.

    Attributes
    ----------
    local : Member
        This daemon, as it started.
    links : Links
    members : Members
    clock : callable
        Returns seconds.
    mint_keys : KeyMint
    claims : ClaimStore
    key_table : KeyTable
    counters : Counter
    tasks : set of asyncio.Task
        Attempts and writes that go on.
    closing : bool
        Whether new attempts are refused.
    """

    local: Member
    links: Links
    members: Members
    clock: Callable[[], float]
    mint_keys: KeyMint
    claims: ClaimStore
    key_table: KeyTable
    counters: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)
    closing: bool = False

    def check_open(self):
        """Refuse new attempts once the gate closes."""
        if self.closing:
            raise CallError(ErrorKind.LEAVING)

    def living(self, name):
        """Return the member of a name, or None when it is gone."""
        member = self.members.get(name)
        gone = member is None or member.state is MemberState.DEAD
        return None if gone else member

    def spawn(self, coroutine):
        """Return a task that is held until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
