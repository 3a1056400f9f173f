"""Encodes and decodes the frames of calls and answers.

They are the most frequent frames, so they are MessagePack, validated by
`msgspec`, which is much faster than Cap'n Proto's dynamic schema. All other
frames are Cap'n Proto; see `codec`.

Headers are packed into one field: names and values alternate, separated by
NUL. Text is UTF-8 with surrogate escapes, as the HTTP doors decode header
values, so any bytes of a value are preserved.
"""

from itertools import chain
from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.calls import (
    MAX_PATH_LEVELS,
    MAX_WORK_SERVICES,
    Answer,
    Body,
    Call,
    LoadState,
)
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now

SEPARATOR = "\0"
MAX_REMAINING_MS = 2**32 - 1
MAX_DUE_MS = 2**31 - 1
MAX_SERVICE_MS = 1e7
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.1, 100.0
"""Accepted slowdowns, as of targets. Callers divide by the slowdown."""
FIRST_ARRAY_BYTE = 0x90
"""The first byte of a MessagePack array is this or greater. A Cap'n Proto
message starts with its number of segments, which is small in a frame."""

EFFECTS = (Effect.NOT_RUN, Effect.RUN, Effect.UNKNOWN)
IMPORTANCES = tuple(Importance)
ERROR_KINDS = {int(kind): kind for kind in ErrorKind}

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Identifier = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Number = Annotated[int, Meta(ge=0, le=2**16 - 1)]


class CallFrame(msgspec.Struct, array_like=True, tag=1):
    """A call.

    Attributes
    ----------
    id : int
        Unique on the link; never reused.
    remaining_ms : int
        Time until the call's deadline when the frame was sent.
    sent_at_us : int
        The sender's clock, microseconds; only differences are used.
    importance : int
        Index into `IMPORTANCES`.
    last : bool
        Whether this frame contains the whole body.
    purpose : int
        0 to run the call, 1 to forward it to the home of its key.
    declared : int or None
        Index into `IMPORTANCES` of the class that the policy gives, if it
        differs from `importance`.
    account : str
        Name of the client account; empty without one.
    due_ms : int or None
        Time until the call is due when the frame was sent; negative if past.
    order : int
        Importance class of the entry path; see `Call.path_class`.
    rest_ms : int
        See `Call.rest_s`.
    """

    id: Identifier
    request_id: str
    service: str
    method: str
    path: str
    path_key: str
    idempotency_key: str
    remaining_ms: Count
    sent_at_us: Identifier
    importance: Annotated[int, Meta(ge=0, lt=len(IMPORTANCES))]
    rank: Number
    depth: Number
    credits: Number
    idempotent: bool
    repeated: bool
    headers: bytes
    body: bytes
    last: bool
    purpose: int
    declared: Annotated[int, Meta(ge=0, lt=len(IMPORTANCES))] | None = None
    account: str = ""
    due_ms: Annotated[int, Meta(ge=-(2**31), le=2**31 - 1)] | None = None
    order: Annotated[int, Meta(ge=0, lt=len(IMPORTANCES))] | None = None
    rest_ms: Count = 0


class AnswerFrame(msgspec.Struct, array_like=True, tag=2):
    """An answer.

    Attributes
    ----------
    kind : int
        Number of the error kind, 0 for an answer of the target.
    effect : int
        Index into `EFFECTS`.
    last : bool
        Whether this frame contains the whole body.
    confirmed_version : int
        Configuration version of the sender.
    confirmed_age_ms : int or None
        Time since the store confirmed, to the sender or to a daemon that
        the sender learned it from, that this version was the newest.
    """

    id: Identifier
    status: Number
    kind: int
    effect: Annotated[int, Meta(ge=0, lt=len(EFFECTS))]
    retry_after_ms: Count
    credits_left: Number
    exhausted: bool
    load: LoadState | None
    detail: str
    headers: bytes
    body: bytes
    last: bool
    confirmed_version: int = 0
    confirmed_age_ms: Count | None = None


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(CallFrame | AnswerFrame).decode


def is_call_frame(frame):
    """Return whether a frame is a call or an answer."""
    return frame[0] >= FIRST_ARRAY_BYTE


def read_call_frame(frame):
    """Return a `CallFrame` or an `AnswerFrame`; raises `ProtocolError`."""
    try:
        return decode(frame)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"malformed frame: {str(error)[:100]}") from None


def pack_headers(headers):
    """Return headers packed into one block of bytes.

    Raises
    ------
    CallError
        BAD_REQUEST for a NUL or for text that can't be encoded; HTTP does
        not allow either in a header.
    """
    if not headers:
        return b""
    text = SEPARATOR.join(chain.from_iterable(headers))
    # A NUL inside a value would shift all names and values after it, so that
    # the peer would take one header for another.
    if text.count(SEPARATOR) != 2 * len(headers) - 1:
        raise CallError(ErrorKind.BAD_REQUEST, "NUL in a header")
    try:
        return text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        raise CallError(ErrorKind.BAD_REQUEST, "header is no text") from None


def unpack_headers(block):
    """Return the headers of a block; raises `ProtocolError`."""
    if not block:
        return []
    texts = block.decode("utf-8", "surrogateescape").split(SEPARATOR)
    if len(texts) % 2:
        raise ProtocolError("header without a value")
    names_and_values = iter(texts)
    return list(zip(names_and_values, names_and_values, strict=True))


