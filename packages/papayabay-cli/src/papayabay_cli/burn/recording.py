"""What a report is made of: objectives, and counts of all daemons."""

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
    """Requests by outcome.

    Attributes
    ----------
    good : int
    failed : int
        Ended by an error, whoever made it.
    refused : int
        Refused unrun, as policy wants it under overload.
    slow : int
        Answered, but after the objective's latency.
    """

    good: Count = 0
    failed: Count = 0
    refused: Count = 0
    slow: Count = 0

    @property
    def bad(self):
        """Requests that spend the budget."""
        return self.failed + self.refused + self.slow

    @property
    def total(self):
        """All requests."""
        return self.good + self.bad

    def __add__(self, other):
        return Outcomes(
            good=self.good + other.good,
            failed=self.failed + other.failed,
            refused=self.refused + other.refused,
            slow=self.slow + other.slow,
        )


class PathObjective(Strict, frozen=True, kw_only=True):
    """The objective of one call path, as policy has it."""

    service: str
    call: str
    importance: Literal["critical", "normal", "sheddable"]
    objective: Objective

    @property
    def path_key(self):
        """The name by which daemons count."""
        return f"{self.service}/{self.call}"


class DaemonBurn(Strict, frozen=True, kw_only=True):
    """One daemon's account."""

    version: Count
    paths: dict[str, dict[WindowName, Outcomes]]
    left_out: Count = 0


class FleetSums(Strict, frozen=True, kw_only=True):
    """The accounts of many daemons, added up by them."""

    versions: dict[str, Count]
    paths: dict[str, dict[WindowName, Outcomes]]
    left_out: Count = 0


class Recording(Strict, frozen=True, kw_only=True):
    """The sum of all daemons' accounts, and the policy's objectives.

    Attributes
    ----------
    recorded_at_ms : int
        Wall time.
    version : int
        Of the policy that the objectives come from.
    counts : dict
        Outcomes by path key and window.
    heard : dict of str to int
        Version that each daemon heard had in force.
    not_heard : dict of str to str
        Cause for each daemon that did not answer.
    left_out : int
        Requests that daemons did not count, for their tables were full.
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
    """Return the recording of what daemons have answered.

    Parameters
    ----------
    fleet : dict
        Answer of ``/fleet/burn``.
    policy : dict
        Answer of ``/policy``.

    Notes
    -----
    A daemon whose account can't be read, say that of a newer release, is
    listed as not heard, rather than failing the report of all others.
    """
    if "sums" in fleet:
        accounts, versions, not_heard = read_sums(fleet)
    else:
        accounts, versions, not_heard = read_accounts(fleet)
    version, values = policy.get("version", 0), policy.get("values", {})
    return Recording(
        recorded_at_ms=time.time_ns() // 1_000_000,
        version=version,
        objectives=list_objectives(values, version),
        counts=add_up(accounts),
        heard=versions,
        not_heard=not_heard,
        left_out=sum(account.left_out for account in accounts),
    )


def read_accounts(fleet):
    """Return the accounts, versions by name, and who was not heard."""
    heard, not_heard = {}, dict(fleet.get("not_heard", {}))
    for name, account in fleet.get("heard", {}).items():
        try:
            heard[name] = DaemonBurn.model_validate(account)
        except InvalidValues as error:
            fault = explain_faults(error, "its account").splitlines()[0]
            not_heard[name] = fault
    versions = {name: account.version for name, account in heard.items()}
    return list(heard.values()), versions, not_heard


def read_sums(fleet):
    """Return what daemons have added up, as if it were one account.

    Raises
    ------
    UsageError
        When the sums can't be read; there is nothing else to report then.
    """
    try:
        sums = FleetSums.model_validate(fleet["sums"])
    except InvalidValues as error:
        raise UsageError(explain_faults(error, "the daemons' sums")) from None
    return [sums], sums.versions, dict(fleet.get("not_heard", {}))


def list_objectives(values, version):
    """Return the objectives that a policy declares."""
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


def add_up(accounts):
    """Return the sum of daemons' counts, by path key and window."""
    sums = {}
    for account in accounts:
        for path_key, windows in account.paths.items():
            path_sums = sums.setdefault(path_key, {})
            for window, outcomes in windows.items():
                path_sums[window] = path_sums.get(window, Outcomes()) + outcomes
    return sums


def load_recording(path):
    """Return the recording in a file: a report's JSON, or what it holds.

    Raises
    ------
    UsageError
        With one line per fault.
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
