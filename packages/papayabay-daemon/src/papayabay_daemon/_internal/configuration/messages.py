"""Messages between daemons about configuration versions."""

import struct
from dataclasses import dataclass

from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import whole_ms

OFFER_TOPIC = "config"
TAIL_TOPIC = "config-tail"
FULL_TOPIC = "config-full"
PEER_SECONDS = 1.0
"""Timeout of a request to a peer."""
NEVER = 0xFFFFFFFF
"""Encoded age of a version that was never confirmed."""
VERSION_MAX = 2**64 - 1
OFFER = struct.Struct("!IQ")
NUMBER = struct.Struct("!Q")
CHUNK = struct.Struct("!II")
CHUNK_BYTES = 256 * 1024
FULL_VERSION_BYTES_MAX = 8 * 1024 * 1024
TAIL = b"t"
"""Marks an answer that holds patches."""
FULL = b"f"
"""Marks an answer that holds a chunk of a full version."""


@dataclass(frozen=True, slots=True)
class Offer:
    """The latest version that a daemon has, and when it was confirmed.

    Attributes
    ----------
    version : int
    age : float or None
        Seconds since the store confirmed this version as its newest one, to
        the sender or to a peer that passed the confirmation on; None if it
        never did.
    """

    version: int
    age: float | None

    def encode(self):
        """Return the offer as bytes."""
        age = NEVER if self.age is None else min(NEVER - 1, whole_ms(self.age))
        return OFFER.pack(age, min(self.version, VERSION_MAX))


def decode_offer(content):
    """Return the offer at the start of a message and the rest of it.

    Raises
    ------
    ProtocolError
    """
    if len(content) < OFFER.size:
        raise ProtocolError(
            f"configuration message has {len(content)} bytes; "
            f"at least {OFFER.size} are needed"
        )
    age, version = OFFER.unpack_from(content)
    seconds = None if age == NEVER else age / 1_000
    return Offer(version, seconds), content[OFFER.size :]


def encode_chunk(content, offset):
    """Return a chunk of a full version, with the total size and its offset."""
    chunk = content[offset : offset + CHUNK_BYTES]
    return FULL + CHUNK.pack(len(content), offset) + chunk


def decode_chunk(body, offset):
    """Return the total size and the chunk that starts at an offset.

    Raises
    ------
    ProtocolError
        When the answer is not the requested chunk, or the version too large.
    """
    if len(body) < 1 + CHUNK.size or body[:1] != FULL:
        raise ProtocolError("configuration answer is not a chunk of a full version")
    total, start = CHUNK.unpack_from(body, 1)
    chunk = body[1 + CHUNK.size :]
    if start != offset or not chunk or not start + len(chunk) <= total:
        raise ProtocolError(
            f"configuration chunk has {len(chunk)} bytes at offset {start} of "
            f"{total}; the chunk at offset {offset} was requested"
        )
    if total > FULL_VERSION_BYTES_MAX:
        raise ProtocolError(
            f"configuration has {total} bytes; "
            f"at most {FULL_VERSION_BYTES_MAX} are allowed"
        )
    return total, chunk


def encode_version(version):
    """Return a version number as bytes."""
    return NUMBER.pack(min(version, VERSION_MAX))


def decode_version(content):
    """Return the version number or offset in a request.

    Raises
    ------
    ProtocolError
    """
    if len(content) != NUMBER.size:
        raise ProtocolError(
            f"configuration request has {len(content)} bytes; {NUMBER.size} are needed"
        )
    return NUMBER.unpack(content)[0]
