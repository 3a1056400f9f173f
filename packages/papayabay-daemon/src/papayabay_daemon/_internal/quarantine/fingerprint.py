"""Fingerprints, by which attempts of the same request are recognized."""

import hashlib

FINGERPRINT_BYTES = 16
MAX_BODY_BYTES = 16_384
"""Bytes of a body that are hashed. A longer body may be streamed, so that no
daemon ever has all of it, but each has at least this much."""
SEPARATOR = b"\0"
"""Occurs in none of the hashed parts, so that their boundaries are unique."""


class Fingerprints:
    """Computes fingerprints of requests, the same at all daemons.

    A fingerprint is a keyed hash of the method, the path with query, and the
    body: of what the target receives and what is the same for all attempts.

    - Identifiers are left out, as they differ between attempts.
    - The service is left out, as policy may map a path to another service.
    - Properties of the entry daemon are left out. Otherwise a request would
      have another fingerprint at each entry, and could crash several targets
      through each.
    - Only the beginning of a long body is hashed, so requests to the same path
      that differ only after it have the same fingerprint.
    - The hash is keyed, so that no caller can forge a request with the
      fingerprint of another.

    Parameters
    ----------
    settings : DaemonSettings
    """

    def __init__(self, settings):
        secret = settings.cluster.secret.encode()
        self.key = hashlib.blake2b(secret, digest_size=32).digest()
        self.body_bytes = min(MAX_BODY_BYTES, settings.limits.inline_body_bytes)

    def of(self, call):
        """Return the fingerprint of a call, `FINGERPRINT_BYTES` long."""
        texts = (call.method, call.path)
        head = SEPARATOR.join(text.encode("utf-8", "surrogateescape") for text in texts)
        body = call.body.first
        digest = hashlib.blake2b(head, digest_size=FINGERPRINT_BYTES, key=self.key)
        digest.update(SEPARATOR + body[: self.body_bytes])
        if len(body) > self.body_bytes or not call.body.whole:
            digest.update(SEPARATOR)
        return digest.digest()
