"""Components and counters that the modules of the call flow share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from papayabay_core.policy import Policy
from papayabay_core.settings import DaemonSettings
from papayabay_daemon._internal.accounts import (
    Authenticator,
    DemandReports,
    RateLimits,
)
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.interfaces import (
    Admission,
    Links,
    Member,
    Members,
    Router,
    TargetClient,
)
from papayabay_daemon._internal.lifetime.stop_horizon import StopHorizon
from papayabay_daemon._internal.metrics.latencies import Latencies
from papayabay_daemon._internal.quarantine import QuarantineGate
from papayabay_daemon._internal.target.registry import TargetRegistry


@dataclass(slots=True)
class CallCounters:
    """Counters of the call flow since the start of the daemon.

    Attributes
    ----------
    entered, left : int
        Requests from callers, and those whose caller disconnected before the
        answer.
    promoted : int
        Requests treated as critical, as their path was served too seldom.
    outgoing : int
        Calls made by the target beside this daemon.
    received : int
        Calls received for the target beside this daemon.
    forwarded : int
        Calls that other daemons forwarded because of their idempotency key.
    attempts, retries : int
        Attempts sent to upstreams, and how many of them were retries.
    answered : dict of str to int
        Answered requests by the name of their error kind, or "ANSWERED".
    """

    entered: int = 0
    left: int = 0
    promoted: int = 0
    outgoing: int = 0
    received: int = 0
    forwarded: int = 0
    attempts: int = 0
    retries: int = 0
    answered: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class CallComponents:
    """Components of the daemon that the call flow uses.

    Attributes
    ----------
    local : Member
        This daemon.
    policy : callable
        Returns the policy in force.
    accounts : Authenticator
    limits : RateLimits
        Rate limits of the accounts.
    log : DecisionLog
    demand_reports : DemandReports
        Used where the policy divides capacity among accounts.
    request_horizon, run_horizon : StopHorizon
        Of the requests that enter here, and of the runs on the target.
    """

    settings: DaemonSettings
    local: Member
    policy: Callable[[], Policy]
    members: Members
    links: Links
    router: Router
    admission: Admission
    target: TargetClient
    registry: TargetRegistry
    quarantine: QuarantineGate
    accounts: Authenticator
    limits: RateLimits
    random: random.Random
    latencies: Latencies = field(default_factory=Latencies)
    log: DecisionLog = field(default_factory=DecisionLog)
    counters: CallCounters = field(default_factory=CallCounters)
    demand_reports: DemandReports | None = None
    request_horizon: StopHorizon = field(default_factory=StopHorizon)
    run_horizon: StopHorizon = field(default_factory=StopHorizon)
