"""Bodies read whole, and answers kept for repeats."""

import base64
import binascii
import json
from dataclasses import replace

from papayabay_core.calls import Answer, Body

KEPT_BODY_BYTES = 1024 * 1024
"""Largest answer kept in memory."""
ROW_BODY_BYTES = 64 * 1024
"""Largest answer kept in a claim's row."""


async def read_up_to(body, limit):
    """Return the body with as much at hand as the limit allows.

    Parameters
    ----------
    body : Body
    limit : int
        Bytes. A longer body keeps its rest, and loses nothing.
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
    """Close a body's rest that nobody will read."""
    close = getattr(body.rest, "aclose", None)
    if close is not None:
        await close()


def repeated(answer, call):
    """Return a recorded answer as a repeat gets it.

    The repeat spent none of its own retry credits, and the first call's
    credits and load state are not handed out twice.
    """
    return replace(
        answer,
        headers=list(answer.headers),
        body=Body(answer.body.first),
        credits_left=call.credits,
        load=None,
    )


def to_bytes(answer):
    """Return a target's whole answer as bytes, small to keep."""
    head = json.dumps([answer.status, answer.headers], separators=(",", ":"))
    return head.encode() + b"\n" + answer.body.first


def from_bytes(kept):
    """Return the answer of `to_bytes`."""
    head, _, body = kept.partition(b"\n")
    status, headers = json.loads(head)
    return Answer(status, [(name, value) for name, value in headers], Body(body))


def pack_answer(answer):
    """Return an answer as JSON values; None when too large for a row."""
    if len(answer.body.first) > ROW_BODY_BYTES:
        return None
    return {
        "status": answer.status,
        "headers": [list(header) for header in answer.headers],
        "body": base64.b64encode(answer.body.first).decode(),
    }


def unpack_answer(values):
    """Return the answer of JSON values; None when they are not one."""
    try:
        headers = [(str(name), str(value)) for name, value in values["headers"]]
        body = base64.b64decode(values["body"], validate=True)
        return Answer(int(values["status"]), headers, Body(body))
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None
