"""Seed rows in the table, which name members that a new daemon can join."""

import hashlib
import ipaddress
import time
from dataclasses import dataclass

import logbook

from papayabay_core.exceptions import ConditionFailed, PlatformError
from papayabay_core.platform import Put
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.outage import Outage

PREFIX = "seeds/"
SEEDS_PER_DOMAIN = 8
SEEDS_MIN = 3
"""Live seeds below which any daemon of the domain updates the row."""
REFRESH_SECONDS = 60.0
"""Age from which a row with dead or too few seeds is written again."""
RENEW_SECONDS = 600.0
"""Age from which a row is written again in any case."""
FRESH_SECONDS = 3.0
"""Age up to which the seeds of a row may be just starting: longer than a
process takes to start, and shorter than a caller waits for its answer."""
ROWS_MAX = 200
MAX_NAME_LENGTH = 200
WRITE_ATTEMPTS = 3
log = logbook.Logger("papayabay.membership")


@dataclass(frozen=True, slots=True)
class Seed:
    """The last known address of a daemon."""

    name: str
    host: str
    gossip_port: int
    link_port: int

    def as_member(self):
        """Return a member record that is complete enough to open a link."""
        return Member(
            self.name, 0, self.host, self.link_port, self.gossip_port, 0, "", ""
        )


def rendezvous_weight(name, purpose):
    """Return the weight of a name in rendezvous hashing."""
    return hashlib.blake2b(f"{purpose}\n{name}".encode(), digest_size=8).digest()


def pick_by_rendezvous(members, purpose, count):
    """Return the `count` members with the highest weights for a purpose."""
    ordered = sorted(
        members,
        key=lambda member: rendezvous_weight(member.name, purpose),
        reverse=True,
    )
    return ordered[:count]


def parse_seeds(value):
    """Return the seeds in the value of a row, without malformed entries."""
    entries = value.get("seeds") if isinstance(value, dict) else None
    if not isinstance(entries, list):
        return []
    return [Seed(*entry) for entry in entries if is_seed(entry)]


def is_seed(entry):
    """Return whether an entry of a row is a well-formed seed.

    Its host is an IP address, as that of every member. Resolving a name would
    delay the daemon, and may fail in other ways than a connection.
    """
    if not isinstance(entry, list) or len(entry) != 4:
        return False
    name, host, *ports = entry
    return (
        all(isinstance(text, str) and text for text in (name, host))
        and len(name) <= MAX_NAME_LENGTH
        and is_ip_address(host)
        and all(type(port) is int and 0 < port < 65_536 for port in ports)
    )


def is_ip_address(text):
    """Return whether a text is an IP address without a zone."""
    try:
        return str(ipaddress.ip_address(text)).partition("%")[0] == text
    except ValueError:
        return False


def row_age(value):
    """Return the seconds of wall time since a row was written."""
    written = value.get("written_at")
    try:
        return time.time() - float(written if isinstance(written, int | float) else 0)
    except OverflowError:
        return time.time()


