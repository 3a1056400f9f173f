"""Answers made of error kinds."""

from papayabay_core.calls import Answer
from papayabay_core.errors import ERROR_ANSWERS, CallError

REQUEST_HEADER = "Papayabay-Request"


def error_answer(error, credits_left=0, load=None):
    """Return the answer that tells of a call's error.

    It has no body: the door through which it leaves makes one, in its
    dialect. Made here, it would be made once more there, and on overloaded
    daemons most answers are refusals.

    Parameters
    ----------
    error : CallError
    credits_left : int
        Unused retry credits that come back.
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
    """Return what is awaited, or the answer of its `CallError`."""
    try:
        return await awaitable
    except CallError as error:
        return error_answer(error)
