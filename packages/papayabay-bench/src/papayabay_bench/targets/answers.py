"""Answers whose truncation or delivery to another request is noticed.

An answer is one line of JSON that repeats the request's nonce, padding of
the length asked for, and the digest of both. A crossed answer shows a
strange nonce, a truncated one a wrong digest.
"""

import json
from hashlib import blake2b

DIGEST_BYTES = 16
DIGEST_TEXT_BYTES = 2 * DIGEST_BYTES


def make_answer(fields, padding_bytes):
    """Return an answer's body.

    Parameters
    ----------
    fields : dict
        Plain values; ``nonce`` is what the asker compares.
    padding_bytes : int
    """
    payload = json.dumps(fields).encode() + b"\n" + b"." * padding_bytes
    return payload + digest_of(payload)


def digest_of(payload):
    """Return the digest that ends an answer."""
    return blake2b(payload, digest_size=DIGEST_BYTES).hexdigest().encode()


def is_own_answer(body, nonce):
    """Return whether a body is a whole answer to the call of a nonce."""
    payload, digest = body[:-DIGEST_TEXT_BYTES], body[-DIGEST_TEXT_BYTES:]
    if digest_of(payload) != digest:
        return False
    fields = json.loads(payload.partition(b"\n")[0])
    return fields.get("nonce") == nonce
