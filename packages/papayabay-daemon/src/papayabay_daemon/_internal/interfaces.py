"""Interfaces between the daemon's components.

Components depend on these protocols only, so that tests can replace any of
them by a small fake.
"""

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from papayabay_core.calls import Answer, Call, LoadState


class MemberState(IntEnum):
    """State of a daemon in gossip.

    Of two states with the same incarnation, the higher one is taken.
    """

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
        Increased by the daemon itself at each start and to refute suspicion.
    host : str
    link_port, gossip_port, status_port : int
    failure_domain, region : str
    service : str
        Service of the announced target; empty while none is announced.
    slots : int
        Number of concurrent calls that the target announced.
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
    """The members of the fleet that this daemon knows."""

    local: Member

    def get(self, name: str) -> Member | None:
        """Return a member by name, or None."""

    def upstreams(self, service: str) -> list[Member]:
        """Return the live members that announce a service.

        Members that are leaving are left out.
        """

    def live(self) -> list[Member]:
        """Return all live members, including this daemon."""


CallHandler = Callable[[Call, str], Awaitable[Answer]]
"""Runs a call, given the call and the peer's name; cancelled with the call."""

RequestHandler = Callable[[bytes, str], Awaitable[bytes]]
"""Answers a control request, given its payload and the peer's name."""


class Links(Protocol):
    """Links to other daemons: one per peer, opened when first needed."""

    async def call(self, peer: Member, call: Call) -> Answer:
        """Send a call and return its answer.

        Raises
        ------
        CallError
            LINK_UNAVAILABLE when nothing was sent, LINK_LOST when the link
            broke or the peer became unresponsive after sending. EXPIRED_UNSENT
            or EXPIRED when the call's deadline had passed, or no answer came
            shortly after it.

        Cancelling the awaiting task sends a cancel frame to the peer.
        """

    async def forward(self, peer: Member, call: Call) -> Answer:
        """Forward a call to the home daemon of its idempotency key."""

    async def request(
        self, peer: Member, topic: str, payload: bytes, timeout: float
    ) -> bytes:
        """Send a control request and return the answer.

        Parameters
        ----------
        peer : Member
        topic : str
        payload : bytes
        timeout : float
            Seconds for the answer, without the time to open a link.

        Raises
        ------
        ProtocolError
            The peer refused the request, or there is no link to it.
        TimeoutError
        """

    def handle_calls(self, run: CallHandler, forward: CallHandler) -> None:
        """Set the handlers of incoming calls and of forwarded calls."""

    def handle_requests(self, topic: str, handler: RequestHandler) -> None:
        """Set the handler of control requests of one topic."""


class Confirmations(Protocol):
    """Confirmations that a configuration version is the store's newest."""

    def own_confirmation(self) -> tuple[int, int] | None:
        """Return this daemon's version and its confirmation's age.

        The age is in milliseconds. None if no peer needs the confirmation, or
        there is no recent one.
        """

    def peer_confirmed(self, version: int, age_ms: int, asked_at: float) -> None:
        """Apply a peer's confirmation that came with an answer to a call.

        Parameters
        ----------
        version : int
        age_ms : int
            Age of the confirmation when the peer sent it.
        asked_at : float
            Time at which the call was sent, in seconds.
        """


class Ticket(Protocol):
    """Permit to pass one call to the target; must be finished exactly once."""

    def finish(self, answer: Answer | None) -> None:
        """Release the slot; the answer is None for a cancelled call."""


class Admission(Protocol):
    """Decides which calls the target beside this daemon runs, and when."""

    async def admit(self, call: Call) -> Ticket:
        """Wait for a slot.

        Raises
        ------
        CallError
            OVERLOADED with `retry_after_ms`, LIFETIME_TOO_SHORT,
            EXPIRED_UNSENT or LEAVING, as soon as the reason is known.
        """

    def load(self, path_key: str) -> LoadState:
        """Return the load state that answers of this call path carry."""


class Router(Protocol):
    """Chooses an upstream for each attempt, and learns from its outcome."""

    def choose(self, call: Call, excluded: Collection[str]) -> Member:
        """Return the upstream for an attempt.

        Raises
        ------
        CallError
            NO_UPSTREAM when no upstream is left; OVERLOADED with
            `retry_after_ms` when all that are left refuse the call's level.
        """

    def path_level(self, service: str, path_key: str) -> int:
        """Return the estimated admission level of a service as a whole."""

    def path_work(self, service: str, path_key: str) -> float:
        """Return the slot milliseconds that a run takes of scarce services.

        It is 0.0 if that is unknown, or if the path takes nothing of them.
        """

    def path_services(self, service: str, path_key: str) -> dict[str, float]:
        """Return the slot milliseconds of a run by scarce service.

        The result is not to be changed.
        """

    def started(self, member: Member, call: Call, explain: bool) -> dict | None:
        """Record that an attempt is sent.

        With `explain`, return what is known of the upstream before the
        attempt, for the decision log.
        """

    def ended(
        self, member: Member, call: Call, answer: Answer | None, elapsed: float
    ) -> None:
        """Record the end of an attempt.

        Parameters
        ----------
        member : Member
        call : Call
        answer : Answer or None
            None when the attempt was cancelled or the link failed.
        elapsed : float
            Seconds.
        """


class TargetClient(Protocol):
    """Sends admitted calls to the target over loopback HTTP."""

    async def run(self, call: Call, call_token: str) -> Answer:
        """Send a call to the target and return its answer.

        Raises
        ------
        CallError
            TARGET_UNREACHABLE or TARGET_SHED if the call was not run;
            TARGET_LOST or EXPIRED if that is unknown.
        """
