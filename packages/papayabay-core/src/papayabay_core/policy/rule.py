"""The policy rule of one call path."""

from dataclasses import dataclass, field

from papayabay_core.importance import Importance
from papayabay_core.policy.document import Objective


@dataclass(frozen=True, slots=True)
class CallRule:
    """The policy rule of one call path.

    Attributes
    ----------
    service, name : str
        Service, and name of the call path within it.
    importance : Importance
        Class of requests that enter by this path.
    idempotent : bool
        False for calls that must take effect at most once.
    at_most_once : str
        "claim", "token" or "either", which require an idempotency key of the
        caller; or "attempt": each request is a single attempt, forwarded to
        a target at most once. Used only if not idempotent.
    deadline_ms : int
        Longest lifetime of a request that enters by this path.
    retry_credits : int
        Retries that such a request may use in its whole call tree.
    objective : Objective or None
    attempts : int
        How many upstreams may run one request; 0 means that only the retry
        credits limit it.
    public : bool
        Whether requests need no account key.
    path_key : str
        Key under which load and service times of this path are tracked.
    """

    service: str
    name: str
    importance: Importance
    idempotent: bool
    at_most_once: str
    deadline_ms: int
    retry_credits: int
    objective: Objective | None = None
    attempts: int = 0
    public: bool = False
    path_key: str = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        # Set once, since each call reads it several times.
        object.__setattr__(self, "path_key", f"{self.service}/{self.name}")
