"""Formats the results of runs as text and as a table of policies."""

from statistics import median

ROWS = (
    ("goodput before", "goodput before, /s", "{:.1f}"),
    ("bound overload", "bound in overload, /s", "{:.1f}"),
    ("goodput overload", "goodput in overload, /s", "{:.1f}"),
    ("goodput of bound", "… of the bound", "{:.1%}"),
    ("goodput after", "goodput after, /s", "{:.1f}"),
    ("good critical overload", "critical good", "{:.1%}"),
    ("good normal overload", "normal good", "{:.1%}"),
    ("good sheddable overload", "sheddable good", "{:.1%}"),
    ("recovery after", "time back, s", "{:.2f}"),
    ("wasted overload", "wasted slot time", "{:.1%}"),
    ("inversions overload", "inversions", "{:.0f}"),
    ("idle_refusals overload", "refused beside free slots", "{:.0f}"),
    ("retries whole", "retries, worst request", "{:.0f}"),
    ("refused before", "refused before", "{:.0f}"),
    ("doubled whole", "doubled effects", "{:.0f}"),
    ("lost whole", "lost effects", "{:.0f}"),
    ("denied whole", "denied effects", "{:.0f}"),
    ("crossed whole", "crossed answers", "{:.0f}"),
    ("p50 critical overload", "p50 critical, s", "{:.3f}"),
    ("p99 before", "p99 before, s", "{:.3f}"),
    ("late whole", "load tool late p99, s", "{:.4f}"),
    ("unsent whole", "unsent", "{:.0f}"),
)
"""Measure, label and number format of each row of the table."""
NEVER = "never"
"""Shown for a measure without a value, such as the time to recover."""
LABEL_WIDTH = 26
COLUMN_WIDTH = 20


def run_lines(result):
    """Yield the text lines of the result of one run."""
    yield f"{result.scenario} — policy {result.policy}, seed {result.seed}"
    yield f"  scale: {result.scale}"
    yield from (f"  {line}" for line in result.bound_lines)
    for service, counts in result.admission.items():
        listed = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        yield f"  {service} admitted or refused: {listed}"
    for verdict in result.verdicts:
        word = "holds " if verdict.holds else "FAILED"
        measured = "nothing" if verdict.measured is None else f"{verdict.measured:.4g}"
        yield (
            f"  {word} {result.source}:{verdict.line}: {verdict.text} "
            f"(measured {measured})"
        )


def table_lines(results):
    """Yield the lines of a table with a column for each policy.

    Cells show the median over the seeds, with minimum and maximum.
    """
    policies = list(dict.fromkeys(result.policy for result in results))
    yield "".ljust(LABEL_WIDTH) + "".join(
        policy.rjust(COLUMN_WIDTH) for policy in policies
    )
    for name, label, form in ROWS:
        cells = (cell(results, policy, name, form) for policy in policies)
        yield label.ljust(LABEL_WIDTH) + "".join(
            text.rjust(COLUMN_WIDTH) for text in cells
        )


def cell(results, policy, name, form):
    """Return a cell: a measure's median, minimum and maximum over seeds.

    Runs without a value count as infinite.
    """
    values = [
        result.measures.get(name) for result in results if result.policy == policy
    ]
    numbers = sorted(float("inf") if value is None else value for value in values)
    middle = median(numbers)
    if len(numbers) == 1:
        return format_value(middle, form)
    return (
        f"{format_value(middle, form)} "
        f"[{format_value(numbers[0], form)}…{format_value(numbers[-1], form)}]"
    )


def format_value(value, form):
    """Return a value as text; infinite values as `NEVER`."""
    return NEVER if value == float("inf") else form.format(value)
