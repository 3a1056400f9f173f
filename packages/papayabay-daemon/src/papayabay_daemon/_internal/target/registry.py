"""Registry of the target that is announced beside this daemon."""

import asyncio
from collections import OrderedDict
from dataclasses import replace

import logbook

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.target.candidates import Candidates

log = logbook.Logger("papayabay.target")

MAX_CONNECT_FAILURES = 3
"""Consecutive failures to connect after which the target is withdrawn."""
ENDED = float("inf")
"""Stored as the sequence number of a process whose further announcements are
all outdated; higher than any number that a process uses."""
MAX_PROCESSES = 64
"""Most target processes whose sequence numbers are kept, to recognise their
late announcements."""
COUNTERS = (
    "held_announcements",
    "verified_processes",
    "rejected_processes",
    "unverified_processes",
)


class TargetRegistry:
    """Holds the target's announcement until its lease expires.

    Announcements of one process are ordered by their numbers, and none of it
    counts after it has left. Between processes, nothing that they announce
    decides, as it may be late or of another writer: a process that takes the
    place of another, or that may have left before this daemon started, is put
    in force once a health answer shows that it runs at the address. The
    section "Which process a target is" of docs/DESIGN.md has the rule.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    listeners : list of callable
        Called with the new `Announcement`, or None, at each change.
    sequences : OrderedDict of tuple to float
        Highest sequence number by `Announcement.process`.
    changed : asyncio.Event
        Set at each change.
    first_incarnation : str or None
        Incarnation of the first target announced, which may have been running
        before this daemon; None if there is none.
    was_absent : bool
        Whether nothing listened at the target's address when it was checked,
        before the first announcement.
    verifies : bool
        Whether processes are verified; set by `TargetVerifier`.
    candidates : Candidates
        Processes that are not verified yet.
    verification_due : asyncio.Event
        Set when there is a candidate to verify.
    is_verified : bool
        Whether the process in force was verified or needed no verification.
    counters : dict of str to int
        ``held_announcements``: those held for a verification;
        ``verified_processes``, ``rejected_processes``,
        ``unverified_processes``: outcomes, the last one of processes that
        were put in force without an answer.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.listeners = []
        self.announcement = None
        self.lease_expires_at = 0.0
        self.connect_failures = 0
        self.sequences = OrderedDict()
        self.changed = asyncio.Event()
        self.first_incarnation = None
        self.was_absent = False
        self.verifies = False
        self.candidates = Candidates()
        self.verification_due = asyncio.Event()
        self.is_verified = True
        self.counters = dict.fromkeys(COUNTERS, 0)

    @property
    def current(self):
        """The announcement in force, or None; an expired one is withdrawn."""
        if self.announcement is not None and self.clock() >= self.lease_expires_at:
            self.withdraw("its lease expired")
        return self.announcement

    def announce(self, announcement):
        """Put an announcement in force, or renew the lease of the same one.

        Returns
        -------
        bool
            False for an announcement that is outdated and ignored, or held
            until its process is verified.
        """
        if self.is_outdated(announcement):
            log.info(
                "outdated announcement {} of {} ignored",
                announcement.sequence,
                announcement.incarnation,
            )
            return False
        if self.needs_verification(announcement):
            if self.candidates.hold(announcement, self.clock()):
                self.counters["held_announcements"] += 1
                self.verification_due.set()
            return False
        self.put_in_force(announcement)
        return True

    def put_in_force(self, announcement, is_verified=True):
        """Put an announcement in force that is not outdated.

        Parameters
        ----------
        announcement : Announcement
        is_verified : bool
            Whether its process is known to run at the address.
        """
        moment = self.clock()
        previous = self.current
        if announcement.sequence:
            self.record_sequence(announcement.process, announcement.sequence)
        self.candidates.discard(announcement.process)
        if previous is not None and previous.completed_by(announcement):
            previous.born_ms = announcement.born_ms
        if previous is not None and previous.process != announcement.process:
            self.end_previous(previous, announcement, is_verified)
            self.is_verified = is_verified
        elif previous is None:
            self.is_verified = is_verified
        known = previous is not None and previous.same_process(announcement)
        if self.first_incarnation is None and not self.was_absent:
            self.first_incarnation = announcement.incarnation
        announcement.announced_at = previous.announced_at if known else moment
        if known:
            announcement.cold_start_ms = previous.cold_start_ms
        self.lease_expires_at = moment + announcement.lease_ms / 1000
        self.connect_failures = 0
        changed = previous is None or not previous.equals_except_sequence(announcement)
        self.announcement = announcement
        if not changed:
            return
        if known and announcement.draining and not previous.draining:
            log.notice(
                "target of {} is draining; sending it no new calls",
                announcement.service,
            )
        if not known:
            log.notice(
                "target {} of {} announced at {}:{}",
                announcement.incarnation,
                announcement.service,
                announcement.host,
                announcement.port,
            )
        self.notify()

    def end_previous(self, previous, announcement, is_verified):
        """Record that a process has ended, as another one took its address.

        Its announcements may still arrive late. Where its end is not proven,
        they are not outdated for good: it may be the one that runs. A health
        answer doesn't tell processes of one name apart, but their start times
        do while the later one is in force.
        """
        is_restart = previous.incarnation == announcement.incarnation
        if self.verifies and (not is_verified or (is_restart and previous.born_ms)):
            return
        self.record_sequence(previous.process, ENDED)

    def needs_verification(self, announcement):
        """Whether a process has to be verified before it is put in force.

        A daemon that has just started doesn't know whether the process has
        left before, unless nothing listened at the address at its start.
        """
        if not (self.verifies and announcement.sequence):
            return False
        current = self.current
        if current is not None:
            is_known = current.process == announcement.process
            return not (is_known or current.completed_by(announcement))
        if announcement.draining:
            return False
        return bool(self.sequences) or not self.was_absent

    def apply_health(self, candidates, found):
        """Decide on candidates by who answered at their address.

        Parameters
        ----------
        candidates : list of Candidate
            Those that were held when the health request was sent.
        found : ProcessHealth or None
            None if no process answered with its name.
        """
        for candidate in filter(self.candidates.holds, candidates):
            candidate.is_due = False
            self.decide(candidate, found)
        current = self.current
        if found is None or current is None:
            return
        if current.incarnation != found.incarnation:
            self.mark_replaced(current)

    def decide(self, candidate, found):
        """Put a candidate in force, reject it, or go on to hold it."""
        announcement = candidate.announcement
        if found is None or found.is_accepting is None:
            if candidate.persists:
                self.accept(announcement, "unverified_processes")
            return
        if found.incarnation != announcement.incarnation:
            self.candidates.discard(announcement.process)
            self.counters["rejected_processes"] += 1
            log.notice(
                "announcement {} of {} ignored: {} answers at its address",
                announcement.sequence,
                announcement.incarnation,
                found.incarnation,
            )
        elif found.is_accepting or announcement.draining:
            self.accept(announcement, "verified_processes")
        elif candidate.outlasts_lease:
            self.accept(announcement, "unverified_processes")
        else:
            log.notice(
                "announcement {} of {} held: its health answer is negative",
                announcement.sequence,
                announcement.incarnation,
            )

    def accept(self, announcement, outcome):
        """Put a candidate in force, and count the outcome."""
        self.counters[outcome] += 1
        self.put_in_force(announcement, outcome == "verified_processes")

    def record_absent(self):
        """Record that nothing listens at the target's address yet.

        Each process announced from now on has started after this daemon.
        """
        if self.first_incarnation is None:
            self.was_absent = True

    def may_precede_daemon(self, announcement):
        """Whether a target's process may have been running before this daemon.

        It may then have told the daemon's predecessor what it no longer tells.
        A restarted process may keep its incarnation and counts as running.
        """
        return announcement.incarnation == self.first_incarnation

    def renew(self, announcement, sequence):
        """Renew the lease of the announcement in force under a new number.

        The same as `announce` with an announcement that is equal except for
        its sequence number, for callers that know that it is.

        Parameters
        ----------
        announcement : Announcement
            The one that is expected to be in force.
        sequence : int

        Returns
        -------
        Announcement or None
            The one that is in force now; None, with nothing changed, if
            another one was in force or the number is not a newer one.
        """
        if self.current is not announcement:
            return None
        process = announcement.process
        if sequence <= self.sequences.get(process, 0):
            return None
        self.record_sequence(process, sequence)
        self.announcement = announcement.with_sequence(sequence)
        self.lease_expires_at = self.clock() + announcement.lease_ms / 1000
        self.connect_failures = 0
        return self.announcement

    def is_outdated(self, announcement):
        """Return whether an announcement is late, or of another writer.

        An announcement may be delayed for longer than its process lives. If it
        were accepted, it would end the draining of a target, or displace the
        process that has taken over the address, and calls would fail.
        """
        if not announcement.sequence:
            return False
        if self.has_newer_process(announcement) or self.lacks_start(announcement):
            return True
        newest = self.sequences.get(announcement.process, 0)
        if newest == ENDED:
            return True
        # While none is in force, a lower number may be that of the process
        # itself, after another writer has used a higher one under its name.
        is_open = self.verifies and self.current is None
        return announcement.sequence <= newest and not is_open

    def has_newer_process(self, announcement):
        """Whether the process in force states a later start time.

        Sequence numbers start anew with each process, and none is recorded
        here for a process that this daemon has not seen. Then only the start
        times show which process is the older one.
        """
        current = self.current
        if current is None or not announcement.born_ms or not self.is_verified:
            return False
        return announcement.born_ms < current.born_ms

    def lacks_start(self, announcement):
        """Whether another writer uses the name of the process in force.

        A process that states its start time does so in all announcements.
        """
        current = self.current
        if current is None or not current.born_ms or announcement.born_ms:
            return False
        return announcement.incarnation == current.incarnation

    def has_left(self, incarnation):
        """Whether a process of this name is known to have left."""
        return any(
            name == incarnation and newest == ENDED
            for (name, _), newest in self.sequences.items()
        )

    def record_sequence(self, process, sequence):
        """Record a process's highest number; evicts the oldest records."""
        self.sequences[process] = sequence
        self.sequences.move_to_end(process)
        if len(self.sequences) > MAX_PROCESSES:
            self.sequences.popitem(last=False)

    def mark_draining(self, incarnation, born_ms=0):
        """Record that a process takes no new calls and will end soon.

        It finishes the calls that it has, and may make calls itself.

        Parameters
        ----------
        incarnation : str
        born_ms : int
            As announced; 0 stands for the process of that name in force.
        """
        current = self.current
        is_named = current is not None and current.incarnation == incarnation
        if is_named and not born_ms:
            born_ms = current.born_ms
        self.record_sequence((incarnation, born_ms), ENDED)
        for process in self.candidates.named(incarnation, born_ms):
            self.candidates.discard(process)
            self.record_sequence(process, ENDED)
        # A process that started later under the name has replaced this one.
        if not is_named or born_ms < current.born_ms:
            return
        if not current.draining:
            log.notice(
                "target of {} is leaving; sending it no new calls", current.service
            )
            self.announcement = replace(current, born_ms=born_ms, draining=True)
            self.notify()

    def withdraw(self, reason):
        """Remove the target; it gets no calls until it is announced again."""
        if self.announcement is None:
            return
        log.notice("target of {} withdrawn: {}", self.announcement.service, reason)
        self.announcement = None
        self.notify()

    def mark_replaced(self, announcement):
        """Withdraw a target whose address another process has taken over.

        Until the new process announces itself, calls would be addressed to
        the process that has ended, and the new one would refuse them all.
        """
        if self.announcement is announcement:
            self.record_sequence(announcement.process, ENDED)
            self.withdraw("another process answers at its address")

    def record_connected(self):
        """Reset the count of failures after a successful connect."""
        self.connect_failures = 0

    def record_connect_failure(self, announcement):
        """Count a failure to connect; withdraw the target after several.

        A target whose process is killed can't withdraw itself. Its port then
        refuses connections, and all calls would fail here until the lease
        expires.
        """
        if self.announcement is not announcement:
            return
        self.connect_failures += 1
        if self.connect_failures >= MAX_CONNECT_FAILURES:
            self.withdraw("connection attempts failed")

    def notify(self):
        """Call the listeners with the announcement in force."""
        self.changed.set()
        for listener in self.listeners:
            listener(self.announcement)

    async def watch(self):
        """Withdraw the target when its lease expires; runs until cancelled."""
        while True:
            self.changed.clear()
            timeout = None
            if self.current is not None:
                timeout = max(self.lease_expires_at - self.clock(), 0.0)
            # Not `asyncio.wait_for`: in Python 3.11 it drops a cancellation
            # that arrives together with the event, and the daemon never exits.
            try:
                async with asyncio.timeout(timeout):
                    await self.changed.wait()
            except TimeoutError:
                continue
