"""Data classes of a parsed scenario."""

from dataclasses import dataclass, field

from papayabay_bench.scenarios.errors import Position


@dataclass(slots=True)
class Step:
    """An outgoing call of a call.

    Attributes
    ----------
    retries : int
        Retries that the calling target itself makes.
    """

    service: str
    call: str
    retries: int
    position: Position

    @property
    def name(self):
        """Service and call as the scenario writes them."""
        return f"{self.service}.{self.call}"


@dataclass(slots=True)
class Call:
    """One call of a service.

    Attributes
    ----------
    importance : str
        "critical", "normal" or "sheddable".
    once : str
        "claim", "token" or "either": kind of idempotency key of a call that
        must run at most once. Empty for an idempotent call.
    effect : bool
        Whether the call performs a recorded effect.
    work_ms : float
        Mean slot time of the call's own work.
    distribution, sigma : str, float
        Distribution of the slot time, and its shape if it is lognormal.
    credits : int or None
        Retry budget of a request.
    together : bool
        Whether the outgoing calls in `steps` run in parallel.
    """

    name: str
    method: str
    path: str
    importance: str
    position: Position
    once: str = ""
    effect: bool = False
    work_ms: float = 10.0
    distribution: str = "exponential"
    sigma: float = 0.5
    answer_bytes: int = 200
    deadline_ms: int | None = None
    credits: int | None = None
    together: bool = False
    steps: list[Step] = field(default_factory=list)

    @property
    def prefix(self):
        """The path up to its first placeholder or wildcard."""
        return self.path.partition("{")[0].removesuffix("*")


@dataclass(slots=True)
class Service:
    """One service and its targets.

    Attributes
    ----------
    slots, connections : int
        Of each upstream: calls it works on and accepts at the same time.
    announced_slots : int or None
        Number of slots that targets announce in place of the true one.
    holds_slot : bool
        Whether a call holds its slot while its outgoing calls run.
    cold_start_ms, cold_factor : int, float
        How long a target is slow after its start, and the initial factor.
    credits : int or None
        Retry budget of a request.
    settings : list of (str, str, object)
        Group, key and value of other settings of the service's policy.
    """

    name: str
    position: Position
    upstreams: int = 2
    slots: int = 10
    connections: int = 150
    announced_slots: int | None = None
    holds_slot: bool = True
    cold_start_ms: int = 0
    cold_factor: float = 4.0
    deadline_ms: int | None = None
    credits: int | None = None
    settings: list[tuple[str, str, object]] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)


@dataclass(slots=True)
class Share:
    """The share of a load's requests that are sent to one call.

    Attributes
    ----------
    percent : float
        A fraction from 0 to 1.
    """

    percent: float
    service: str
    call: str
    position: Position

    @property
    def name(self):
        """Service and call as the scenario writes them."""
        return f"{self.service}.{self.call}"


@dataclass(slots=True)
class LoadPhase:
    """A part of a load whose rate is constant or changes linearly.

    Attributes
    ----------
    start_rate, end_rate : float
        Requests per second.
    seconds : float
    """

    start_rate: float
    end_rate: float
    seconds: float


@dataclass(slots=True)
class Load:
    """The requests of one population of clients.

    Attributes
    ----------
    wait_ms : int
        Time-out of an attempt.
    retries : int
        Maximum number of retries of a request.
    pause_ms : int
        Pause before a retry.
    honours_retry_after : bool
        Whether retries wait for the time that a refusal's answer gives.
    paced : bool
        Whether requests are evenly spaced, in place of a Poisson process.
    """

    name: str
    position: Position
    mix: list[Share] = field(default_factory=list)
    phases: list[LoadPhase] = field(default_factory=list)
    wait_ms: int = 1_000
    retries: int = 0
    pause_ms: int = 0
    honours_retry_after: bool = False
    paced: bool = False

    @property
    def seconds(self):
        """Duration of the load."""
        return sum(phase.seconds for phase in self.phases)


@dataclass(slots=True)
class Fault:
    """A fault that is injected while the load runs.

    Attributes
    ----------
    kind : str
        Name of the action's rule in the grammar.
    subject : str
        Service, target, daemon, domain or load that it affects.
    value : float or str
        Depends on the kind: a factor, load, threshold, time in milliseconds
        or share, or whether a target or a daemon is affected.
    start_seconds : float
        Time from the start of the load.
    duration_seconds : float or None
        None for a fault that is not ended.
    """

    kind: str
    subject: str
    value: object
    start_seconds: float
    duration_seconds: float | None
    position: Position

    @property
    def end_seconds(self):
        """Time of its end; time of its start if it is not ended."""
        return self.start_seconds + (self.duration_seconds or 0.0)

    def is_active(self, time):
        """Return whether it is active at a time from the load's start."""
        return self.start_seconds <= time and (
            self.duration_seconds is None or time < self.end_seconds
        )


@dataclass(slots=True)
class Expectation:
    """One `expect` line.

    Attributes
    ----------
    words : tuple of str
        Words that name the measure, its class and its window.
    comparison : str
        One of ">=", "<=" and "=".
    value : float
        Shares are fractions, times are in seconds.
    of_bound : bool
        Whether the value is a share of the computed bound.
    text : str
        The line as written.
    """

    words: tuple[str, ...]
    comparison: str
    value: float
    of_bound: bool
    text: str
    position: Position


@dataclass(slots=True)
class Scenario:
    """A scenario file.

    Attributes
    ----------
    source : str
        Name of the file.
    domains : int
        Number of failure domains.
    entries : int
        Number of daemons without a target.
    decisions : dict of str to object
        Overrides of the policy's decisions.
    overload : (float, float) or None
        Time from the load's start that counts as overload, if it is given.
    """

    source: str = ""
    name: str = ""
    scale: str = ""
    domains: int = 2
    entries: int = 0
    decisions: dict[str, object] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    loads: dict[str, Load] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)
    overload: tuple[float, float] | None = None

    @property
    def seconds(self):
        """Duration of the longest load."""
        return max((load.seconds for load in self.loads.values()), default=0.0)

    @property
    def trigger(self):
        """Start and end of the overload in seconds; None without faults.

        If the scenario doesn't give them, the time from the start of the
        first fault to the end of the last one.
        """
        if self.overload or not self.faults:
            return self.overload
        return (
            min(fault.start_seconds for fault in self.faults),
            max(fault.end_seconds for fault in self.faults),
        )

    def call(self, step):
        """Return the call that a step or a share refers to."""
        return self.services[step.service].calls[step.call]
