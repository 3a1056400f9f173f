"""Announcements, by which a target registers with its daemon."""

from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Annotated
from urllib.parse import urlsplit

from msgspec import Meta

from papayabay_core.models import Strict

LOOPBACK_HOSTS = frozenset({"127.0.0.1", "localhost", "::1"})
"""Hosts that an announcement may name; all are this VM."""
DEFAULT_LEASE_MS = 10_000
SERVICE_PATTERN = r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?\Z"


def check_loopback(url):
    """Return a URL that points to this VM; raises `ValueError` for others.

    Otherwise the daemon could be made to send calls to a machine whose load
    and state it does not know.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or parts.hostname not in LOOPBACK_HOSTS:
        raise ValueError("must be http://127.0.0.1:PORT")
    if parts.username or parts.password or not parts.port:
        raise ValueError("must have a port and no user")
    return url


def check_address(url):
    """Return a loopback URL without path and query; raises `ValueError`."""
    parts = urlsplit(check_loopback(url))
    if parts.path not in ("", "/") or parts.query or parts.fragment:
        raise ValueError("must have no path")
    return url


LoopbackUrl = Annotated[str, Meta(max_length=255)]
Address = Annotated[str, Meta(max_length=64)]
UrlPath = Annotated[str, Meta(pattern=r"^/[\x21-\x7e]{0,200}\Z")]


@dataclass(slots=True)
class Announcement:
    """A target as it was announced.

    Attributes
    ----------
    service : str
    host : str
    port : int
    slots : int
        Calls that the target runs concurrently.
    connections : int
        Connections that the target accepts.
    cold_start_ms : int
        How long the target is slower after its start.
    load_url, cancel_path, drain_path : str
        Empty if the target has none; `{call}` in `cancel_path` stands for
        the call's token.
    shed_status : int
        Status of answers by which the target refuses a call without running
        it; 0 if it has none.
    incarnation : str
        Name that the target's process gives itself.
    born_ms : int
        Start time of that process, Unix milliseconds by the target's clock; 0
        if unknown. A restarted process may keep the name of the previous one
        and then differs in this alone.
    lease_ms : int
        TTL of the announcement.
    sequence : int
        Increases with each announcement of one process; 0 if the target sends
        no sequence numbers.
    draining : bool
        Whether the target takes no new calls but finishes those it has.
    announced_at : float
        When this process was first announced, on `clock.now()`; the start of
        the cold start.
    """

    service: str
    host: str
    port: int
    slots: int
    connections: int
    cold_start_ms: int = 0
    load_url: str = ""
    cancel_path: str = ""
    drain_path: str = ""
    shed_status: int = 0
    incarnation: str = ""
    born_ms: int = 0
    lease_ms: int = DEFAULT_LEASE_MS
    sequence: int = 0
    draining: bool = False
    announced_at: float = 0.0

    @property
    def process(self):
        """Identifies its process among all that have run on this VM."""
        return self.incarnation, self.born_ms

    def same_process(self, other):
        """Whether both announcements are of the same process."""
        own = (self.service, self.host, self.port, self.process)
        return own == (other.service, other.host, other.port, other.process)

    def completed_by(self, other):
        """Whether another announcement adds this process's start time.

        A health answer, from which a target that was already running is
        announced, states none. A process that is still in its cold start may
        be another one.
        """
        own = (self.service, self.host, self.port, self.incarnation)
        return (
            not self.born_ms
            and other.born_ms > 0
            and not (self.sequence or self.cold_start_ms or other.cold_start_ms)
            and own == (other.service, other.host, other.port, other.incarnation)
        )

    def equals_except_sequence(self, other):
        """Whether another announcement differs only in its sequence number."""
        return values_except_sequence(self) == values_except_sequence(other)

    def with_sequence(self, sequence):
        """Return a copy with another sequence number.

        Each heartbeat makes one; `dataclasses.replace` takes five times as
        long.
        """
        copy = Announcement(*all_values(self))
        copy.sequence = sequence
        return copy


all_values = attrgetter(*(field.name for field in fields(Announcement)))
values_except_sequence = attrgetter(
    *(field.name for field in fields(Announcement) if field.name != "sequence")
)


class AnnounceMessage(Strict, frozen=True, kw_only=True):
    """The body of an announce request."""

    checks = {"address": check_address, "load_url": check_loopback}

    service: Annotated[str, Meta(pattern=SERVICE_PATTERN)]
    address: Address
    slots: Annotated[int, Meta(ge=1, le=100_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    cold_start_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    load_url: LoopbackUrl | None = None
    cancel_path: UrlPath | None = None
    drain_path: UrlPath | None = None
    shed_status: Annotated[int, Meta(ge=400, le=599)] | None = None
    incarnation: Annotated[str, Meta(max_length=64)] = ""
    lease_ms: Annotated[int, Meta(ge=100, le=600_000)] = DEFAULT_LEASE_MS

    def to_announcement(self):
        """Return the `Announcement` for the registry."""
        parts = urlsplit(self.address)
        host = "127.0.0.1" if parts.hostname == "localhost" else parts.hostname
        return Announcement(
            service=self.service,
            host=host,
            port=parts.port,
            slots=self.slots,
            connections=self.connections,
            cold_start_ms=self.cold_start_ms,
            load_url=self.load_url or "",
            cancel_path=self.cancel_path or "",
            drain_path=self.drain_path or "",
            shed_status=self.shed_status or 0,
            incarnation=self.incarnation,
            lease_ms=self.lease_ms,
        )
