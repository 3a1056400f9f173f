"""Describes the services, targets and daemons of a test fleet."""

from typing import Annotated

from pydantic import Field

from papayabay_bench.targets.specification import Strict, TargetSpec, TargetTraits

DEFAULT_COMMAND = ["-m", "papayabay_daemon"]


class ServicePlan(TargetTraits):
    """One service and the number of its upstreams."""

    name: str
    upstreams: Annotated[int, Field(ge=1, le=500)] = 2


class FleetPlan(Strict):
    """Size and settings of a fleet.

    Attributes
    ----------
    failure_domains : int
        Number of failure domains; the upstreams of each service are
        assigned to them round-robin.
    targets_per_process : int
        Maximum number of targets in one host process. Each target has a
        daemon of its own.
    entries : int
        Number of additional daemons without a target. Every daemon accepts
        calls from callers, with a target or without.
    python_arguments : list of str
        Arguments of the Python interpreter that start a daemon.
    limits, timing : dict
        Values of the daemons' settings tables of the same name.
    ready_timeout : float
        Seconds within which each process has to become ready.
    """

    services: list[ServicePlan]
    failure_domains: Annotated[int, Field(ge=1, le=100)] = 2
    targets_per_process: Annotated[int, Field(ge=1, le=200)] = 8
    entries: Annotated[int, Field(ge=0, le=100)] = 0
    seed: int = 0
    log_level: str = "INFO"
    python_arguments: list[str] = DEFAULT_COMMAND
    limits: dict[str, int] = {}
    timing: dict[str, int] = {}
    ready_timeout: Annotated[float, Field(gt=0.0)] = 30.0


def daemon_names(plan):
    """Return the daemons' names: one per target, then those without one."""
    with_target = [
        target_name(service, index)
        for service in plan.services
        for index in range(service.upstreams)
    ]
    return with_target + [f"entry-{index}" for index in range(plan.entries)]


def target_name(service, index):
    """Return the name that an upstream and its daemon share."""
    return f"{service.name}-{index}"


def failure_domain_of(plan, name):
    """Return the failure domain of a daemon and its target."""
    index = int(name.rpartition("-")[2])
    return f"domain-{index % plan.failure_domains}"


def target_specs(plan, daemon_urls):
    """Return the specifications of all targets.

    Parameters
    ----------
    plan : FleetPlan
    daemon_urls : dict of str to str
        URL of each daemon's listener for its target, by daemon name.
    """
    return [
        target_spec(plan, service, target_name(service, index), daemon_urls)
        for service in plan.services
        for index in range(service.upstreams)
    ]


def target_spec(plan, service, name, daemon_urls):
    """Return the specification of one target."""
    traits = service.model_dump(exclude={"name", "upstreams"})
    return TargetSpec(
        name=name,
        service=service.name,
        daemon_url=daemon_urls[name],
        seed=plan.seed,
        **traits,
    )
