"""Partitions of the fleet, and the messages that gather their reports.

A daemon that gathers reports splits the members into partitions and asks one
member of each to gather that partition. The messages are compressed JSON.
"""

import json
import math
import zlib

from papayabay_core.exceptions import ProtocolError

FAN_OUT = 64
"""Most members that one daemon asks directly, and most partitions."""
REPORT_SECONDS = 3.0
"""Time for one daemon's report: dialling it, and 2 s to answer."""
LEVEL_SECONDS = 6.0
"""Extra time per level of gathering: two daemons may turn out to be dead
before a third gathers the partition."""
MESSAGE_BYTES_MAX = 16 * 1024 * 1024
"""Limit of a message after decompression."""
NAMES_MAX = 32_768
"""Most members that one request to gather may name."""


def split(names):
    """Return at most `FAN_OUT` partitions of about the same size.

    Adjacent names stay together, so that each partition of names ordered by
    failure domain lies within one or two domains.
    """
    count = min(FAN_OUT, math.ceil(len(names) / FAN_OUT))
    size = math.ceil(len(names) / max(1, count))
    return [names[start : start + size] for start in range(0, len(names), size)]


def gather_timeout(count):
    """Return the seconds within which a daemon gathers `count` reports."""
    if count <= FAN_OUT:
        return REPORT_SECONDS
    partitions = min(FAN_OUT, math.ceil(count / FAN_OUT))
    return gather_timeout(math.ceil(count / partitions)) + LEVEL_SECONDS


def pack(values):
    """Return values as compressed JSON."""
    return zlib.compress(json.dumps(values, separators=(",", ":")).encode(), 1)


def unpack(content):
    """Return the dict in compressed JSON.

    Raises
    ------
    ProtocolError
        Also when it decompresses to more than `MESSAGE_BYTES_MAX`: a few
        bytes can expand to gigabytes of one repeated character.
    """
    reader = zlib.decompressobj()
    try:
        text = reader.decompress(content, MESSAGE_BYTES_MAX)
        values = json.loads(text) if reader.eof else None
    except (zlib.error, ValueError, RecursionError):
        values = None
    if not isinstance(values, dict):
        raise ProtocolError("malformed report")
    return values


def read_gather_request(content):
    """Return the topic and the members' names of a request to gather.

    Raises
    ------
    ProtocolError
    """
    values = unpack(content)
    topic, names = values.get("topic"), values.get("names")
    if not isinstance(names, list) or not 0 < len(names) <= NAMES_MAX:
        raise ProtocolError(f"names must be a list of 1 to {NAMES_MAX} entries")
    if not all(isinstance(name, str) for name in names):
        raise ProtocolError("names must only hold strings")
    return topic, names
