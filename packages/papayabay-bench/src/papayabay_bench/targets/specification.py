"""What a stand-in target is told: its paths, slots and call graph."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Count = Annotated[int, Field(ge=1, le=100_000)]
Milliseconds = Annotated[float, Field(ge=0.0, le=600_000.0)]


class Strict(BaseModel):
    """A table in which an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceTime(Strict):
    """Distribution of the slot time that one call's own work takes."""

    distribution: Literal["fixed", "exponential", "lognormal"] = "exponential"
    mean_ms: Milliseconds = 10.0
    sigma: Annotated[float, Field(ge=0.0, le=3.0)] = 0.5


class OutgoingCall(Strict):
    """One call that a target makes while it works on another."""

    service: str
    path: Annotated[str, Field(pattern=r"^/")]
    method: str = "GET"
    repeats: Annotated[int, Field(ge=0, le=20)] = 0


class CallPath(Strict):
    """What a target does for calls whose path begins with `prefix`.

    Attributes
    ----------
    crash : bool
        Whether the target ends as soon as it begins to run one.
    """

    prefix: Annotated[str, Field(pattern=r"^/")]
    work: ServiceTime = ServiceTime()
    calls: list[OutgoingCall] = []
    parallel: bool = False
    effect: bool = False
    crash: bool = False
    answer_bytes: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] = 200


class TargetTraits(Strict):
    """What all stand-in targets of a service have in common.

    Attributes
    ----------
    slots : int
        Calls worked on at once; further ones wait inside, first come first.
    announced_slots : int or None
        What the announcement says instead of the truth.
    connections : int
        Calls inside at once; a connection beyond them is dropped.
    holds_slot : bool
        Whether a slot stays taken while the target's own calls run.
    cold_factor : float
        Service time right after a start, relative to a warm target.
    revive_ms : int
        How long a target that has crashed is away.
    """

    paths: list[CallPath]
    slots: Count = 10
    announced_slots: Count | None = None
    connections: Count = 150
    holds_slot: bool = True
    cold_start_ms: Annotated[int, Field(ge=0)] = 0
    cold_factor: Annotated[float, Field(ge=1.0)] = 4.0
    lease_ms: Annotated[int, Field(ge=50)] = 3_000
    revive_ms: Annotated[int, Field(ge=0)] = 2_000


class TargetSpec(TargetTraits):
    """One stand-in target and the daemon beside it.

    Attributes
    ----------
    daemon_url : str
        The daemon's target door; empty for a target without a daemon.
    port : int
        Kept over a restart; 0 takes any free one.
    cancel_path : str
        Where a call is stopped; ``{call}`` stands for its token.
    """

    name: str
    service: str
    daemon_url: str = ""
    port: Annotated[int, Field(ge=0, le=65_535)] = 0
    shed_status: Annotated[int, Field(ge=400, le=599)] = 429
    cancel_path: str = "/.bench/cancel/{call}"
    outgoing_timeout_ms: Annotated[int, Field(ge=1)] = 10_000
    seed: int = 0


class HostSpec(Strict):
    """The targets of one process, and where their records go."""

    targets: list[TargetSpec]
    records_path: str = ""
    control_port: Annotated[int, Field(ge=0, le=65_535)] = 0
