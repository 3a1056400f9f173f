"""Logs members that are declared dead, and those that return."""

import logbook

from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.table import TOMBSTONES_MAX
from papayabay_daemon._internal.summed_lines import SummedLine

log = logbook.Logger("papayabay.membership")


class DeathLog:
    """Logs deaths and returns, but not members that left in an orderly way.

    Each set of names holds the newest `TOMBSTONES_MAX` names.
    """

    def __init__(self):
        self.died = SummedLine(log.warning, "members declared dead")
        self.came_back = SummedLine(log.notice, "members back")
        self.dead = {}
        self.leaving = {}

    def note(self, member):
        """Process a member whose record has changed."""
        name = member.name
        if member.state is MemberState.DEAD:
            self.note_dead(name)
        elif member.state is MemberState.LEAVING:
            add_bounded(self.leaving, name)
        else:
            self.leaving.pop(name, None)
            if self.dead.pop(name, False):
                self.came_back.add(name)

    def note_dead(self, name):
        """Log a death once, unless the member had announced that it leaves."""
        if self.leaving.pop(name, False) or name in self.dead:
            return
        add_bounded(self.dead, name)
        self.died.add(name)


def add_bounded(names, name):
    """Add a name, and evict the oldest one beyond `TOMBSTONES_MAX`."""
    names[name] = True
    if len(names) > TOMBSTONES_MAX:
        del names[next(iter(names))]
