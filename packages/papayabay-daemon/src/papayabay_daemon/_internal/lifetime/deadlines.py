"""Deadline of a request, set at the daemon where it enters."""


def entry_deadline(rule, requested_ms=None):
    """Return the time until the deadline of a new request, in seconds.

    Parameters
    ----------
    rule : CallRule
        Its `deadline_ms` is the longest time allowed.
    requested_ms : int or None
        Time requested by the caller; it can only shorten the rule's. With 0
        or less, the request has expired on arrival.
    """
    if requested_ms is None:
        return rule.deadline_ms / 1_000.0
    if requested_ms <= 0:
        return 0.0
    deadline_ms = rule.deadline_ms
    return (requested_ms if requested_ms < deadline_ms else deadline_ms) / 1_000.0
