"""Computes error budgets, burn rates and alerts from request counts.

The alert rules are the multi-window, multi-burn-rate alerts of the SRE
workbook: the long window shows that the burn is significant, the short one
that it still goes on.
"""

from dataclasses import asdict, dataclass
from itertools import groupby

from papayabay_cli.burn.recording import WINDOWS, Outcomes, Recording

BUDGET_WINDOW = "3d"
"""The window of error budgets: the longest that daemons keep counts for."""
CLASS_ORDER = ("critical", "normal", "sheddable")


@dataclass(frozen=True, slots=True)
class AlertRule:
    """A burn rate above which an alert fires.

    Attributes
    ----------
    name : str
        "page" or "ticket".
    long, short : str
        Windows; the burn rate of both has to be above the threshold.
    rate : float
        The threshold. A burn rate of 1 uses up exactly the whole error
        budget in the period of the objective.
    """

    name: str
    long: str
    short: str
    rate: float

    def fires(self, rates):
        """Return whether both windows burn faster than the threshold."""
        return rates[self.long] > self.rate and rates[self.short] > self.rate

    def __str__(self):
        return f"{self.name}: {self.long} and {self.short} above {self.rate:g}"


ALERT_RULES = (
    AlertRule("page", "1h", "5m", 14.4),
    AlertRule("page", "6h", "30m", 6.0),
    AlertRule("ticket", "3d", "6h", 1.0),
)


@dataclass(frozen=True, slots=True)
class Burn:
    """Burn rates of one call path, or of all call paths of a class.

    Attributes
    ----------
    service, importance : str
    call : str
        Empty for all call paths of a class together.
    good_share : float
        The objective; for a class, the mean weighted by requests.
    latency_ms : int or None
        The objective's latency; None for a class, or without one.
    outcomes : dict of str to Outcomes
        By window.
    rates : dict of str to float
        Burn rate by window: bad requests divided by those that the objective
        allows.
    budget_left : float
        Share of the error budget of three days that is left; negative when
        it is exceeded.
    alerts : list of str
        The rules that fire.
    share_of_bad : float
        Share of the service's bad requests in three days.
    """

    service: str
    importance: str
    call: str
    good_share: float
    latency_ms: int | None
    outcomes: dict[str, Outcomes]
    rates: dict[str, float]
    budget_left: float
    alerts: list[str]
    share_of_bad: float

    @property
    def title(self):
        """The call path's name in tables."""
        return f"{self.service}/{self.call or '*'}"

    def values(self):
        """Return the burn as a JSON-compatible dict."""
        counts = {
            window: outcomes.model_dump() | {"bad": outcomes.bad}
            for window, outcomes in self.outcomes.items()
        }
        return asdict(self) | {"outcomes": counts}


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The burn report.

    Attributes
    ----------
    recording : Recording
    classes : list of Burn
        One per service and importance class.
    paths : list of Burn
        One per call path; those with alerts first, then the fastest burn.
    unmatched : list of str
        Path keys that daemons counted but that have no objective.
    """

    recording: Recording
    classes: list[Burn]
    paths: list[Burn]
    unmatched: list[str]

    def values(self):
        """Return a JSON-compatible dict that `load_recording` can read."""
        return {
            "recording": self.recording.model_dump(),
            "classes": [burn.values() for burn in self.classes],
            "paths": [burn.values() for burn in self.paths],
            "unmatched": self.unmatched,
        }


def make_report(recording):
    """Return the `BurnReport` of a recording."""
    service_bad = bad_by_service(recording)
    paths = [path_burn(recording, one, service_bad) for one in recording.objectives]
    known = {one.path_key for one in recording.objectives}
    return BurnReport(
        recording=recording,
        classes=class_burns(paths, service_bad),
        paths=sorted(paths, key=urgency_key),
        unmatched=sorted(recording.counts.keys() - known),
    )


def urgency_key(burn):
    """Return a sort key: alerts first, then the highest rate of any window."""
    return not burn.alerts, -max(burn.rates.values()), burn.title


def outcomes_of(recording, path_key):
    """Return a path's outcomes for every window; zeros without requests."""
    counts = recording.counts.get(path_key, {})
    return {window: counts.get(window, Outcomes()) for window in WINDOWS}


def bad_by_service(recording):
    """Return the number of bad requests per service in the budget's window."""
    bad = {}
    for one in recording.objectives:
        outcomes = outcomes_of(recording, one.path_key)[BUDGET_WINDOW]
        bad[one.service] = bad.get(one.service, 0) + outcomes.bad
    return bad


def path_burn(recording, declared, service_bad):
    """Return the `Burn` of one call path.

    Parameters
    ----------
    recording : Recording
    declared : PathObjective
    service_bad : dict of str to int
        Bad requests per service.
    """
    outcomes = outcomes_of(recording, declared.path_key)
    share = declared.objective.good_share
    allowed = {
        window: counts.total * (1.0 - share) for window, counts in outcomes.items()
    }
    return make_burn(
        declared.service,
        declared.importance,
        declared.call,
        share,
        declared.objective.latency_ms,
        outcomes,
        allowed,
        service_bad,
    )


def class_burns(paths, service_bad):
    """Return one `Burn` per service and class."""
    ordered = sorted(paths, key=class_key)
    groups = groupby(ordered, key=class_key)
    return [class_burn(list(group), service_bad) for _, group in groups]


def class_key(burn):
    """Return a sort key of the burn's service and class."""
    return burn.service, CLASS_ORDER.index(burn.importance)


def class_burn(paths, service_bad):
    """Return the `Burn` of all call paths of a service and class.

    Each request counts against its own path's objective, so the allowed bad
    requests are summed, instead of averaging the shares.
    """
    outcomes = {
        window: sum((path.outcomes[window] for path in paths), Outcomes())
        for window in WINDOWS
    }
    allowed = {
        window: sum(p.outcomes[window].total * (1.0 - p.good_share) for p in paths)
        for window in WINDOWS
    }
    total = outcomes[BUDGET_WINDOW].total
    strictest = max(path.good_share for path in paths)
    share = 1.0 - allowed[BUDGET_WINDOW] / total if total else strictest
    first = paths[0]
    return make_burn(
        first.service, first.importance, "", share, None, outcomes, allowed, service_bad
    )


def make_burn(
    service, importance, call, share, latency_ms, outcomes, allowed, service_bad
):
    """Return a `Burn`; computes its rates, budget and alerts.

    Parameters
    ----------
    service, importance, call : str
    share : float
        The objective's share of good requests.
    latency_ms : int or None
    outcomes : dict of str to Outcomes
        By window.
    allowed : dict of str to float
        Bad requests that the objective allows, by window.
    service_bad : dict of str to int
        Bad requests per service.
    """
    rates = {
        window: burn_rate(outcomes[window].bad, allowed[window]) for window in WINDOWS
    }
    total_bad = service_bad.get(service, 0)
    return Burn(
        service=service,
        importance=importance,
        call=call,
        good_share=share,
        latency_ms=latency_ms,
        outcomes=outcomes,
        rates=rates,
        budget_left=1.0 - rates[BUDGET_WINDOW],
        alerts=[str(rule) for rule in ALERT_RULES if rule.fires(rates)],
        share_of_bad=(outcomes[BUDGET_WINDOW].bad / total_bad if total_bad else 0.0),
    )


def burn_rate(bad, allowed):
    """Return bad requests divided by those allowed; 0 without any request."""
    return bad / allowed if allowed else 0.0
