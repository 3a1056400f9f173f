"""What tells that two attempts are the same request."""

import hashlib

BYTES = 16
BODY_BYTES = 16_384
"""Bytes of a body that are looked at. A longer one is never whole at one
moment, and every daemon of its way has at least its beginning."""
SEPARATOR = b"\0"
"""Stands in none of the parts, so that none can pass for a part of another."""


class Fingerprints:
    """Makes a short name of a request's content, the same at all daemons.

    It is made of method, path with query and body: of what the target gets
    and what stays the same. Identifiers differ with each attempt. The service
    is left out, since policy may move a path to another one; so is whatever
    belongs to the daemon where a request enters, or it would be another one
    at each, and end as many targets by each. Of long bodies only the beginning
    counts: requests to one path that differ later are taken for the same. It
    is keyed, so that no caller can make a request that passes for another's.

    Parameters
    ----------
    settings : DaemonSettings
    """

    def __init__(self, settings):
        secret = settings.cluster.secret.encode()
        self.key = hashlib.blake2b(secret, digest_size=32).digest()
        self.body_bytes = min(BODY_BYTES, settings.limits.inline_body_bytes)

    def of(self, call):
        """Return the fingerprint of a call, `BYTES` long."""
        texts = (call.method, call.path)
        head = SEPARATOR.join(text.encode("utf-8", "surrogateescape") for text in texts)
        body = call.body.first
        digest = hashlib.blake2b(head, digest_size=BYTES, key=self.key)
        digest.update(SEPARATOR + body[: self.body_bytes])
        if len(body) > self.body_bytes or not call.body.is_complete:
            digest.update(SEPARATOR)
        return digest.digest()
