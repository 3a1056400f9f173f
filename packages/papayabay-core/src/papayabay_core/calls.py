"""Calls, their answers and the load reports that daemons exchange.

They are `msgspec` structs and not data classes, as several are made for each
call at each daemon: a struct is made in a third of the time if its values are
positional, and copied in a quarter of the time.
"""

from collections.abc import AsyncIterator

from msgspec import Struct, field

from papayabay_core.errors import Effect, ErrorKind
from papayabay_core.importance import ADMIT_ALL, RANK_BITS, Importance
from papayabay_core.utils.clock import now


class Body(Struct):
    """A message body, complete in memory or streamed.

    Attributes
    ----------
    first : bytes
        The complete body when `rest` is None, else its first part.
    rest : AsyncIterator of bytes or None
        The parts that follow `first`. Once iteration has started, the body
        can't be sent again.
    """

    first: bytes = b""
    rest: AsyncIterator[bytes] | None = None

    @property
    def is_complete(self):
        """Whether all of the body is in memory."""
        return self.rest is None


class Call(Struct):
    """One call of one request, as seen by the daemon that handles it.

    Attributes
    ----------
    request_id : str
        Identifier of the request that the call belongs to, assigned by the
        daemon at which the request enters.
    service : str
        The service called.
    method, path : str
        HTTP method and request target (path with query), unchanged.
    headers : list of (str, str)
        End-to-end headers in their original order and spelling.
    body : Body
    importance : Importance
        Class used for admission and shedding, set by the entry daemon.
    rank : int
        Rank of the request in [0, RANKS), the same for all of its calls.
        Lower ranks are shed later.
    depth : int
        0 for the entry call, one more at each hop.
    expires_at : float
        Deadline, on `clock.now()` of this machine.
    credits : int
        Retry credits that this call and its subtree may spend.
    idempotent : bool
        Whether policy allows another attempt when it is unknown if an
        earlier one took effect.
    idempotency_key : str
        Idempotency key sent by the caller; empty without one.
    path_key : str
        Service and name of the policy rule that matched. Load and service
        times are tracked per rule, not per URL, which bounds their number.
    repeated : bool
        Whether this is a retry, or a call made while a retry was running.
    declared_class : Importance or None
        The class that policy declares, if `importance` is a higher class;
        see `effective_priority`. None if both are the same.
    attempts : int
        How many upstreams may run the call; 0 means no limit. Known to the
        dispatching daemon only, not sent over links.
    account : str
        Name of the client account of the request; empty without one.
    key_digest : str
        Digest of the key that authenticated the request; empty without one.
        Known to the entry daemon only, not sent over links.
    due_at : float or None
        Time, on `clock.now()` of this machine, at which the answer is needed
        for the whole request to be in time; None if nothing sets it.
    path_class : int
        Importance class of the entry path, which orders calls of requests
        whose accounts give them the same class.
    rest_s : float
        Seconds that the request takes at least between the answer to this
        call and its deadline `expires_at`.
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
    due_at: float | None = None
    path_class: int = 0
    rest_s: float = 0.0

    @property
    def policy_class(self):
        """The importance class that policy declares for the call.

        Some requests of a path that is served too seldom are admitted as if
        critical; see `ServedShares`. Other scarce resources, such as the retry
        budget, go by the declared class.
        """
        return self.importance if self.declared_class is None else self.declared_class

    @property
    def level(self):
        """The admission level of the call; see `importance.level_of`."""
        # As `level_of` but without its call; routing reads it for each choice.
        return (self.importance << RANK_BITS) | self.rank

    def remaining(self):
        """Return the seconds until the deadline; negative once expired."""
        return self.expires_at - now()

    def for_attempt(self, attempt_credits, repeated):
        """Return a copy that differs in credits and in `repeated`.

        Nearly every call of a target needs one, and `structs.replace` takes
        several times as long.
        """
        attempt = self.__copy__()
        attempt.credits = attempt_credits
        attempt.repeated = repeated
        return attempt


SERVER_ERROR = 500
"""Lowest HTTP status that reports a failure of the server."""
MAX_PATH_LEVELS = 16
"""Most call paths in `LoadState.path_levels`; the lowest levels are kept."""
MAX_WORK_SERVICES = 8
"""Most services in `LoadState.work_ms`; the largest amounts are kept."""


class LoadState(Struct, array_like=True):
    """Load of one target, reported by its daemon with each answer.

    It is part of an answer's frame between daemons, without a copy into
    another type: daemons decode the fields by position, so new ones come last
    and have a default.

    Attributes
    ----------
    in_flight : int
        Calls forwarded to the target and not answered yet.
    queued : int
        Calls waiting for admission.
    limit : int
        Current concurrency limit of the target.
    queue_ms : float
        Recent queueing delay of admitted calls, milliseconds.
    service_ms : float
        Recent time from forwarding a call to its answer, milliseconds.
    admit_level : int
        Highest level that this daemon currently admits, on all paths.
    path_levels : dict of str to int
        For call paths on which downstream services refuse some calls, the
        highest level that they admit, by path key; see `MAX_PATH_LEVELS`.
    work_ms : dict of str to float
        Slot time, in milliseconds, that one run of the answered call's path
        takes of each scarce service, by service; see `MAX_WORK_SERVICES`.
    slowdown : float
        How many times longer than usual work takes on the target's host.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    queue_ms: float = 0.0
    service_ms: float = 0.0
    admit_level: int = ADMIT_ALL
    path_levels: dict[str, int] = {}
    work_ms: dict[str, float] = {}
    slowdown: float = 1.0


class Answer(Struct):
    """The result of a call: a target's answer or an error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
    body : Body
    kind : ErrorKind or None
        None for an answer of a target.
    effect : Effect
        RUN for an answer of a target.
    retry_after_ms : int
        For refusals, the delay before a retry; 0 where none is known.
    credits_left : int
        Unused retry credits, returned to the calling daemon.
    load : LoadState or None
        Load of the upstream that answered.
    exhausted : bool
        Whether a downstream daemon has already tried another upstream, or
        had none to try. Daemons closer to the entry then don't retry it.
    detail : str
        Human-readable explanation of the error kind, one line.
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
        """Whether the status is a server error, from a target or a daemon."""
        return self.status >= SERVER_ERROR
