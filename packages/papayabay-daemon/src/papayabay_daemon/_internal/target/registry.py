"""Which target stands beside this daemon now."""

import asyncio
from collections import OrderedDict
from dataclasses import replace

import logbook

from papayabay_core.utils.clock import now

log = logbook.Logger("papayabay.target")

MAX_CONNECT_FAILURES = 3
GONE = float("inf")
"""Number above all that a process can give its announcements."""
INCARNATIONS_KEPT = 64
"""Former processes at this VM whose late announcements are known as such."""


class TargetRegistry:
    """Keeps the target's announcement while its lease holds.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    listeners : list of callable
        Called with the new `Announcement`, or None, at each change.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.listeners = []
        self.announcement = None
        self.lease_until = 0.0
        self.connect_failures = 0
        self.sequences = OrderedDict()
        self.changed = asyncio.Event()

    @property
    def current(self):
        """The announcement in force, or None."""
        if self.announcement is not None and self.clock() >= self.lease_until:
            self.withdraw("its lease ended")
        return self.announcement

    def announce(self, announcement):
        """Take an announcement, or the repetition of one.

        Returns
        -------
        bool
            False for one that was overtaken by a later one of the same
            process, or that comes after that process said it has gone.
        """
        if self.is_late(announcement):
            log.info(
                "late announcement {} of {} ignored",
                announcement.sequence,
                announcement.incarnation,
            )
            return False
        moment = self.clock()
        previous = self.current
        if previous is not None and previous.process != announcement.process:
            # One address has one process, so that the former one has ended;
            # what it sent before may still come.
            self.remember(previous.process, GONE)
        known = previous is not None and previous.same_process(announcement)
        announcement.announced_at = previous.announced_at if known else moment
        if known:
            announcement.cold_start_ms = previous.cold_start_ms
        self.lease_until = moment + announcement.lease_ms / 1000
        self.connect_failures = 0
        changed = previous is None or not previous.says_the_same(announcement)
        self.announcement = announcement
        if not changed:
            return True
        if known and announcement.draining and not previous.draining:
            log.notice("target of {} drains", announcement.service)
        if not known:
            log.notice(
                "target of {} announced at {}:{}",
                announcement.service,
                announcement.host,
                announcement.port,
            )
        self.notify()
        return True

    def is_late(self, announcement):
        """Note an announcement's number; return whether it was overtaken.

        An announcement may be held up on its way for longer than the
        process lives that sent it. Taken for news, it would put a draining
        target back to work, or one that has gone in its successor's place;
        one would see calls fail that another target was there for.
        """
        if not announcement.sequence:
            return False
        if self.is_succeeded(announcement):
            return True
        newest = self.sequences.get(announcement.process, 0)
        if announcement.sequence <= newest:
            return True
        self.remember(announcement.process, announcement.sequence)
        return False

    def is_succeeded(self, announcement):
        """Whether a process started later, by its word, is in force.

        Numbers begin anew with each process, and one that this daemon never
        heard of has none here: only the starts tell that it is the former.
        """
        current = self.current
        if current is None or not announcement.born_ms:
            return False
        return announcement.born_ms < current.born_ms

    def remember(self, process, sequence):
        """Keep the newest number of a process; the oldest go."""
        self.sequences[process] = sequence
        self.sequences.move_to_end(process)
        if len(self.sequences) > INCARNATIONS_KEPT:
            self.sequences.popitem(last=False)

    def mark_draining(self, incarnation, born_ms=0):
        """Take in that a process takes no new calls, and ends soon.

        It goes on with the calls that it has, and makes calls of its own.

        Parameters
        ----------
        incarnation : str
        born_ms : int
            As announced; 0 stands for the process of that name in force.
        """
        current = self.current
        is_current = current is not None and current.incarnation == incarnation
        if is_current and not born_ms:
            born_ms = current.born_ms
        self.remember((incarnation, born_ms), GONE)
        if not is_current or current.born_ms != born_ms:
            return
        if not current.draining:
            log.notice("target of {} has gone", current.service)
            self.announcement = replace(current, draining=True)
            self.notify()

    def withdraw(self, reason):
        """Forget the target; nothing is handed over until it announces."""
        if self.announcement is None:
            return
        log.notice("target of {} withdrawn: {}", self.announcement.service, reason)
        self.announcement = None
        self.notify()

    def mark_replaced(self, announcement):
        """Note that another process answered at the target's address.

        Until that one announces itself, each call would go there, named for
        a process that has ended, and be refused.
        """
        if self.announcement is announcement:
            self.remember(announcement.process, GONE)
            self.withdraw("another process answers at its address")

    def connected(self):
        """Note that the target took a connection."""
        self.connect_failures = 0

    def connect_failed(self, announcement):
        """Note a failure to connect.

        A target whose process dies can't withdraw. Its port then refuses
        each connection, and without this rule every call that comes would
        fail here until the lease ends.
        """
        if self.announcement is not announcement:
            return
        self.connect_failures += 1
        if self.connect_failures >= MAX_CONNECT_FAILURES:
            self.withdraw("it refuses connections")

    def notify(self):
        """Tell the listeners."""
        self.changed.set()
        for listener in self.listeners:
            listener(self.announcement)

    async def watch(self):
        """Withdraw the target when its lease ends; runs until cancelled."""
        while True:
            self.changed.clear()
            pause = None
            if self.current is not None:
                pause = max(self.lease_until - self.clock(), 0.0)
            # Not by `asyncio.wait_for`: in Python 3.11 it drops a cancellation
            # that comes together with the event, and the daemon never ends.
            try:
                async with asyncio.timeout(pause):
                    await self.changed.wait()
            except TimeoutError:
                continue
