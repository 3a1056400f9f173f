"""The data of one call, as a daemon keeps it and as links carry it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from papayabay_core.errors import Effect, ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance, level_of
from papayabay_core.utils.clock import now


@dataclass(slots=True)
class Body:
    """A message body: what is at hand and, for large ones, the rest.

    Attributes
    ----------
    first : bytes
        The whole body when `rest` is None, else its first part.
    rest : AsyncIterator of bytes or None
        Further parts. A body whose rest was begun can't be sent again.
    """

    first: bytes = b""
    rest: AsyncIterator[bytes] | None = None

    @property
    def is_complete(self):
        """Whether all of the body is at hand."""
        return self.rest is None


@dataclass(slots=True)
class Call:
    """One call of one request, as seen by the daemon that handles it.

    Attributes
    ----------
    request_id : str
        Identifier of the whole request, minted at its entry.
    service : str
        The service called.
    method, path : str
        HTTP method and target (path with query), unchanged.
    headers : list of (str, str)
        End-to-end headers, in order, names as they came.
    body : Body
    importance : Importance
        Fixed at the entry; how the call stands wherever some are refused.
    rank : int
        Stable per-request rank in [0, RANKS); the lower is kept longer.
    depth : int
        0 at the entry, one more at each hop.
    expires_at : float
        End of life on `clock.now()` of this machine.
    credits : int
        Retry credits that this call and its subtree may spend.
    idempotent : bool
        Whether policy lets the call be run again after a doubtful end.
    idempotency_key : str
        The key that the caller brought; empty without one.
    path_key : str
        Name of the policy rule's call path; what load and service time are
        learned by, so that both stay bounded.
    repeated : bool
        Whether it is another attempt, or made by a run that was one.
    declared_class : Importance or None
        The class that policy gives it, where it stands with a better one;
        see `effective_priority`.
    attempts : int
        Upstreams that may run it, 0 without a bound. Kept by the daemon that
        dispatches the call; it does not travel.
    account : str
        Name of the client account that the whole request belongs to; empty
        without one.
    key_digest : str
        Digest of the key that authenticated the request; empty without one.
        Kept by the entry daemon; it does not travel.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: Body
    importance: Importance
    rank: int
    depth: int
    expires_at: float
    credits: int
    idempotent: bool = True
    idempotency_key: str = ""
    path_key: str = ""
    attempts: int = 0
    repeated: bool = False
    declared_class: Importance | None = None
    account: str = ""
    key_digest: str = ""

    @property
    def policy_class(self):
        """The class by policy, however the call stands in lines.

        Those that are kept from a lesser class are let in with the critical
        ones, but what is scarce beyond a slot goes to critical ones first.
        """
        return self.importance if self.declared_class is None else self.declared_class

    @property
    def level(self):
        """The admission level; see `importance.level_of`."""
        return level_of(self.importance, self.rank)

    def remaining(self):
        """Return the seconds of life left; negative once expired."""
        return self.expires_at - now()


SERVER_ERROR = 500
"""Lowest HTTP status that tells of a failure."""
MAX_PATH_LEVELS = 16
"""Call paths that a `LoadState` names at most, the most refused first."""


@dataclass(slots=True)
class LoadState:
    """What a callee's daemon says of its target with each answer.

    Attributes
    ----------
    in_flight : int
        Calls handed to the target and not answered.
    queued : int
        Calls waiting for admission.
    limit : int
        Calls that the daemon hands over at once now.
    queue_ms : float
        Recent queueing delay of admitted calls, milliseconds.
    service_ms : float
        Recent time from handing over to answer, milliseconds.
    admit_level : int
        Highest level that this daemon itself admits now, on any path.
    path_levels : dict of str to int
        Highest level admitted by the services below, for each call path of
        this service on which they refuse some; see `MAX_PATH_LEVELS`.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    queue_ms: float = 0.0
    service_ms: float = 0.0
    admit_level: int = ADMIT_ALL
    path_levels: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Answer:
    """The end of a call: a target's answer or an error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
    body : Body
    kind : ErrorKind or None
        None for an answer that a target gave.
    effect : Effect
        RUN for a target's answer.
    retry_after_ms : int
        When to come back, for refusals; 0 where nothing is said.
    credits_left : int
        Unused retry credits that come back to the caller's account.
    load : LoadState or None
        State of the upstream that answered.
    exhausted : bool
        Whether a daemon below has tried elsewhere, or had nowhere else; no
        daemon above repeats the call then.
    detail : str
        One line for people on an error kind.
    """

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: Body = field(default_factory=Body)
    kind: ErrorKind | None = None
    effect: Effect = Effect.RUN
    retry_after_ms: int = 0
    credits_left: int = 0
    load: LoadState | None = None
    exhausted: bool = False
    detail: str = ""

    @property
    def failed(self):
        """Whether its status tells of a failure, of whoever gave it."""
        return self.status >= SERVER_ERROR
