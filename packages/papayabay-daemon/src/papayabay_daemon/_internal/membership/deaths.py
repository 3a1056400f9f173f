"""Log lines on members that were declared dead and that came back."""

import logbook

from papayabay_daemon._internal.aggregated_log import AggregatedLog
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.table import TOMBSTONES_MAX

log = logbook.Logger("papayabay.membership")


class DeathLog:
    """Logs deaths and returns; a member that left before hasn't died.

    Each table of names keeps the newest `TOMBSTONES_MAX`.
    """

    def __init__(self):
        self.died = AggregatedLog(log.warning, "members declared dead")
        self.came_back = AggregatedLog(log.notice, "members back")
        self.dead = {}
        self.leaving = {}

    def note(self, member):
        """Take in a member that changed."""
        name = member.name
        if member.state is MemberState.DEAD:
            self.note_dead(name)
        elif member.state is MemberState.LEAVING:
            keep(self.leaving, name)
        else:
            self.leaving.pop(name, None)
            if self.dead.pop(name, False):
                self.came_back.add(name)

    def note_dead(self, name):
        """Log a death once, unless the member had said that it leaves."""
        if self.leaving.pop(name, False) or name in self.dead:
            return
        keep(self.dead, name)
        self.died.add(name)


def keep(names, name):
    """Note a name, in place of the oldest when there are too many."""
    names[name] = True
    if len(names) > TOMBSTONES_MAX:
        del names[next(iter(names))]
