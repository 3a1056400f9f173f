"""Encoding of patches that are sent between processes."""

import itertools
import json

from papayabay_core.configuration.patch import MAX_PATCH_BYTES, patch_of_values
from papayabay_core.exceptions import PlatformError, ProtocolError

MAX_TRANSFER_BYTES = 8 * MAX_PATCH_BYTES
SEPARATOR = b","


def encode_patches(patches):
    """Return consecutive patches as bytes.

    Patches beyond `MAX_TRANSFER_BYTES` are left out; the receiver requests
    them after it has applied the others.
    """
    encoded = [json.dumps(patch.values()).encode() for patch in patches]
    sizes = itertools.accumulate(len(entry) + len(SEPARATOR) for entry in encoded)
    fitting = sum(1 for size in sizes if size < MAX_TRANSFER_BYTES)
    return b"[" + SEPARATOR.join(encoded[:fitting]) + b"]"


def decode_patches(content):
    """Return the patches sent by a peer or an operator.

    The texts of the errors are a part of the status listener's answers.

    Raises
    ------
    ProtocolError
        When the content is too large or malformed, or the patches are not
        consecutive or of a newer release.
    """
    if len(content) > MAX_TRANSFER_BYTES:
        raise ProtocolError(f"patches exceed {MAX_TRANSFER_BYTES} bytes")
    try:
        entries = json.loads(content)
    except (ValueError, RecursionError):
        raise ProtocolError("patches are not valid JSON") from None
    if not isinstance(entries, list):
        raise ProtocolError("patches are not a list")
    try:
        patches = [patch_of_values(entry, "patch of a peer") for entry in entries]
    except PlatformError as error:
        raise ProtocolError(str(error)) from None
    if any(b.base != a.version for a, b in itertools.pairwise(patches)):
        raise ProtocolError("patches are not consecutive")
    return patches
