"""Counts the retries of a request within the system.

Attempts that the caller itself makes are not counted. Without an
idempotency key each of them is a new request to the system, and the retry
limit applies to each attempt. With a key they are the same request, and the
limit applies to all attempts together.
"""

from collections import Counter, defaultdict

from papayabay_bench.measures.retries import retries_of

MAX_DEPTH = 64


def most_retries(requests, executions):
    """Return the largest number of retries of one request.

    Parameters
    ----------
    requests : list of Request
        Executions of other requests are ignored.
    executions : list of Execution
    """
    by_request = defaultdict(list)
    for execution in executions:
        by_request[execution.request].append(execution)
    return max(
        (
            retries_of_request(request, by_request[request.request])
            for request in requests
            if request.request in by_request
        ),
        default=0,
    )


def retries_of_request(request, executions):
    """Return the retries of a request; without a key, of its worst attempt."""
    if request.key:
        arrivals = Counter(execution.nonce for execution in executions)
        return retries_of(arrivals, request.request, len(request.attempts))
    parents = {execution.id: parent_of(execution) for execution in executions}
    arrivals = defaultdict(Counter)
    for execution in executions:
        root = root_of(execution.id, parents)
        arrivals[root][execution.nonce] += execution.id != root
    by_attempt = (
        sum(max(0, number - 1) for number in counts.values())
        for counts in arrivals.values()
    )
    first_calls = sum(execution.nonce == request.request for execution in executions)
    return max(by_attempt) + max(0, first_calls - len(request.attempts))


def parent_of(execution):
    """Return the id of the execution that made the call, or "" at the root."""
    return execution.nonce.rpartition(".")[0]


def root_of(execution_id, parents):
    """Return the id of the root execution of an execution's attempt.

    An execution whose parent was not recorded, because its host process was
    killed, counts as a root itself.
    """
    for _ in range(MAX_DEPTH):
        parent = parents.get(execution_id, "")
        if parent not in parents:
            return execution_id
        execution_id = parent
    return execution_id
