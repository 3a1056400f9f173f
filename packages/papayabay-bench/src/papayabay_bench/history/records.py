"""Record types of a history and its file format, JSON Lines."""

import json
from dataclasses import asdict, dataclass
from enum import Enum


class Outcome(Enum):
    """How one attempt ended for its caller.

    WRONG: a success status with another call's or a truncated answer.
    CUT: the connection broke before the answer was complete.
    UNCONNECTED: no connection could be opened.
    """

    GOOD = "good"
    WRONG = "wrong"
    ERROR = "error"
    TIMED_OUT = "timed-out"
    CUT = "cut"
    UNCONNECTED = "unconnected"


class Phase(Enum):
    """Whether a `Fault` record is the begin or the end of the fault."""

    BEGIN = "begin"
    END = "end"


@dataclass(slots=True)
class Invocation:
    """An attempt that a client sent.

    Attributes
    ----------
    attempt : str
        Unique name; targets record it with all work done for the attempt.
    request : str
        Name of the request, shared by all its attempts; answers repeat it.
    key : str
        Idempotency key, or empty.
    entry : str
        Name of the daemon that it was sent to.
    time : float
        When it was sent, on `clock.now()` like all times of a history.
    """

    attempt: str
    request: str
    key: str
    entry: str
    service: str
    method: str
    path: str
    body_bytes: int
    time: float


@dataclass(slots=True)
class Answered:
    """The end of an attempt, as its caller saw it.

    Attributes
    ----------
    outcome : str
        Value of an `Outcome`.
    status : int
        HTTP status; 0 without an answer.
    kind : str
        Error kind of an answer that a daemon made; empty for a target's.
    effect : str
        Value of the answer's effect header: whether the call was run.
    """

    attempt: str
    outcome: str
    status: int
    kind: str
    effect: str
    time: float


@dataclass(slots=True)
class Arrival:
    """A call that arrived at a target; see `targets.records.Execution`.

    Attributes
    ----------
    end : str
        How the call ended inside the target.
    began, time : float
        When it arrived and when it ended.
    """

    target: str
    service: str
    attempt: str
    nonce: str
    path: str
    end: str
    status: int
    began: float
    time: float


@dataclass(slots=True)
class Effect:
    """An irreversible effect that a target performed."""

    target: str
    service: str
    attempt: str
    key: str
    path: str
    time: float


@dataclass(slots=True)
class Sample:
    """Values of a daemon's status page.

    They were valid at some time between the request and the answer.

    Attributes
    ----------
    life : int
        Process id of the daemon, which changes with each restart.
    version : int
        Policy version in force.
    inversions, idle_refusals : int
        Admission counters since the process started.
    asked, time : float
        When the request was sent and when the answer had arrived.
    """

    daemon: str
    life: int
    version: int
    inversions: int
    idle_refusals: int
    asked: float
    time: float


@dataclass(slots=True)
class Document:
    """The policy values in force at a daemon at the end of a run."""

    daemon: str
    version: int
    values: dict
    time: float


@dataclass(slots=True)
class PatchSubmitted:
    """A patch that an operator submitted, based on version `base`."""

    patch_id: str
    base: int
    author: str
    time: float


@dataclass(slots=True)
class PatchOutcome:
    """The outcome of a patch that its operator got.

    Attributes
    ----------
    outcome : str
        Value of a `CommitOutcome`, or "not-written" when the platform
        failed before the patch was written.
    """

    patch_id: str
    outcome: str
    version: int
    time: float


@dataclass(slots=True)
class PatchStored:
    """A patch that is stored in the platform's table after a run."""

    version: int
    patch_id: str
    base: int
    changes: dict
    time: float


@dataclass(slots=True)
class Fault:
    """The begin or the end of an injected fault.

    Attributes
    ----------
    kind : str
        One of the kinds in `schedule.SUBJECTS`, or "undrained".
    subject : str
        Daemon, target or service that it affects; empty for the store.
    phase : str
        Value of a `Phase`.
    """

    kind: str
    subject: str
    phase: str
    time: float


RECORDS = {
    record.__name__: record
    for record in (
        Invocation,
        Answered,
        Arrival,
        Effect,
        Sample,
        Document,
        PatchSubmitted,
        PatchOutcome,
        PatchStored,
        Fault,
    )
}


class History:
    """All records of one run, sorted by time.

    Parameters
    ----------
    seed : int
    records : iterable
    """

    def __init__(self, seed, records=()):
        self.seed = seed
        self.records = sorted(records, key=lambda record: record.time)

    def of_type(self, *kinds):
        """Return the records of the given types, sorted by time."""
        return [record for record in self.records if isinstance(record, kinds)]


def to_line(record):
    """Return a record as one line of JSON."""
    return json.dumps({"record": type(record).__name__} | asdict(record))


def write_history(history, path):
    """Write a history as JSON Lines."""
    with open(path, "w") as file:
        file.write(json.dumps({"record": "History", "seed": history.seed}) + "\n")
        file.writelines(to_line(record) + "\n" for record in history.records)


def read_history(path):
    """Read a history from a file.

    Raises
    ------
    ValueError
        When a line is not a record; names the first such line.
    """
    seed, records = 0, []
    with open(path) as file:
        for number, line in enumerate(file, 1):
            try:
                values = json.loads(line)
                name = values.pop("record")
                if name == "History":
                    seed = values["seed"]
                else:
                    records.append(RECORDS[name](**values))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise ValueError(f"{path}:{number}: not a record: {error}") from None
    return History(seed, records)