def encode_call(number, call, first, last, stamp_us, purpose):
    """Return a call's frame.

    Parameters
    ----------
    number : int
        Identifier on the link.
    call : Call
    first : bytes
        The first part of the body, which this frame contains.
    last : bool
        Whether that is the whole body.
    stamp_us : int
        This machine's clock, microseconds.
    purpose : int
        0 to run the call, 1 to forward it to the home of its key.

    Raises
    ------
    CallError
        BAD_REQUEST for a call that can't be encoded.
    """
    at = now()
    remaining_ms = int((call.expires_at - at) * 1_000)
    if remaining_ms < 0:
        remaining_ms = 0
    due_ms = None
    if call.due_at is not None:
        due_ms = int((call.due_at - at) * 1_000)
        if not -MAX_DUE_MS <= due_ms <= MAX_DUE_MS:
            due_ms = MAX_DUE_MS if due_ms > 0 else -MAX_DUE_MS
    rest_ms = int(call.rest_s * 1_000)
    # Positional, as keywords take five times as long.
    frame = CallFrame(
        number,
        call.request_id,
        call.service,
        call.method,
        call.path,
        call.path_key,
        call.idempotency_key,
        remaining_ms if remaining_ms < MAX_REMAINING_MS else MAX_REMAINING_MS,
        stamp_us,
        int(call.importance),
        call.rank,
        call.depth,
        call.credits,
        call.idempotent,
        call.repeated,
        pack_headers(call.headers),
        first,
        last,
        purpose,
        None if call.declared_class is None else int(call.declared_class),
        call.account,
        due_ms,
        call.path_class,
        rest_ms if rest_ms < MAX_REMAINING_MS else MAX_REMAINING_MS,
    )
    try:
        return encode(frame)
    except UnicodeEncodeError:
        raise CallError(ErrorKind.BAD_REQUEST, "path is no text") from None


def decode_call(frame, excess):
    """Return the call of a frame.

    Parameters
    ----------
    frame : CallFrame
    excess : float
        Seconds that the frame took longer than the link's fastest one;
        they shorten the call's remaining time.

    Raises
    ------
    ProtocolError
    """
    sent_at = now() - excess
    due_at = None
    if frame.due_ms is not None:
        due_at = sent_at + frame.due_ms / 1_000
    declared, order = frame.declared, frame.order
    # Positional, as keywords take five times as long.
    return Call(
        frame.request_id,
        frame.service,
        frame.method,
        frame.path,
        unpack_headers(frame.headers),
        Body(frame.body),
        IMPORTANCES[frame.importance],
        frame.rank,
        frame.depth,
        sent_at + frame.remaining_ms / 1_000,
        frame.credits,
        frame.idempotent,
        frame.idempotency_key,
        frame.path_key,
        0,
        frame.repeated,
        None if declared is None else IMPORTANCES[declared],
        frame.account,
        "",
        due_at,
        # Older peers send no path class. With 0 their calls would go before
        # all calls of newer peers in the same class.
        frame.importance if order is None else order,
        frame.rest_ms / 1_000,
    )


def encode_answer(number, answer, first, last, confirmation=None):
    """Return an answer's frame.

    Parameters
    ----------
    number, first, last
        As for `encode_call`.
    answer : Answer
    confirmation : (int, int) or None
        See `Confirmations.own_confirmation`.
    """
    version, age_ms = confirmation or (0, None)
    kind = answer.kind
    return encode(
        AnswerFrame(
            number,
            answer.status,
            0 if kind is None else int(kind),
            # No dict, as an `Enum` computes its hash in Python.
            EFFECTS.index(answer.effect),
            answer.retry_after_ms,
            answer.credits_left,
            answer.exhausted,
            answer.load,
            answer.detail,
            pack_headers(answer.headers),
            first,
            last,
            version,
            age_ms,
        )
    )


def check_load(load):
    """Check a received load state; raises `ProtocolError`.

    NaN, infinity and other implausible times and slowdowns count as not
    reported: they would stay in the caller's averages for ever.
    """
    path_levels, work_ms = load.path_levels, load.work_ms
    if path_levels and len(path_levels) > MAX_PATH_LEVELS:
        raise ProtocolError(f"{len(path_levels)} closed paths")
    if work_ms and len(work_ms) > MAX_WORK_SERVICES:
        raise ProtocolError(f"work of {len(work_ms)} services")
    if not 0.0 <= load.service_ms <= MAX_SERVICE_MS:
        load.service_ms = 0.0
    if not MIN_SLOWDOWN <= load.slowdown <= MAX_SLOWDOWN:
        load.slowdown = 1.0


def decode_answer(frame):
    """Return the answer of a frame; raises `ProtocolError`."""
    kind = frame.kind
    if kind and kind not in ERROR_KINDS:
        raise ProtocolError(f"answer of kind {kind}")
    if frame.load is not None:
        check_load(frame.load)
    return Answer(
        frame.status,
        unpack_headers(frame.headers),
        Body(frame.body),
        ERROR_KINDS[kind] if kind else None,
        EFFECTS[frame.effect],
        frame.retry_after_ms,
        frame.credits_left,
        frame.load,
        frame.exhausted,
        frame.detail,
    )
