"""Violations of rules, with the records that show them."""

from dataclasses import dataclass, field

from papayabay_bench.history.records import to_line


@dataclass(slots=True)
class Violation:
    """One violation of a rule.

    Attributes
    ----------
    rule : str
    subject : str
        Key, attempt, daemon or version that it is about.
    reason : str
        What was recorded, and what the rule requires.
    trace : list
        Records that show the violation, sorted by time.
    """

    rule: str
    subject: str
    reason: str
    trace: list = field(default_factory=list)


def ordered_trace(records):
    """Return records sorted by time, without duplicates."""
    unique = {id(record): record for record in records}.values()
    return sorted(unique, key=lambda record: record.time)


def violation_lines(violation, seed):
    """Yield the text lines of a violation and its trace."""
    yield f"seed {seed}: {violation.rule}: {violation.subject}: {violation.reason}"
    start = violation.trace[0].time if violation.trace else 0.0
    for record in violation.trace:
        yield f"  {record.time - start:+9.4f} s  {to_line(record)}"
