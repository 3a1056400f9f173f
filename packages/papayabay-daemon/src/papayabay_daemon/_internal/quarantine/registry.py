"""Records which requests are suspected of crashes, and quarantines them."""

from collections import defaultdict
from itertools import chain, islice, product

import logbook

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.quarantine.records import (
    MAX_TTL_S,
    CrashRecord,
    QuarantineEntry,
)

CONFIRMING_CRASHES = 2
"""Repeated crashes after which a suspect is quarantined, however many other
suspects the crashes share."""
CRASH_TTL_S = 6 * 3_600.0
MAX_CRASHES = 64
MAX_SUSPECTS = 256
"""Suspects that are recorded per crash."""
MAX_ENTRIES = 2_048
ENTRY_RETENTION_S = MAX_TTL_S
"""How long an expired entry is kept, so that the next crash extends its
TTL."""
AGE_TOLERANCE_S = 1.0
"""Difference up to which two ages count as equal. Ages in messages do not
include the time in transit."""
NO_CRASHES = frozenset()
log = logbook.Logger("papayabay.quarantine")


class QuarantineRegistry:
    """Crashes of targets, their suspects, and the quarantined requests.

    A crash counts as repeated for a suspect that was already suspected of
    another crash when it was forwarded to the target. A suspect is quarantined
    if a repeated crash and another one have no other suspect in common, or
    after `CONFIRMING_CRASHES` repeated crashes. Any complete answer exonerates
    it.

    Parameters
    ----------
    clock : callable
        Seconds.

    Attributes
    ----------
    crashes : dict of bytes to CrashRecord
        By the id of the process that crashed.
    crashes_of : dict of bytes to set of bytes
        Crashes by suspect.
    exonerated : dict of bytes to set of bytes
        By fingerprint, the crashes that it is no longer suspected of.
    entries : dict of bytes to QuarantineEntry
        By fingerprint.
    pending : set of bytes
        Crashes and fingerprints that changed since `take_pending`.
    revision : int
        Grows with each change.
    listeners : list of callable
        Called after a local change, with whether it is urgent.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.crashes = {}
        self.crashes_of = defaultdict(set)
        self.exonerated = defaultdict(set)
        self.entries = {}
        self.pending = set()
        self.revision = 0
        self.listeners = []
        self.counters = {"convicted": 0, "cleared": 0, "left_out": 0}

    @property
    def is_empty(self):
        """Whether there are neither suspects nor entries."""
        return not self.crashes_of and not self.entries

    # Queries. These run for each call while the registry is not empty.

    def remaining_ttl(self, fingerprint):
        """Return the seconds that a request stays quarantined, or 0."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            return 0.0
        return max(0.0, entry.expires_at - self.clock())

    def suspected_crashes(self, fingerprint):
        """Return the crashes that a request is suspected of."""
        crashes = self.crashes_of.get(fingerprint, NO_CRASHES)
        suspected = crashes - self.exonerations_of(fingerprint)
        entry = self.entries.get(fingerprint)
        return suspected if entry is None else suspected - entry.exonerated

    def exonerations_of(self, fingerprint):
        """Return the crashes that a request was exonerated of."""
        return self.exonerated.get(fingerprint, NO_CRASHES)

    def is_suspect(self, fingerprint):
        """Return whether a request should run beside no other suspect.

        The next crash then has a single suspect in common with earlier ones.
        """
        entry = self.entries.get(fingerprint)
        if entry is not None and entry.crash_count:
            return True
        return bool(self.repeated_crashes(fingerprint))

    def repeated_crashes(self, fingerprint):
        """Return the crashes that count as repeated for a request."""
        suspected = self.suspected_crashes(fingerprint)
        return {
            name for name in suspected if fingerprint in self.crashes[name].repeated
        }

    # Local events.

    def add_crash(self, name, started):
        """Record a crash of the target beside this daemon.

        Parameters
        ----------
        name : bytes
            Id of the process that crashed.
        started : dict of bytes to float
            By fingerprint, when each call in flight was last forwarded to the
            process.
        """
        kept = dict(islice(started.items(), MAX_SUSPECTS))
        repeated = frozenset(
            fingerprint
            for fingerprint, at in kept.items()
            if self.was_suspected(fingerprint, at)
        )
        self.merge_crash(CrashRecord(name, frozenset(kept), repeated, self.clock()))
        self.notify(urgent=True)

    def was_suspected(self, fingerprint, at):
        """Return whether a request was suspected of a crash before a time."""
        suspected = self.suspected_crashes(fingerprint)
        return any(self.crashes[name].noted_at < at for name in suspected)

    def exonerate(self, fingerprint):
        """Clear a request of suspicion, after an answer or by an operator.

        Returns
        -------
        bool
            Whether it was suspected of any crash.
        """
        suspected = self.suspected_crashes(fingerprint)
        entry = self.entries.get(fingerprint)
        is_quarantined = entry is not None and entry.crash_count
        if not suspected and not is_quarantined:
            return False
        if is_quarantined:
            entry.exonerated |= entry.crashes
            self.mark_changed(fingerprint)
            log.notice(
                "request {} released from quarantine; admitting it", fingerprint.hex()
            )
        self.merge_exonerations(fingerprint, suspected)
        self.notify(urgent=False)
        return True

    # Merging of local events, and of records of peers and the store.

    def merge_crash(self, record):
        """Merge a crash, and evaluate its suspects."""
        if record.id in self.crashes or self.is_outdated(record):
            return
        self.crashes[record.id] = record
        for fingerprint in record.suspects:
            self.crashes_of[fingerprint].add(record.id)
        self.mark_changed(record.id)
        self.evict_crashes()
        self.evaluate(record.suspects)

    def is_outdated(self, record):
        """Return whether a crash has expired or would be evicted at once."""
        if self.clock() - record.noted_at >= CRASH_TTL_S:
            return True
        if len(self.crashes) < MAX_CRASHES:
            return False
        return record.noted_at <= self.oldest_crash().noted_at

    def oldest_crash(self):
        """Return the crash that was recorded first."""
        return min(self.crashes.values(), key=lambda record: record.noted_at)

    def merge_exonerations(self, fingerprint, names):
        """Merge the crashes that a request is exonerated of."""
        new = (names & self.crashes.keys()) - self.exonerations_of(fingerprint)
        if not new:
            return
        self.counters["cleared"] += 1
        self.exonerated[fingerprint] |= new
        self.mark_changed(fingerprint)
        # Another suspect of these crashes may now be the only one.
        self.evaluate(chain.from_iterable(self.crashes[name].suspects for name in new))

    def merge_entry(self, fingerprint, received):
        """Merge an entry received from a peer or read from the store."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            if not self.has_capacity():
                return
            entry = self.entries[fingerprint] = QuarantineEntry(since=received.since)
        count_before = entry.crash_count
        if not entry.covers(received):
            entry.crashes |= received.crashes
            entry.exonerated |= received.exonerated
            self.mark_changed(fingerprint)
        if received.since > entry.since + AGE_TOLERANCE_S:
            entry.since = received.since
        self.log_change(fingerprint, entry, count_before)

    def has_capacity(self):
        """Return whether another entry may be kept.

        Entries are never evicted for new ones: a flood of crashing requests
        would then release the requests in quarantine.
        """
        if len(self.entries) < MAX_ENTRIES:
            return True
        self.counters["left_out"] += 1
        if self.counters["left_out"] == 1:
            log.warning(
                "quarantine registry is full: {} entries; ignoring new ones",
                MAX_ENTRIES,
            )
        return False

    # Evaluation.

    def evaluate(self, fingerprints):
        """Quarantine the suspects against which there is enough evidence."""
        for fingerprint in set(fingerprints):
            suspected = self.suspected_crashes(fingerprint)
            entry = self.entries.get(fingerprint)
            was_quarantined = entry is not None and entry.crash_count
            repeated = self.repeated_crashes(fingerprint)
            confirmed = len(repeated) >= CONFIRMING_CRASHES
            if (
                was_quarantined
                or confirmed
                or self.is_sole_suspect(suspected, repeated)
            ):
                self.quarantine(fingerprint, suspected)

    def is_sole_suspect(self, suspected, repeated):
        """Return whether two crashes have no other suspect in common.

        One of the two has to be a repeated crash.
        """
        return any(
            self.count_common_suspects(one, other) == 1
            for one, other in product(repeated, suspected)
            if one != other
        )

    def count_common_suspects(self, one, other):
        """Return how many requests are suspected of both of two crashes."""
        both = self.crashes[one].suspects & self.crashes[other].suspects
        return sum(
            self.suspected_crashes(fingerprint) >= {one, other} for fingerprint in both
        )

    def quarantine(self, fingerprint, suspected):
        """Quarantine a request for the crashes that it is suspected of."""
        entry = self.entries.get(fingerprint)
        if entry is None:
            if not self.has_capacity():
                return
            entry = self.entries[fingerprint] = QuarantineEntry()
        if suspected <= entry.crashes - entry.exonerated:
            return
        count_before = entry.crash_count
        entry.crashes |= suspected
        entry.since = max(self.crashes[name].noted_at for name in suspected)
        self.mark_changed(fingerprint)
        self.log_change(fingerprint, entry, count_before)

    def log_change(self, fingerprint, entry, count_before):
        """Log that a request is quarantined, or that its TTL has grown."""
        count = entry.crash_count
        if count <= count_before:
            return
        self.counters["convicted"] += not count_before
        log.warning(
            "request {} is held back for {:.0f} s: {} targets have ended under it",
            fingerprint.hex(),
            max(0.0, entry.expires_at - self.clock()),
            count,
        )

    # Expiry.

    def evict_crashes(self):
        """Evict the oldest crashes beyond `MAX_CRASHES`."""
        while len(self.crashes) > MAX_CRASHES:
            self.remove_crash(self.oldest_crash())

    def remove_crash(self, record):
        """Remove a crash, and its suspects unless other crashes name them."""
        self.revision += 1
        del self.crashes[record.id]
        for fingerprint in record.suspects:
            names = self.crashes_of[fingerprint]
            names.discard(record.id)
            self.exonerated[fingerprint].discard(record.id)
            if not names:
                del self.crashes_of[fingerprint]
                del self.exonerated[fingerprint]

    def expire(self):
        """Remove crashes and entries whose retention has ended.

        Returns
        -------
        list of bytes
            Fingerprints of the entries that were removed.
        """
        at = self.clock()
        for record in list(self.crashes.values()):
            if at - record.noted_at >= CRASH_TTL_S:
                self.remove_crash(record)
        expired = [
            fingerprint
            for fingerprint, entry in self.entries.items()
            if at - entry.expires_at >= ENTRY_RETENTION_S
        ]
        for fingerprint in expired:
            del self.entries[fingerprint]
        self.revision += len(expired)
        return expired

    # Pending updates.

    def mark_changed(self, name):
        """Add a crash or a fingerprint to the pending updates."""
        self.pending.add(name)
        self.revision += 1

    def notify(self, urgent):
        """Call the listeners if updates are pending."""
        if self.pending:
            for listener in self.listeners:
                listener(urgent)

    def take_pending(self):
        """Return the pending updates, and clear them."""
        pending, self.pending = self.pending, set()
        return pending

    def levels(self):
        """Return the size of the registry, for metrics."""
        at = self.clock()
        quarantined = sum(entry.expires_at > at for entry in self.entries.values())
        return {
            "ends": len(self.crashes),
            "suspects": len(self.crashes_of),
            "held": quarantined,
        }
