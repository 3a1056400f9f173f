"""Digests of the API keys of client accounts.

Only digests are stored and sent; the keys themselves never are.
"""

import hashlib

DIGEST_BYTES = 16
DIGEST_PATTERN = rf"^[0-9a-f]{{{2 * DIGEST_BYTES}}}\Z"


def digest_key(key):
    """Return the digest under which a key is declared and looked up.

    Parameters
    ----------
    key : str

    Returns
    -------
    str
        The first half of the key's SHA-256, in hexadecimal digits.
    """
    content = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(content).hexdigest()[: 2 * DIGEST_BYTES]
