"""What daemons say to each other about configuration versions."""

import struct
from dataclasses import dataclass

from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import whole_ms

OFFER_TOPIC = "config"
TAIL_TOPIC = "config-tail"
FULL_TOPIC = "config-full"
PEER_SECONDS = 1.0
NEVER = 0xFFFFFFFF
VERSION_MAX = 2**64 - 1
OFFER = struct.Struct("!IQ")
NUMBER = struct.Struct("!Q")
CHUNK = struct.Struct("!II")
CHUNK_BYTES = 256 * 1024
WHOLE_BYTES_MAX = 8 * 1024 * 1024
TAIL = b"t"
FULL = b"f"


@dataclass(frozen=True, slots=True)
class Offer:
    """A version that a daemon holds.

    Attributes
    ----------
    version : int
    age : float or None
        Seconds since the store said that this was its newest version, to
        this daemon or to one that it heard from; None when never.
    """

    version: int
    age: float | None

    def encode(self):
        """Return the offer as bytes."""
        age = NEVER if self.age is None else min(NEVER - 1, whole_ms(self.age))
        return OFFER.pack(age, min(self.version, VERSION_MAX))


def take_offer(content):
    """Return the offer at the start of a message and what follows it.

    Raises
    ------
    ProtocolError
    """
    if len(content) < OFFER.size:
        raise ProtocolError("configuration message is too short")
    age, version = OFFER.unpack_from(content)
    seconds = None if age == NEVER else age / 1_000
    return Offer(version, seconds), content[OFFER.size :]


def encode_chunk(content, offset):
    """Return one part of a whole version, with its place and the total."""
    part = content[offset : offset + CHUNK_BYTES]
    return FULL + CHUNK.pack(len(content), offset) + part


def decode_chunk(body, offset):
    """Return the total and the part that starts at an offset.

    Raises
    ------
    ProtocolError
        It is not the part that was asked for, or the whole is too large.
    """
    if len(body) < 1 + CHUNK.size or body[:1] != FULL:
        raise ProtocolError("configuration answer of an unknown form")
    total, start = CHUNK.unpack_from(body, 1)
    part = body[1 + CHUNK.size :]
    if start != offset or not part or not start + len(part) <= total:
        raise ProtocolError("configuration answer with another part")
    if total > WHOLE_BYTES_MAX:
        raise ProtocolError(f"configuration of {total} bytes")
    return total, part


def encode_version(version):
    """Return a version as bytes."""
    return NUMBER.pack(min(version, VERSION_MAX))


def decode_version(content):
    """Return the version that a request names."""
    if len(content) != NUMBER.size:
        raise ProtocolError("configuration request of a wrong size")
    return NUMBER.unpack(content)[0]
