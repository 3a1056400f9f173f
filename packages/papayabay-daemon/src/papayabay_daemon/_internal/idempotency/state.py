"""State shared by the components of the idempotency gate."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency.claims import ClaimStore
from papayabay_daemon._internal.idempotency.key_table import KeyTable
from papayabay_daemon._internal.idempotency.keys import KeyMint
from papayabay_daemon._internal.interfaces import Links, Member, Members, MemberState


@dataclass(slots=True, eq=False)
class GateState:
    """Services, tables and counters of one gate.

    Attributes
    ----------
    local : Member
        This daemon, as it was at its start.
    links : Links
    members : Members
    clock : callable
        Returns seconds.
    key_mint : KeyMint
    claims : ClaimStore
    key_table : KeyTable
    counters : Counter
    tasks : set of asyncio.Task
        Running attempts and pending writes.
    closing : bool
        Whether the gate is closing and refuses new attempts.
    """

    local: Member
    links: Links
    members: Members
    clock: Callable[[], float]
    key_mint: KeyMint
    claims: ClaimStore
    key_table: KeyTable
    counters: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)
    closing: bool = False

    def check_open(self):
        """Raise `CallError` with LEAVING if the gate is closing."""
        if self.closing:
            raise CallError(ErrorKind.LEAVING)

    def live_member(self, name):
        """Return the member with a name, or None if unknown or dead."""
        member = self.members.get(name)
        gone = member is None or member.state is MemberState.DEAD
        return None if gone else member

    def spawn(self, coroutine):
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
