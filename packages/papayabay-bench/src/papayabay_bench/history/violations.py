"""A broken rule, and the few records that show it."""

from dataclasses import dataclass, field

from papayabay_bench.history.records import to_line


@dataclass(slots=True)
class Violation:
    """One rule broken once.

    Attributes
    ----------
    rule : str
    subject : str
        The key, attempt, daemon or version that it concerns.
    reason : str
        What was seen and what the rule asks for.
    trace : list
        Records that concern the subject, up to the one that breaks the
        rule, in order of time.
    """

    rule: str
    subject: str
    reason: str
    trace: list = field(default_factory=list)


def ordered_trace(records):
    """Return records in order of time, each once."""
    unique = {id(record): record for record in records}.values()
    return sorted(unique, key=lambda record: record.time)


def violation_lines(violation, seed):
    """Return a violation as lines for people."""
    yield f"seed {seed}: {violation.rule}: {violation.subject}: {violation.reason}"
    start = violation.trace[0].time if violation.trace else 0.0
    for record in violation.trace:
        yield f"  {record.time - start:+9.4f} s  {to_line(record)}"
