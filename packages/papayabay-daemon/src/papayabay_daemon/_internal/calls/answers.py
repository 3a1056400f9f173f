"""Conversion of call errors to answers."""

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError

REQUEST_HEADER = "Papayabay-Request"


def error_answer(error, credits_left=0, load=None):
    """Return the answer for a call's error.

    It has no body. The listener that sends the answer renders the body in the
    caller's dialect; a body made here would be rendered a second time, and on
    an overloaded daemon most answers are refusals.

    Parameters
    ----------
    error : CallError
    credits_left : int
        Unused retry credits, returned to the caller's side.
    load : LoadState or None
    """
    row = ERROR_ANSWERS[error.kind]
    return Answer(
        status=row.status,
        kind=error.kind,
        effect=row.effect,
        retry_after_ms=error.retry_after_ms,
        credits_left=credits_left,
        load=load,
        detail=error.detail,
    )


async def answer_or_error(awaitable):
    """Return the awaited answer, or the answer for its `CallError`."""
    try:
        return await awaitable
    except CallError as error:
        return error_answer(error)
