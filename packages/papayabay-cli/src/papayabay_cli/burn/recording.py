"""Reads the data of a burn report: objectives and request counts."""

import json
import time
from typing import Annotated, Literal

from msgspec import Meta

from papayabay_cli.errors import UsageError
from papayabay_cli.files import read_text
from papayabay_core.models import InvalidValues, Strict, explain_faults
from papayabay_core.policy.document import Objective, validate_policy
from papayabay_core.policy.rules import Policy

WINDOWS = ("5m", "30m", "1h", "6h", "3d")
WindowName = Literal["5m", "30m", "1h", "6h", "3d"]
Count = Annotated[int, Meta(ge=0)]


class Outcomes(Strict, frozen=True, kw_only=True):
    """Number of requests by outcome.

    Attributes
    ----------
    good : int
    failed : int
        Ended with an error, of a target or of a daemon.
    refused : int
        Refused by the policy under overload, before they ran.
    slow : int
        Answered, but later than the objective's latency.
    """

    good: Count = 0
    failed: Count = 0
    refused: Count = 0
    slow: Count = 0

    @property
    def bad(self):
        """Number of requests that count against the error budget."""
        return self.failed + self.refused + self.slow

    @property
    def total(self):
        """Number of all requests."""
        return self.good + self.bad

    def __add__(self, other):
        return Outcomes(
            good=self.good + other.good,
            failed=self.failed + other.failed,
            refused=self.refused + other.refused,
            slow=self.slow + other.slow,
        )


class PathObjective(Strict, frozen=True, kw_only=True):
    """The objective that the policy sets for one call path."""

    service: str
    call: str
    importance: Literal["critical", "normal", "sheddable"]
    objective: Objective

    @property
    def path_key(self):
        """The call path's key in the daemons' counts."""
        return f"{self.service}/{self.call}"


class DaemonBurn(Strict, frozen=True, kw_only=True):
    """One daemon's request counts.

    Attributes
    ----------
    version : int
        Of the policy in force at the daemon.
    paths : dict
        Outcomes by path key and window.
    left_out : int
        Requests that were not counted because the daemon's table was full.
    """

    version: Count
    paths: dict[str, dict[WindowName, Outcomes]]
    left_out: Count = 0


class FleetSums(Strict, frozen=True, kw_only=True):
    """Request counts of many daemons, summed by the daemon that was asked.

    Attributes
    ----------
    versions : dict of str to int
        Version that each daemon had in force.
    paths : dict
        Outcomes by path key and window.
    left_out : int
        Requests that were not counted because daemons' tables were full.
    """

    versions: dict[str, Count]
    paths: dict[str, dict[WindowName, Outcomes]]
    left_out: Count = 0


class Recording(Strict, frozen=True, kw_only=True):
    """The summed counts of all daemons, and the policy's objectives.

    Attributes
    ----------
    recorded_at_ms : int
        Unix time.
    version : int
        Of the policy that the objectives come from.
    objectives : list of PathObjective
    counts : dict
        Outcomes by path key and window.
    heard : dict of str to int
        Version in force at each daemon that answered.
    not_heard : dict of str to str
        Cause for each daemon that did not answer.
    left_out : int
        Requests that were not counted because daemons' tables were full.
    """

    format: Literal[1] = 1
    recorded_at_ms: Count
    version: Count
    objectives: list[PathObjective]
    counts: dict[str, dict[WindowName, Outcomes]]
    heard: dict[str, int]
    not_heard: dict[str, str]
    left_out: Count = 0


def record_fleet(fleet, policy):
    """Return the `Recording` of the daemons' answers.

    Parameters
    ----------
    fleet : dict
        Answer of ``/fleet/burn``.
    policy : dict
        Answer of ``/policy``.

    Notes
    -----
    A daemon whose counts can't be parsed, such as one of a newer release, is
    listed as not heard, so that the report on the others does not fail.
    """
    if "sums" in fleet:
        counts, versions, not_heard = read_sums(fleet)
    else:
        counts, versions, not_heard = read_daemon_counts(fleet)
    version, values = policy.get("version", 0), policy.get("values", {})
    return Recording(
        recorded_at_ms=time.time_ns() // 1_000_000,
        version=version,
        objectives=list_objectives(values, version),
        counts=sum_outcomes(counts),
        heard=versions,
        not_heard=not_heard,
        left_out=sum(one.left_out for one in counts),
    )


def read_daemon_counts(fleet):
    """Return the daemons' counts, their versions, and those not heard.

    Returns
    -------
    list of DaemonBurn, dict of str to int, dict of str to str
        Versions and causes are by the daemon's name.
    """
    heard, not_heard = {}, dict(fleet.get("not_heard", {}))
    for name, values in fleet.get("heard", {}).items():
        try:
            heard[name] = DaemonBurn.model_validate(values)
        except InvalidValues as error:
            fault = explain_faults(error, "its account").splitlines()[0]
            not_heard[name] = fault
    versions = {name: counts.version for name, counts in heard.items()}
    return list(heard.values()), versions, not_heard


def read_sums(fleet):
    """Return the same as `read_daemon_counts`, from the sums of a fleet.

    Raises
    ------
    UsageError
        When the sums can't be parsed; there is nothing else to report then.
    """
    try:
        sums = FleetSums.model_validate(fleet["sums"])
    except InvalidValues as error:
        raise UsageError(explain_faults(error, "the daemons' sums")) from None
    return [sums], sums.versions, dict(fleet.get("not_heard", {}))


def list_objectives(values, version):
    """Return the objectives of all call paths in a policy."""
    document = validate_policy(values, f"version {version}")
    rules = (
        compiled.rule
        for calls in Policy(document, version).calls.values()
        for compiled in calls
        if compiled.rule.objective
    )
    return [
        PathObjective(
            service=rule.service,
            call=rule.name,
            importance=rule.importance.name.lower(),
            objective=rule.objective,
        )
        for rule in rules
    ]


def sum_outcomes(counts):
    """Return the sum of daemons' counts, by path key and window."""
    sums = {}
    for one in counts:
        for path_key, windows in one.paths.items():
            path_sums = sums.setdefault(path_key, {})
            for window, outcomes in windows.items():
                path_sums[window] = path_sums.get(window, Outcomes()) + outcomes
    return sums


def load_recording(path):
    """Return the recording in a JSON file.

    Parameters
    ----------
    path : str
        Holds a report, whose member ``recording`` is read, or a recording.

    Raises
    ------
    UsageError
        With one line per error in the file.
    """
    try:
        values = json.loads(read_text(path))
    except (ValueError, RecursionError):
        raise UsageError(f"{path}: not valid JSON") from None
    if isinstance(values, dict) and "recording" in values:
        values = values["recording"]
    try:
        return Recording.model_validate(values)
    except InvalidValues as error:
        raise UsageError(explain_faults(error, path)) from None
