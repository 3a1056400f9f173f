"""What happened in a run: typed records, kept as JSON Lines."""

import json
from dataclasses import asdict, dataclass
from enum import Enum


class Outcome(Enum):
    """How one attempt ended for its caller."""

    GOOD = "good"
    WRONG = "wrong"
    ERROR = "error"
    TIMED_OUT = "timed-out"
    CUT = "cut"
    UNCONNECTED = "unconnected"


class Phase(Enum):
    """Whether a fault begins or ends."""

    BEGIN = "begin"
    END = "end"


@dataclass(slots=True)
class Invocation:
    """An attempt was sent.

    Attributes
    ----------
    attempt : str
        Unique; targets record it with all that is done for the attempt.
    request : str
        The same for all attempts of one request; answers repeat it.
    key : str
        Idempotency key; empty without one.
    entry : str
        Daemon that it was sent to.
    time : float
        On `clock.now()`, as all times of a history.
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
    """An attempt ended for its caller.

    Attributes
    ----------
    outcome : str
        Value of an `Outcome`.
    status : int
        0 without an answer.
    kind : str
        Error kind of the daemon's own answer; empty for a target's.
    effect : str
        What the answer says of the effect.
    """

    attempt: str
    outcome: str
    status: int
    kind: str
    effect: str
    time: float


@dataclass(slots=True)
class Arrival:
    """A call arrived at a target; see `targets.records.Execution`."""

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
    """A target took an irreversible effect."""

    target: str
    service: str
    attempt: str
    key: str
    path: str
    time: float


@dataclass(slots=True)
class Sample:
    """What a daemon said of itself between two times.

    Attributes
    ----------
    life : int
        Number of the daemon's process; a restart has a higher one.
    critical_refused, sheddable_admitted : int
        Admission's counters since the process started.
    asked, time : float
        When it was asked and when the answer was there.
    """

    daemon: str
    life: int
    version: int
    critical_refused: int
    sheddable_admitted: int
    asked: float
    time: float


@dataclass(slots=True)
class Document:
    """The policy values that a daemon has in force at the end."""

    daemon: str
    version: int
    values: dict
    time: float


@dataclass(slots=True)
class PatchSubmitted:
    """An operator submitted a patch against a version."""

    patch_id: str
    base: int
    author: str
    time: float


@dataclass(slots=True)
class PatchOutcome:
    """An operator was told what became of a patch."""

    patch_id: str
    outcome: str
    version: int
    time: float


@dataclass(slots=True)
class PatchStored:
    """A patch that the platform's table holds at the end."""

    version: int
    patch_id: str
    base: int
    changes: dict
    time: float


@dataclass(slots=True)
class Fault:
    """A fault begins or ends.

    Attributes
    ----------
    kind : str
    subject : str
        Daemon, target or service; empty for the store.
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
    """All records of one run in order of time.

    Parameters
    ----------
    seed : int
    records : iterable
    """

    def __init__(self, seed, records=()):
        self.seed = seed
        self.records = sorted(records, key=lambda record: record.time)

    def of_type(self, *kinds):
        """Return the records of some types, in order of time."""
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
    """Return the history of a file.

    Raises
    ------
    ValueError
        With the number of the first line that is no record.
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
