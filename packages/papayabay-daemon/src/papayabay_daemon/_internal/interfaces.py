"""The borders between the daemon's parts.

Each part is built against these, so that tests can put a small fake in the
place of any neighbour.
"""

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from papayabay_core.calls import Answer, Call, LoadState


class MemberState(IntEnum):
    """What gossip says of a daemon; at one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(slots=True)
class Member:
    """One daemon and the target beside it.

    Attributes
    ----------
    name : str
    incarnation : int
        Raised by the daemon itself at each start and to refute suspicion.
    host : str
    link_port, gossip_port, status_port : int
    failure_domain, region : str
    service : str
        Service of the announced target; empty while none is announced.
    slots : int
        Concurrent calls that the target announced.
    state : MemberState
    """

    name: str
    incarnation: int
    host: str
    link_port: int
    gossip_port: int
    status_port: int
    failure_domain: str
    region: str
    service: str = ""
    slots: int = 0
    state: MemberState = MemberState.ALIVE


class Members(Protocol):
    """Who is there."""

    local: Member

    def get(self, name: str) -> Member | None:
        """Return a member by name, or None."""

    def upstreams(self, service: str) -> list[Member]:
        """Return the live, not leaving members that announce a service."""

    def live(self) -> list[Member]:
        """Return all live members, this daemon too."""


CallHandler = Callable[[Call, str], Awaitable[Answer]]
"""Takes an incoming call and the peer's name; cancelled with the call."""

RequestHandler = Callable[[bytes, str], Awaitable[bytes]]
"""Answers a peer's control request."""


class Links(Protocol):
    """Links to other daemons; one per peer, made when first needed."""

    async def call(self, peer: Member, call: Call) -> Answer:
        """Send a call and return its answer.

        Raises
        ------
        CallError
            LINK_UNAVAILABLE when nothing was sent, LINK_LOST when the link
            broke or went silent after sending. Cancelling the awaiting task
            sends a cancel frame to the peer.
        """

    async def forward(self, peer: Member, call: Call) -> Answer:
        """Send a call to the daemon that is home to its key; see `call`."""

    async def request(
        self, peer: Member, topic: str, payload: bytes, timeout: float
    ) -> bytes:
        """Ask a control question; raises `ProtocolError`/`TimeoutError`."""

    def handle_calls(self, run: CallHandler, forward: CallHandler) -> None:
        """Set what takes incoming calls and forwarded calls."""

    def handle_requests(self, topic: str, handler: RequestHandler) -> None:
        """Set what answers one topic of control requests."""


class Confirmations(Protocol):
    """How lately the configuration of this daemon was the store's newest."""

    def own_confirmation(self) -> tuple[int, int] | None:
        """Return the held version and its confirmation's age, milliseconds.

        None where nobody needs to know, or nothing recent is known.
        """

    def peer_confirmed(self, version: int, age_ms: int, asked_at: float) -> None:
        """Take over what came with the answer to a call sent at a time."""


class Ticket(Protocol):
    """The right to hand one call to the target; given back exactly once."""

    def finish(self, answer: Answer | None) -> None:
        """Give the slot back; None when the call was cancelled."""


class Admission(Protocol):
    """Decides which calls the target beside this daemon gets, and when."""

    async def admit(self, call: Call) -> Ticket:
        """Wait for a slot.

        Raises
        ------
        CallError
            OVERLOADED with `retry_after_ms`, LIFETIME_TOO_SHORT,
            EXPIRED_UNSENT or LEAVING, as soon as it is known.
        """

    def load(self, path_key: str) -> LoadState:
        """Return the state that answers of this path carry."""


class Router(Protocol):
    """Chooses an upstream for each attempt and learns from its end."""

    def choose(self, call: Call, excluded: Collection[str]) -> Member:
        """Return where to send an attempt.

        Raises
        ------
        CallError
            NO_UPSTREAM when none is there; OVERLOADED with
            `retry_after_ms` when all that are left refuse the call's level.
        """

    def path_level(self, service: str, path_key: str) -> int:
        """Return the level that a service as a whole is believed to admit."""

    def explain(self, member: Member, call: Call) -> dict:
        """Return what is known of an upstream, for the log."""

    def started(self, member: Member, call: Call) -> None:
        """Note that an attempt was sent."""

    def ended(
        self, member: Member, call: Call, answer: Answer | None, elapsed: float
    ) -> None:
        """Note its end; None when it was cancelled or the link failed."""


class TargetClient(Protocol):
    """Hands admitted calls to the target over loopback HTTP."""

    async def run(self, call: Call, call_token: str) -> Answer:
        """Hand a call over and return the target's answer.

        Raises
        ------
        CallError
            TARGET_UNREACHABLE or TARGET_SHED (not run); TARGET_LOST,
            EXPIRED (unknown).
        """
