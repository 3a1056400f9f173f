"""Prints the burn report as text."""

from papayabay_cli.burn.recording import WINDOWS
from papayabay_cli.burn.report import BUDGET_WINDOW
from papayabay_cli.output import format_time, print_table

MAX_NAMES = 20
"""Daemons that did not answer are listed up to this number."""
COLUMNS = (
    "OBJECTIVE",
    "GOOD",
    "BAD",
    "FAILED",
    "REFUSED",
    "SLOW",
    "BUDGET LEFT",
    *(f"BURN {window}" for window in WINDOWS),
    "ALERT",
)
CLASS_HEADINGS = ("SERVICE", "CLASS", *COLUMNS)
PATH_HEADINGS = ("CALL PATH", "CLASS", *COLUMNS, "OF SERVICE'S BAD")


def print_report(report):
    """Print a `BurnReport`."""
    for line in headline(report):
        print(line)
    if not report.paths:
        print("\nno call path has an objective")
        return
    print("\nper service and class (three days; burn rates per window):")
    print_table(CLASS_HEADINGS, [class_row(burn) for burn in report.classes])
    print("\nper call path, what burns fastest first:")
    print_table(PATH_HEADINGS, [path_row(burn) for burn in report.paths])


def headline(report):
    """Return lines on the report's data, and on what is missing in it."""
    recording = report.recording
    lines = [
        f"burn report of {format_time(recording.recorded_at_ms)} UTC, objectives of "
        f"version {recording.version}",
        f"daemons heard: {len(recording.heard)}; not heard: {len(recording.not_heard)}",
    ]
    missing = sorted(recording.not_heard.items())
    lines += [f"  not heard: {name}: {cause}" for name, cause in missing[:MAX_NAMES]]
    if len(missing) > MAX_NAMES:
        lines.append(f"  and {len(missing) - MAX_NAMES} more, see --json")
    if missing:
        lines.append("  requests that entered by these are missing below")
    if recording.left_out:
        lines.append(
            f"not counted, for daemons' tables were full: {recording.left_out}"
        )
    if report.unmatched:
        lines.append(f"counted without an objective: {', '.join(report.unmatched)}")
    return lines


def class_row(burn):
    """Return the table cells of a class."""
    return burn.service, burn.importance, *shared_cells(burn)


def path_row(burn):
    """Return the table cells of a call path."""
    return burn.title, burn.importance, *shared_cells(burn), percent(burn.share_of_bad)


def shared_cells(burn):
    """Return the cells that classes and call paths have in common."""
    counts = burn.outcomes[BUDGET_WINDOW]
    return (
        describe_objective(burn),
        counts.good,
        counts.bad,
        counts.failed,
        counts.refused,
        counts.slow,
        percent(burn.budget_left) if counts.total else "-",
        *(describe_rate(burn, window) for window in WINDOWS),
        describe_alerts(burn),
    )


def describe_objective(burn):
    """Return the objective as a percentage and a latency."""
    latency = f" in {burn.latency_ms} ms" if burn.latency_ms else ""
    return f"{100 * burn.good_share:.6g} %{latency}"


def describe_rate(burn, window):
    """Return a burn rate; a dash for a window without requests."""
    return f"{burn.rates[window]:.2f}" if burn.outcomes[window].total else "-"


def describe_alerts(burn):
    """Return the names of the alerts that fire, each once."""
    names = dict.fromkeys(alert.partition(":")[0] for alert in burn.alerts)
    return ", ".join(names) or "-"


def percent(share):
    """Return a share in percent."""
    return f"{100 * share:.1f} %"
