"""Retries per request, summed over its whole call tree.

A call's nonce is its place in the tree of one execution: an attempt of the
same call has the same nonce, a call made by another execution another one.
So the arrivals of a nonce beyond its first are retries, whoever made them.
Of the call that the caller itself sent, as many arrivals as the caller
made attempts are the caller's.
"""

from collections import Counter, defaultdict


def retries_by_request(requests, executions):
    """Return the retries within the system of each request.

    Parameters
    ----------
    requests : list of Request
    executions : list of Execution

    Returns
    -------
    dict of str to int
        By request; those that reached no target are missing.
    """
    attempts = {request.request: len(request.attempts) for request in requests}
    arrivals = defaultdict(Counter)
    for execution in executions:
        if execution.request:
            arrivals[execution.request][execution.nonce] += 1
    return {
        name: retries_of(counted, name, attempts.get(name, 1))
        for name, counted in arrivals.items()
    }


def retries_of(arrivals, root, attempts):
    """Return the retries among one request's arrivals by nonce."""
    return sum(
        max(0, number - (attempts if nonce == root else 1))
        for nonce, number in arrivals.items()
    )


def largest_retries(requests, executions):
    """Return the largest number of retries of one request."""
    return max(retries_by_request(requests, executions).values(), default=0)
