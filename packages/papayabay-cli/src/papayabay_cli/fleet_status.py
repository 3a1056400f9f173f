"""Prints the daemons' status reports as tables."""

from itertools import groupby

from papayabay_cli.output import NO_TIME, format_time, print_table

CONFIGURATION_HEADINGS = (
    "DAEMON",
    "DOMAIN",
    "SERVICE",
    "VERSION",
    "IN FORCE SINCE (UTC)",
    "CONFIRMED",
    "STATE",
    "MEMBERS",
    "LINKS",
    "UP",
)
LOAD_HEADINGS = (
    "DAEMON",
    "LIMIT",
    "IN FLIGHT",
    "QUEUED",
    "QUEUE MS",
    "ADMITS",
    "ATTEMPTS",
    "CREDITS SPENT",
    "RETRIES STOPPED",
    "REFUSED BY CLASS",
)
TOTAL_LABELS = {
    "daemons": "daemons heard",
    "unconfirmed": "with a version that the store has not confirmed",
    "not_in_force": "with a newer version that is not in force",
    "store_unreachable": "that can't reach the store",
    "leaving": "leaving",
    "in_flight": "calls in flight",
    "queued": "calls queued",
}
COUNT_HEADINGS = {"versions": "VERSION", "domains": "DOMAIN", "services": "SERVICE"}
MAX_ROWS = 50
CLASSES = ("critical", "normal", "sheddable")
RANKS_PER_CLASS = 1 << 16
"""An admission level is the class's index times this, plus a rank in it."""
STOP_PREFIX = "retries."
"""Prefix of the counters of calls that were not retried, by reason."""
NO_RETRY_NEEDED = "answered"
"""Counted like a reason, for calls whose answer called for no retry."""


def print_fleet(fleet):
    """Print the daemons' reports, then the daemons that did not answer.

    Parameters
    ----------
    fleet : dict
        Answer of ``/fleet/status``: each daemon's report under ``heard``, or
        the sums of a large fleet under ``sums``; and ``not_heard``.
    """
    if "sums" in fleet:
        print_sums(fleet["sums"])
    else:
        print_reports(fleet.get("heard", {}))
    print_not_heard(fleet.get("not_heard", {}))


def print_reports(reports):
    """Print one row for each daemon, and the conditions to act on."""
    named = sorted(reports.items())
    print_table(CONFIGURATION_HEADINGS, [configuration_row(*pair) for pair in named])
    print()
    print_table(LOAD_HEADINGS, [load_row(*pair) for pair in named])
    print_warnings(named)


def print_sums(sums):
    """Print totals and counts of the fleet, then the outliers' reports."""
    totals = sums.get("totals", {})
    for name, text in TOTAL_LABELS.items():
        print(f"{text}: {totals.get(name, 0)}")
    for name, heading in COUNT_HEADINGS.items():
        print()
        counts = sorted(sums.get(name, {}).items(), key=lambda pair: (-pair[1], pair))
        print_table((heading, "DAEMONS"), counts[:MAX_ROWS])
        if len(counts) > MAX_ROWS:
            print(f"and {len(counts) - MAX_ROWS} more; see --json")
    outliers = sums.get("outliers", {})
    if outliers:
        count = totals.get("outliers", len(outliers))
        print(f"\nstanding out: {count}, of which {len(outliers)} in full:\n")
        print_reports(outliers)


def configuration_row(name, report):
    """Return the cells on a daemon's identity, policy version and state."""
    configuration = report.get("configuration", {})
    target = report.get("target") or {}
    return (
        name,
        report.get("failure_domain", "?"),
        target.get("service", "-"),
        configuration.get("version", "?"),
        format_time(configuration.get("applied_at", 0) * 1_000),
        "yes" if configuration.get("confirmed") else "no",
        "leaving" if report.get("leaving") else "running",
        report.get("members", {}).get("live", "?"),
        len(report.get("links", ())),
        format_seconds(report.get("uptime_s", 0)),
    )


def load_row(name, report):
    """Return the cells on a daemon's load, retries and refusals."""
    admission = report.get("admission", {})
    counters = report.get("counters", {})
    return (
        name,
        admission.get("limit", "?"),
        admission.get("in_flight", "?"),
        admission.get("queued", "?"),
        f"{admission.get('queue_ms', 0):.1f}",
        describe_level(admission.get("admit_level")),
        counters.get("calls.attempts", 0),
        counters.get("calls.retries", 0),
        describe_counts(retry_stops(counters)),
        describe_counts(refused_by_class(admission.get("refused", {}))),
    )


def describe_level(level):
    """Return in words which requests a daemon admits.

    Parameters
    ----------
    level : int or None
        Priority of the least important requests that are admitted.
    """
    if level is None:
        return "?"
    if level < 0:
        return "nothing"
    importance, rank = divmod(level, RANKS_PER_CLASS)
    if importance >= len(CLASSES):
        return "all"
    share = round(100 * (rank + 1) / RANKS_PER_CLASS)
    full = "all" if importance == len(CLASSES) - 1 else f"to {CLASSES[importance]}"
    return full if share >= 100 else f"{share} % of {CLASSES[importance]}"


def retry_stops(counters):
    """Return how often retries were stopped, by reason."""
    reasons = {
        name.removeprefix(STOP_PREFIX): count
        for name, count in counters.items()
        if name.startswith(STOP_PREFIX) and count
    }
    reasons.pop(NO_RETRY_NEEDED, None)
    return reasons


def refused_by_class(refused):
    """Return the number of refusals per class, whatever their reason."""
    pairs = sorted((name.partition("/")[0], count) for name, count in refused.items())
    return {
        importance: sum(count for _, count in group)
        for importance, group in groupby(pairs, key=lambda pair: pair[0])
    }


def describe_counts(counts):
    """Return counts by name as one cell; a dash for none."""
    cells = [f"{name} {count}" for name, count in sorted(counts.items())]
    return ", ".join(cells) or "-"


def print_warnings(named):
    """Print the conditions that operators have to act on."""
    for name, report in named:
        configuration = report.get("configuration", {})
        if refused := configuration.get("not_in_force"):
            print(f"\n{name}: a newer version is not in force here: {refused}")
        if configuration.get("store_reachable") is False:
            print(f"\n{name}: the store does not answer")
        if not configuration.get("confirmed"):
            print(f"\n{name}: the store has not confirmed that its version is newest")


def print_not_heard(not_heard):
    """Print which daemons did not answer, and why."""
    if not_heard:
        print(f"\nnot heard ({len(not_heard)}):")
    for name, cause in sorted(not_heard.items()):
        print(f"  {name}: {cause}")


def format_seconds(seconds):
    """Return a duration in its two largest units; a dash for 0."""
    units = (("d", 86_400), ("h", 3_600), ("min", 60), ("s", 1))
    remaining, texts = int(seconds), []
    for unit, size in units:
        count, remaining = divmod(remaining, size)
        if count:
            texts.append(f"{count} {unit}")
    return " ".join(texts[:2]) or NO_TIME
