"""Formats the results of seeds as text lines."""

from collections import Counter


def format_counts(counts):
    """Return counts as one line of text, the largest first."""
    return (
        ", ".join(f"{name} {count}" for name, count in counts.most_common()) or "none"
    )


def seed_line(result):
    """Return a line that summarises the result of one seed."""
    return (
        f"seed {result.seed}: {result.calls} calls, {result.effects} effects, "
        f"faults: {format_counts(result.faults)}, "
        f"patches: {format_counts(result.patches)}, "
        f"{len(result.violations)} violations"
    )


def sum_counters(results, name):
    """Return the sum of one of the counters over all results."""
    return sum((getattr(result, name) for result in results), Counter())


def summary_lines(results):
    """Yield the lines of the summary of all seeds."""
    by_rule = Counter(one.rule for result in results for one in result.violations)
    failed = sorted(result.seed for result in results if result.violations)
    yield f"seeds: {len(results)}"
    yield f"calls: {sum(result.calls for result in results)}"
    yield f"answers: {format_counts(sum_counters(results, 'answers'))}"
    yield f"effects: {sum(result.effects for result in results)}"
    yield f"faults: {format_counts(sum_counters(results, 'faults'))}"
    yield f"patches: {format_counts(sum_counters(results, 'patches'))}"
    yield f"violations: {by_rule.total()} ({format_counts(by_rule)})"
    if failed:
        yield f"seeds with violations: {', '.join(map(str, failed))}"
