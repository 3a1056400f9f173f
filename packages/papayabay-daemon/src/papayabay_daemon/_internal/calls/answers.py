"""Answers made of error kinds."""

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ERROR_ANSWERS, PROBLEM_TYPE, CallError, problem_body

REQUEST_HEADER = "Papayabay-Request"


def error_answer(error, request_id="", credits_left=0, load=None):
    """Return the answer that tells of a call's error.

    Parameters
    ----------
    error : CallError
    request_id : str
    credits_left : int
        Unused retry credits that come back.
    load : LoadState or None
    """
    row = ERROR_ANSWERS[error.kind]
    return Answer(
        status=row.status,
        headers=[PROBLEM_TYPE],
        body=Body(
            problem_body(error.kind, error.detail, request_id, error.retry_after_ms)
        ),
        kind=error.kind,
        effect=row.effect,
        retry_after_ms=error.retry_after_ms,
        credits_left=credits_left,
        load=load,
    )


async def answer_or_error(awaitable, request_id):
    """Return what is awaited, or the answer of its `CallError`."""
    try:
        return await awaitable
    except CallError as error:
        return error_answer(error, request_id)
