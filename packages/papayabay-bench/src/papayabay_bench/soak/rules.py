"""Checks of a soak's history, one function for each rule."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes
    ----------
    rule : str
    request_id : str
    reason : str
        What was seen, with times in seconds since the start.
    """

    rule: str
    request_id: str
    reason: str

    def __str__(self):
        """Return one line."""
        return f"{self.rule}: {self.request_id}: {self.reason}"


def refused_but_run(history, promises):
    """Yield unsafe requests that ran though they were answered as not run.

    Parameters
    ----------
    history : History
    promises : frozenset of int
        Statuses that promise that a request was not run.
    """
    for request_id, record in history.requests.items():
        promised = [one for one in record.answers if one[1] in promises]
        if record.is_unsafe and promised and record.runs:
            reason = (
                f"answered {promised}, run {record.runs}, refused {record.refusals}"
            )
            yield Violation("refused", request_id, reason)


def run_twice(history, promises):
    """Yield unsafe requests that ran more than once."""
    for request_id, record in history.requests.items():
        if record.is_unsafe and len(record.runs) > 1:
            yield Violation("twice", request_id, f"run {record.runs}")


def unasked(history, promises):
    """Yield runs of requests that were not sent, or not sent like that."""
    for request_id in history.unknown:
        yield Violation("unasked", request_id, "run, though nobody sent it")
    for request_id, record in history.requests.items():
        for reason in record.wrong_runs:
            yield Violation("unasked", request_id, reason)


def mixed(history, promises):
    """Yield requests that were answered with another one's answer."""
    for request_id, record in history.requests.items():
        for reason in record.wrong_answers:
            yield Violation("mixed", request_id, reason)
        if len(record.answers) > 1:
            yield Violation("mixed", request_id, f"answered {record.answers}")


RULES = (refused_but_run, run_twice, unasked, mixed)


def check(history, promises):
    """Return the violations of all rules."""
    return [one for rule in RULES for one in rule(history, promises)]
