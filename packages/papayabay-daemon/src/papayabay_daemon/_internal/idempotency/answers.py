"""Reading of whole bodies, and storage formats of recorded answers."""

import base64
import binascii
import json

from msgspec.structs import replace

from papayabay_core.calls import Answer, Body

MAX_KEPT_BODY_BYTES = 1024 * 1024
"""Largest answer body kept in memory, in bytes."""
MAX_ROW_BODY_BYTES = 64 * 1024
"""Largest answer body stored in a claim's row, in bytes."""


async def read_up_to(body, limit):
    """Return the body, buffered whole if it is no larger than the limit.

    Parameters
    ----------
    body : Body
    limit : int
        Bytes. A longer body is returned with what was read so far buffered
        and the remainder still to be streamed.
    """
    if body.is_complete:
        return body
    parts = [body.first]
    size = len(body.first)
    rest = body.rest
    async for part in rest:
        parts.append(part)
        size += len(part)
        if size > limit:
            return Body(b"".join(parts), rest)
    return Body(b"".join(parts))


async def close_rest(body):
    """Close the unread remainder of a streamed body."""
    close = getattr(body.rest, "aclose", None)
    if close is not None:
        await close()


def answer_for_repeat(answer, call):
    """Return a copy of a recorded answer for a call that repeats its key.

    The repeat spent none of its own retry credits, so it gets all of them
    back. The credits and the load state of the first call were returned with
    the first answer and must not be returned twice.
    """
    return replace(
        answer,
        headers=list(answer.headers),
        body=Body(answer.body.first),
        credits_left=call.credits,
        load=None,
    )


def encode_answer(answer):
    """Return a target's whole answer in a compact encoding for memory."""
    head = json.dumps([answer.status, answer.headers], separators=(",", ":"))
    return head.encode() + b"\n" + answer.body.first


def decode_answer(encoded):
    """Return the answer that `encode_answer` encoded."""
    head, _, body = encoded.partition(b"\n")
    status, headers = json.loads(head)
    return Answer(status, [(name, value) for name, value in headers], Body(body))


def pack_answer(answer):
    """Return an answer as JSON values, or None if too large for a row."""
    if len(answer.body.first) > MAX_ROW_BODY_BYTES:
        return None
    return {
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body.first).decode(),
    }


def unpack_answer(values):
    """Return the answer that JSON values describe, or None if malformed."""
    try:
        headers = [(str(name), str(value)) for name, value in values["headers"]]
        body = base64.b64decode(values["body"], validate=True)
        return Answer(int(values["status"]), headers, Body(body))
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None
