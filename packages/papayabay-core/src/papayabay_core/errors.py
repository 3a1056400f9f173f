"""Error kinds and the answer that callers get for each.

Every refusal or failure that papayabay itself reports to a caller has one of
these kinds. `ERROR_ANSWERS` is the only place that defines the HTTP status,
the retry advice and the reported effect of a kind.
"""

import json
from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import lru_cache


class Effect(Enum):
    """Whether the request took effect, as far as is known.

    ``NOT_RUN`` is a guarantee: the request was never forwarded to a target,
    or the target refused it before running it.

    Attributes
    ----------
    text : str
        The value; `Enum.value` takes several function calls.
    """

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"

    def __init__(self, text):
        self.text = text


NOT_RUN = Effect.NOT_RUN
"""For code that runs for each request: a member takes six times as long to
look up in its `Enum`."""


class Retry(Enum):
    """Retry advice to the caller."""

    NEVER = "never"
    LATER = "later"
    SAME_KEY = "same-key"


class ErrorKind(IntEnum):
    """Reasons for which papayabay answers a call in place of the target.

    The numbers are part of the link protocol; a number is never reused.
    """

    BAD_REQUEST = 1
    HEADERS_TOO_LARGE = 2
    BODY_TOO_LARGE = 3
    UNKNOWN_SERVICE = 4
    UNKNOWN_CALL = 5
    TOO_DEEP = 6
    NO_UPSTREAM = 10
    OVERLOADED = 11
    LEAVING = 12
    TARGET_SHED = 13
    TARGET_UNREACHABLE = 14
    RETRIES_SPENT = 15
    LIFETIME_TOO_SHORT = 16
    EXPIRED_UNSENT = 17
    LINK_UNAVAILABLE = 18
    REFUSED_BELOW = 19
    EXPIRED = 20
    TARGET_LOST = 21
    LINK_LOST = 22
    CALLER_LEFT = 23
    TARGET_REJECTED = 24
    QUARANTINED = 25
    ISOLATED = 26
    KEY_MISSING = 30
    KEY_CONFLICT = 31
    KEY_IN_PROGRESS = 32
    OUTCOME_UNKNOWN = 33
    STORE_UNAVAILABLE = 34
    INTERNAL = 40
    UNAUTHENTICATED = 50
    ACCOUNTS_STALE = 51
    RATE_LIMITED = 52
    LIMIT_UNKNOWN = 53


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer given for one error kind.

    Attributes
    ----------
    status : int
        HTTP status.
    effect : Effect
        Whether the request took effect.
    retry : Retry
        Advice to the caller.
    retry_elsewhere : bool
        Whether a daemon may try another upstream for the same call.
    title : str
        Human-readable summary, one line.
    """

    status: int
    effect: Effect
    retry: Retry
    retry_elsewhere: bool
    title: str


_NOT_RUN = Effect.NOT_RUN
_UNKNOWN = Effect.UNKNOWN

ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, _NOT_RUN, Retry.NEVER, False, "The request is malformed."
    ),
    ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(
        431, _NOT_RUN, Retry.NEVER, False, "The request's headers are too large."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        413, _NOT_RUN, Retry.NEVER, False, "The request's body is too large."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(
        404, _NOT_RUN, Retry.NEVER, False, "No policy names this service."
    ),
    ErrorKind.UNKNOWN_CALL: ErrorAnswer(
        400, _NOT_RUN, Retry.NEVER, False, "The outgoing call belongs to no live call."
    ),
    ErrorKind.TOO_DEEP: ErrorAnswer(
        508, _NOT_RUN, Retry.NEVER, False, "The call chain is deeper than allowed."
    ),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "The service has no upstream to take it."
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, True, "Refused to keep more important work alive."
    ),
    ErrorKind.LEAVING: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, True, "The upstream is leaving."
    ),
    ErrorKind.TARGET_SHED: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, True, "The target refused it before running it."
    ),
    ErrorKind.TARGET_REJECTED: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, True, "The target refused it with slots free."
    ),
    ErrorKind.TARGET_UNREACHABLE: ErrorAnswer(
        502, _NOT_RUN, Retry.LATER, True, "The target could not be connected to."
    ),
    ErrorKind.RETRIES_SPENT: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "Its credits or the budget are spent."
    ),
    ErrorKind.LIFETIME_TOO_SHORT: ErrorAnswer(
        504, _NOT_RUN, Retry.LATER, False, "It could not finish in its lifetime."
    ),
    ErrorKind.EXPIRED_UNSENT: ErrorAnswer(
        504, _NOT_RUN, Retry.LATER, False, "Its lifetime ended before it was run."
    ),
    ErrorKind.LINK_UNAVAILABLE: ErrorAnswer(
        502, _NOT_RUN, Retry.LATER, True, "The upstream's daemon can't be reached."
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "Held back: targets have ended under it."
    ),
    ErrorKind.ISOLATED: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, True, "Targets may have ended under it; one by one."
    ),
    ErrorKind.REFUSED_BELOW: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "A service below refused; nothing was run."
    ),
    ErrorKind.EXPIRED: ErrorAnswer(
        504, _UNKNOWN, Retry.SAME_KEY, False, "Its lifetime ended while it ran."
    ),
    ErrorKind.TARGET_LOST: ErrorAnswer(
        502, _UNKNOWN, Retry.SAME_KEY, True, "The target broke off without an answer."
    ),
    ErrorKind.LINK_LOST: ErrorAnswer(
        502, _UNKNOWN, Retry.SAME_KEY, True, "The link broke before the answer came."
    ),
    ErrorKind.CALLER_LEFT: ErrorAnswer(
        499, _UNKNOWN, Retry.SAME_KEY, False, "The caller left before the answer."
    ),
    ErrorKind.KEY_MISSING: ErrorAnswer(
        400, _NOT_RUN, Retry.NEVER, False, "This call needs an Idempotency-Key."
    ),
    ErrorKind.KEY_CONFLICT: ErrorAnswer(
        422, _NOT_RUN, Retry.NEVER, False, "The key was used for another request."
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(
        409, _UNKNOWN, Retry.SAME_KEY, False, "A request with this key is running."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        504, _UNKNOWN, Retry.NEVER, False, "Nobody can tell whether it was run."
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "The platform's store does not answer."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(
        401, _NOT_RUN, Retry.NEVER, False, "It needs a valid key of an account."
    ),
    ErrorKind.ACCOUNTS_STALE: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "The accounts known here may be outdated."
    ),
    ErrorKind.RATE_LIMITED: ErrorAnswer(
        429, _NOT_RUN, Retry.LATER, False, "The account is beyond its rate limit."
    ),
    ErrorKind.LIMIT_UNKNOWN: ErrorAnswer(
        503, _NOT_RUN, Retry.LATER, False, "The account's limit can't be checked now."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, _UNKNOWN, Retry.SAME_KEY, False, "papayabay itself failed."
    ),
}


KIND_NAMES = {kind: kind.name for kind in ErrorKind}
"""Names of the error kinds; `Enum.name` takes several function calls."""
KIND_LABELS = {kind: kind.name.lower() for kind in ErrorKind}
"""The names as decision lines have them."""


class CallError(Exception):
    """Ends a call with one of the error kinds.

    Parameters
    ----------
    kind : ErrorKind
    detail : str
        Human-readable explanation, one line. Programs need only the kind.
    retry_after_ms : int
        Delay before a retry, jitter included; 0 where none is known.
    """

    def __init__(self, kind, detail="", retry_after_ms=0):
        name = KIND_NAMES[kind]
        super().__init__(f"{name}: {detail}" if detail else name)
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def answer(self):
        """The entry of `ERROR_ANSWERS` for this kind."""
        return ERROR_ANSWERS[self.kind]


PROBLEM_TYPE = ("Content-Type", "application/problem+json")
"""Header field of answers whose body is made by `problem_body`."""


def problem_start(kind, answer):
    """Return the members that are the same in all bodies of an error kind."""
    problem = {
        "type": f"urn:papayabay:error:{kind.name.lower().replace('_', '-')}",
        "title": answer.title,
        "status": answer.status,
        "effect": answer.effect.value,
        "retry": answer.retry.value,
    }
    return json.dumps(problem).removesuffix("}")


PROBLEM_STARTS = {
    kind: problem_start(kind, answer) for kind, answer in ERROR_ANSWERS.items()
}
"""Formatted once, since most answers of an overloaded daemon are refusals."""


MAX_CACHED_DETAIL = 200
"""Longest detail whose member is cached. Some details repeat what a client
sent, and long ones would keep up to 128 times `header_bytes` in memory."""


@lru_cache(maxsize=128)
def detail_member(detail):
    """Return the member with the detail; most refusals share a few details."""
    return f', "detail": {json.dumps(detail)}'


def problem_body(kind, detail="", request_id="", retry_after_ms=0):
    """Return JSON problem details (RFC 9457) for an error kind, as bytes."""
    body = PROBLEM_STARTS[kind]
    if detail:
        is_short = len(detail) <= MAX_CACHED_DETAIL
        member = detail_member if is_short else detail_member.__wrapped__
        body += member(detail)
    if request_id:
        body += f', "request": {json.dumps(request_id)}'
    if retry_after_ms:
        body += f', "retry_after_ms": {retry_after_ms}'
    return (body + "}").encode()
