"""Seed rows in the table: where a daemon that knows nobody begins."""

import hashlib
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
REFRESH_SECONDS = 60.0
RENEW_SECONDS = 600.0
FRESH_SECONDS = 3.0
"""Age up to which a row names daemons that are just starting: longer than a
process takes to start, and shorter than a caller waits for its answer."""
ROWS_MAX = 200
WRITE_TRIES = 3
log = logbook.Logger("papayabay.membership")


@dataclass(frozen=True, slots=True)
class Seed:
    """Where a daemon was last known to be."""

    name: str
    host: str
    gossip_port: int
    link_port: int

    def as_member(self):
        """Return a member that a link can be made to."""
        return Member(
            self.name, 0, self.host, self.link_port, self.gossip_port, 0, "", ""
        )


def rendezvous_weight(name, purpose):
    """Return a member's weight for a purpose; the highest is picked."""
    return hashlib.blake2b(f"{purpose}\n{name}".encode(), digest_size=8).digest()


def pick_by_rendezvous(members, purpose, count):
    """Return the members with the highest weights for a purpose."""
    ordered = sorted(
        members,
        key=lambda member: rendezvous_weight(member.name, purpose),
        reverse=True,
    )
    return ordered[:count]


def parse_seeds(value):
    """Return the seeds of a row; what is malformed is left out."""
    entries = value.get("seeds") if isinstance(value, dict) else None
    if not isinstance(entries, list):
        return []
    return [Seed(*entry) for entry in entries if is_seed(entry)]


def is_seed(entry):
    """Return whether a row's entry has the form of a seed."""
    if not isinstance(entry, list) or len(entry) != 4:
        return False
    return all(isinstance(text, str) and text for text in entry[:2]) and all(
        isinstance(port, int) and 0 < port < 65_536 for port in entry[2:]
    )


def row_age(value):
    """Return the seconds since a row was written, by the time of day."""
    written = value.get("written_at")
    return time.time() - (written if isinstance(written, int | float) else 0)


class SeedRows:
    """Reads all seed rows and keeps that of the own failure domain.

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
        """Return all seed rows, or None when the store fails."""
        try:
            rows = await self.table.scan(PREFIX, limit=ROWS_MAX)
        except (PlatformError, TimeoutError) as error:
            return self.failed(error)
        self.outage.record_success()
        return rows

    def others(self, rows):
        """Return the seeds of some rows but for this daemon."""
        local = self.members.local.name
        seeds = [seed for row in rows for seed in parse_seeds(row.value)]
        return [seed for seed in seeds if seed.name != local]

    def is_due(self, rows):
        """Return whether the own domain's row wants to be written."""
        values = [row.value for row in rows if row.key == self.key]
        return self.improved(values[0] if values else {}) is not None

    def failed(self, error):
        """Count a failure of the store."""
        self.errors += 1
        self.outage.record_failure(error)

    async def keep(self):
        """Bring the own domain's row up to date; return whether it is.

        The write names the revision that was read. Two daemons that write
        at once would otherwise undo each other, and the loser, alone in
        its view, would never be found by the next one to start.
        """
        for _ in range(WRITE_TRIES):
            try:
                row = await self.table.get(self.key)
                value = self.improved(row.value if row else {})
                if value is None:
                    self.outage.record_success()
                    return True
                revision = row.revision if row else 0
                await self.table.write([Put(self.key, value, expected=revision)])
            except ConditionFailed:
                self.conflicts += 1
            except (PlatformError, TimeoutError) as error:
                self.failed(error)
                return False
            else:
                self.writes += 1
                self.outage.record_success()
                return True
        return False

    def improved(self, value):
        """Return the row's next content, or None when it is good enough."""
        seeds = parse_seeds(value)
        if self.is_enough_to_join(value, seeds):
            return None
        wanted = self.wanted()
        kept = [seed for seed in seeds if seed in wanted]
        enough = len(kept) >= min(SEEDS_MIN, len(wanted))
        if enough and not (self.is_writer() and self.is_old(value, seeds, wanted)):
            return None
        fresh = [seed for seed in wanted if seed not in kept]
        chosen = (kept + fresh + self.strangers(seeds))[:SEEDS_PER_DOMAIN]
        entries = [
            [seed.name, seed.host, seed.gossip_port, seed.link_port] for seed in chosen
        ]
        return {"seeds": entries, "written_at": int(time.time())}

    def is_enough_to_join(self, value, seeds):
        """Return whether one who knows nobody had better leave a row alone.

        When a whole domain starts at once, all of its daemons are alone for a
        moment. Each would write itself down, and most of these writes meet
        each other: six calls of the store for each daemon. The few seeds that
        were just written are starting too, and will be met at the next try.
        """
        alone = self.members.live_count() == 1
        fresh = abs(row_age(value)) <= FRESH_SECONDS
        return alone and fresh and len(self.strangers(seeds)) >= SEEDS_MIN

    def strangers(self, seeds):
        """Return the seeds to keep although nothing is known of them.

        A daemon that could reach no seed may be the one that is cut off;
        writing the others out of the row would hide them from the next.
        """
        if self.members.live_count() > 1:
            return []
        return [seed for seed in seeds if seed.name not in self.members.members]

    def is_old(self, value, seeds, wanted):
        """Return whether a row is due to be written again."""
        age = row_age(value)
        # A time far ahead was written by a clock that was set back since, or
        # by somebody else; the row would never grow old.
        if abs(age) > RENEW_SECONDS or age != age:
            return True
        gone = any(seed not in wanted for seed in seeds)
        short = len(seeds) < min(SEEDS_PER_DOMAIN, len(wanted))
        return age > REFRESH_SECONDS and (gone or short)

    def neighbours(self):
        """Return the members of the own domain that are there to stay."""
        return [
            member
            for member in self.members.live()
            if member.failure_domain == self.domain
            and member.state < MemberState.LEAVING
        ]

    def is_writer(self):
        """Return whether the row's upkeep falls to this daemon."""
        writers = pick_by_rendezvous(self.neighbours(), self.key, 1)
        return writers == [self.members.local]

    def wanted(self):
        """Return live members of the own domain as seeds, this one first."""
        local = self.members.local
        others = [member for member in self.neighbours() if member is not local]
        own = [] if local.state >= MemberState.LEAVING else [local]
        return [
            Seed(member.name, member.host, member.gossip_port, member.link_port)
            for member in own + others
        ]
