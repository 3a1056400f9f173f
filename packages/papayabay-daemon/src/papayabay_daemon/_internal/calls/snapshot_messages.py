"""Message with a daemon's figures of work, for a daemon that starts."""

from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.calls import MAX_PATH_LEVELS, MAX_WORK_SERVICES
from papayabay_core.exceptions import ProtocolError
from papayabay_core.importance import ADMIT_ALL

TOPIC = "calls.snapshot"
MAX_BYTES = 16 * 1024
MAX_ENTRIES = 256
"""Most entries of each list."""

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Amounts = Annotated[dict[str, float], Meta(max_length=MAX_WORK_SERVICES)]
Level = Annotated[int, Meta(ge=-1, le=ADMIT_ALL)]
"""Admission level; -1 admits no call."""
Levels = Annotated[dict[str, Level], Meta(max_length=2 * MAX_PATH_LEVELS)]


class PathCounts(msgspec.Struct, array_like=True, frozen=True):
    """Counts of a path that the sender's target runs.

    Attributes
    ----------
    path_key : str
    runs : int
        Complete runs, at least 1.
    calls : dict of str to int
        Number of calls in these runs, by child path.
    """

    path_key: str
    runs: Annotated[int, Meta(ge=1, le=2**32 - 1)]
    calls: Annotated[dict[str, Count], Meta(max_length=MAX_ENTRIES)]


class PathFigures(msgspec.Struct, array_like=True, frozen=True):
    """Work of a called path.

    Attributes
    ----------
    path_key : str
    age_ms : int
        Time since the sender's latest answer of the path.
    work_ms : dict of str to float
        See `LoadState.work_ms`.
    """

    path_key: str
    age_ms: Count
    work_ms: Amounts


class ServiceFigures(msgspec.Struct, array_like=True, frozen=True):
    """Thresholds of a called service, and the work of its paths.

    Attributes
    ----------
    service : str
    age_ms : int
        Time since the sender's latest answer of the service.
    level : int
        Admission threshold of the service's targets.
    path_levels : dict of str to int
        See `LoadState.path_levels`.
    paths : list of PathFigures
    """

    service: str
    age_ms: Count
    level: Level
    path_levels: Levels
    paths: Annotated[list[PathFigures], Meta(max_length=MAX_ENTRIES)]


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """Figures of one daemon.

    Attributes
    ----------
    counts : list of PathCounts
    services : list of ServiceFigures
    """

    counts: Annotated[list[PathCounts], Meta(max_length=MAX_ENTRIES)] = []
    services: Annotated[list[ServiceFigures], Meta(max_length=MAX_ENTRIES)] = []


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot):
    """Return the encoded snapshot, at most `MAX_BYTES` long.

    The ends of both lists are left out, half of what is there at a time,
    until the rest fits.
    """
    counts = snapshot.counts[:MAX_ENTRIES]
    services = snapshot.services[:MAX_ENTRIES]
    while True:
        payload = encoder.encode(Snapshot(counts, services))
        if len(payload) <= MAX_BYTES:
            return payload
        counts = counts[: len(counts) // 2]
        services = services[: len(services) // 2]


def decode(payload):
    """Return a `Snapshot`; raises `ProtocolError`."""
    if len(payload) > MAX_BYTES:
        raise ProtocolError(f"snapshot of {len(payload)} bytes")
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"malformed snapshot: {error}") from None