class SeedRows:
    """Reads all seed rows and maintains that of the own failure domain.

    Parameters
    ----------
    vm : VmSettings
    table : TableService
    members : MemberTable
    """

    def __init__(self, vm, table, members):
        self.key = f"{PREFIX}{vm.failure_domain}"
        self.domain = vm.failure_domain
        self.table = table
        self.members = members
        self.outage = Outage(log, "seed rows")
        self.errors = 0
        self.writes = 0
        self.conflicts = 0

    async def read(self):
        """Return all seed rows, or None when the store does not answer."""
        try:
            rows = await self.table.scan(PREFIX, limit=ROWS_MAX)
        except (PlatformError, TimeoutError) as error:
            return self.note_failure(error)
        self.outage.record_success()
        return rows

    def other_seeds(self, rows):
        """Return the seeds of some rows except this daemon."""
        local = self.members.local.name
        seeds = [seed for row in rows for seed in parse_seeds(row.value)]
        return [seed for seed in seeds if seed.name != local]

    def needs_update(self, rows):
        """Return whether the own domain's row should be written."""
        values = [row.value for row in rows if row.key == self.key]
        return self.updated_value(values[0] if values else {}) is not None

    def note_failure(self, error):
        """Count a failed access to the store."""
        self.errors += 1
        self.outage.record_failure(error)

    async def update_row(self):
        """Update the own domain's row; return whether it is up to date.

        The write is conditional on the revision that was read. Without the
        condition, one of two daemons that write at once would overwrite the
        other. The overwritten one knows no other member, and daemons that
        start later would never find it.
        """
        for _ in range(WRITE_ATTEMPTS):
            try:
                row = await self.table.get(self.key)
                value = self.updated_value(row.value if row else {})
                if value is None:
                    self.outage.record_success()
                    return True
                revision = row.revision if row else 0
                await self.table.write([Put(self.key, value, expected=revision)])
            except ConditionFailed:
                self.conflicts += 1
            except (PlatformError, TimeoutError) as error:
                self.note_failure(error)
                return False
            else:
                self.writes += 1
                self.outage.record_success()
                return True
        return False

    def updated_value(self, value):
        """Return the new value of the row, or None if it need not change."""
        seeds = parse_seeds(value)
        if self.has_starting_seeds(value, seeds):
            return None
        live = self.live_seeds()
        kept = [seed for seed in seeds if seed in live]
        enough = len(kept) >= min(SEEDS_MIN, len(live))
        if enough and not (self.is_writer() and self.is_outdated(value, seeds, live)):
            return None
        added = [seed for seed in live if seed not in kept]
        chosen = (kept + added + self.unknown_seeds(seeds))[:SEEDS_PER_DOMAIN]
        entries = [
            [seed.name, seed.host, seed.gossip_port, seed.link_port] for seed in chosen
        ]
        return {"seeds": entries, "written_at": int(time.time())}

    def has_starting_seeds(self, value, seeds):
        """Return whether a daemon without peers need not write the row.

        When a whole domain starts at once, none of its daemons knows another
        one at first. If each added itself, most of the writes would conflict,
        at a cost of six store calls per daemon. The few seeds that were just
        written are starting as well, and are reached at the next attempt.
        """
        alone = self.members.live_count() == 1
        fresh = abs(row_age(value)) <= FRESH_SECONDS
        return alone and fresh and len(self.unknown_seeds(seeds)) >= SEEDS_MIN

    def unknown_seeds(self, seeds):
        """Return the seeds to keep although they are not known as members.

        A daemon that reached no seed may itself be cut off. If it removed
        the others from the row, daemons that start later could not find them.
        """
        if self.members.live_count() > 1:
            return []
        return [seed for seed in seeds if seed.name not in self.members.members]

    def is_outdated(self, value, seeds, live):
        """Return whether a row has to be written again because of its age."""
        age = row_age(value)
        # A time far in the future comes from a clock that has been set back
        # since, or from another program. Such a row would never expire.
        if abs(age) > RENEW_SECONDS or age != age:
            return True
        gone = any(seed not in live for seed in seeds)
        short = len(seeds) < min(SEEDS_PER_DOMAIN, len(live))
        return age > REFRESH_SECONDS and (gone or short)

    def domain_members(self):
        """Return the live members of the own domain that are not leaving."""
        return [
            member
            for member in self.members.live()
            if member.failure_domain == self.domain
            and member.state < MemberState.LEAVING
        ]

    def is_writer(self):
        """Return whether this daemon maintains the row of its domain."""
        writers = pick_by_rendezvous(self.domain_members(), self.key, 1)
        return writers == [self.members.local]

    def live_seeds(self):
        """Return the members of the own domain as seeds, this daemon first."""
        local = self.members.local
        others = [member for member in self.domain_members() if member is not local]
        own = [] if local.state >= MemberState.LEAVING else [local]
        return [
            Seed(member.name, member.host, member.gossip_port, member.link_port)
            for member in own + others
        ]
