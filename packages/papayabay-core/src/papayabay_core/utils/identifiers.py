"""Random identifiers of requests, attempts and patches."""

import secrets

IDENTIFIER_BYTES = 12


def new_identifier():
    """Return a new random identifier of 24 hexadecimal digits."""
    return secrets.token_hex(IDENTIFIER_BYTES)
