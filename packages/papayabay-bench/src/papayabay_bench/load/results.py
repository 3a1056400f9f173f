"""What became of each request, as JSON Lines."""

import json
from dataclasses import asdict, dataclass, field
from enum import Enum


class Outcome(Enum):
    """How one attempt, or a whole request, ended."""

    GOOD = "good"
    WRONG = "wrong"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    LOST = "lost"
    UNSENT = "unsent"


@dataclass(slots=True)
class Attempt:
    """One attempt of a request.

    Attributes
    ----------
    sent, ended : float
        On `clock.now()`.
    outcome : str
        Value of an `Outcome`.
    status : int
        0 without an answer.
    kind : str
        Error kind of papayabay's own answer; empty for a target's.
    effect : str
        What the answer says of the effect; empty if it says nothing.
    retry_after_ms : int
    """

    sent: float
    ended: float = 0.0
    outcome: str = Outcome.LOST.value
    status: int = 0
    kind: str = ""
    effect: str = ""
    retry_after_ms: int = 0


@dataclass(slots=True)
class Request:
    """One logical request with all its attempts.

    Attributes
    ----------
    due : float
        When it was to be sent, on `clock.now()`. Latency counts from here,
        so that a late generator does not hide a slow system.
    lateness_ms : float
        How much later the generator sent it.
    """

    request: str
    call: str
    importance: str
    key: str
    due: float
    lateness_ms: float = 0.0
    outcome: str = Outcome.UNSENT.value
    latency_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def good(self):
        """Whether the caller got the whole answer to this request."""
        return self.outcome == Outcome.GOOD.value

    @property
    def ended(self):
        """When the request ended, on `clock.now()`."""
        return self.due + self.latency_ms / 1_000


def to_line(request):
    """Return a request as one line of JSON."""
    return json.dumps(asdict(request)).encode() + b"\n"


def read_requests(paths):
    """Return the requests of several files, in order of time due."""
    found = []
    for path in paths:
        with open(path, "rb") as file:
            found.extend(from_line(line) for line in file)
    return sorted(found, key=lambda request: request.due)


def from_line(line):
    """Return the request of one line."""
    values = json.loads(line)
    values["attempts"] = [Attempt(**attempt) for attempt in values["attempts"]]
    return Request(**values)
