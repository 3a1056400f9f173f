"""Slot time spent for requests that later failed."""


def wasted_share(requests, executions):
    """Return the share of slot time that bought no good answer.

    Time counts as wasted when the request failed in the end, or when the
    execution was cut off although the request succeeded by another one.

    Parameters
    ----------
    requests : list of Request
    executions : list of Execution
        Only those of the requests given are looked at.

    Returns
    -------
    float
        0 when no slot was used.
    """
    good = {request.request: request.good for request in requests}
    known = [execution for execution in executions if execution.request in good]
    total = sum(execution.busy_ms for execution in known)
    useful = sum(
        execution.busy_ms
        for execution in known
        if good[execution.request] and execution.end == "answered"
    )
    return 1.0 - useful / total if total else 0.0
