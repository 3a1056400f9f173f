"""What policy says of one kind of call."""

from dataclasses import dataclass

from papayabay_core.importance import Importance
from papayabay_core.policy.document import Objective


@dataclass(frozen=True, slots=True)
class CallRule:
    """What policy says of one call path.

    Attributes
    ----------
    service, name : str
        Service, and name of the call within it.
    importance : Importance
        Class given to requests that enter by this path.
    idempotent : bool
        False for calls that must take effect at most once.
    at_most_once : str
        "claim", "token" or "either", which need a key of the caller; or
        "attempt": each request is one attempt, handed to a target at most
        once and then never again. Only read when not idempotent.
    deadline_ms : int
        Longest life of a request that enters by this path.
    retry_credits : int
        Retries that such a request may spend over its whole call tree.
    objective : Objective or None
    attempts : int
        Upstreams that may run one such request; 0 leaves that to the
        request's retry credits alone.
    public : bool
        Whether requests need no account's key.
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

    @property
    def path_key(self):
        """Name by which load and times of this path are kept."""
        return f"{self.service}/{self.name}"
