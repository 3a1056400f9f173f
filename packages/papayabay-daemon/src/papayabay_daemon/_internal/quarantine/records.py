"""Records of targets' crashes and of quarantined requests."""

from dataclasses import dataclass, field

MINUTE_S = 60.0
HOUR_S = 3_600.0
TTLS_S = {
    2: MINUTE_S,
    3: 10 * MINUTE_S,
    4: HOUR_S,
    5: 6 * HOUR_S,
}
"""TTL of a quarantine entry, seconds, by the number of crashes that the
request is suspected of. Each expiry lets it cause one more."""
MAX_TTL_S = 24 * HOUR_S


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a target.

    Attributes
    ----------
    id : bytes
        Identifies the process that crashed.
    suspects : frozenset of bytes
        Fingerprints of the calls in flight.
    repeated : frozenset of bytes
        Suspects that were already suspected of an earlier crash when they were
        forwarded to this target. If several targets crash together, the calls
        in flight are not among them.
    noted_at : float
        Seconds on the daemon's own clock.
    """

    id: bytes
    suspects: frozenset[bytes]
    repeated: frozenset[bytes]
    noted_at: float


@dataclass(slots=True)
class QuarantineEntry:
    """A quarantined request.

    Both sets only grow, so that daemons converge whatever the order in which
    they merge entries.

    Attributes
    ----------
    crashes : set of bytes
        Crashes that it is suspected of.
    exonerated : set of bytes
        Those of them that it is no longer suspected of.
    since : float
        When the latest crash was noted, on the daemon's own clock.
    """

    crashes: set[bytes] = field(default_factory=set)
    exonerated: set[bytes] = field(default_factory=set)
    since: float = 0.0

    @property
    def crash_count(self):
        """Number of crashes that it is still suspected of."""
        return len(self.crashes - self.exonerated)

    @property
    def ttl_s(self):
        """TTL in seconds; 0 if the request is exonerated of all crashes."""
        if not self.crash_count:
            return 0.0
        return TTLS_S.get(max(self.crash_count, min(TTLS_S)), MAX_TTL_S)

    @property
    def expires_at(self):
        """When the request is admitted again."""
        return self.since + self.ttl_s

    def covers(self, other):
        """Return whether another entry adds nothing to this one."""
        return other.crashes <= self.crashes and other.exonerated <= self.exonerated
