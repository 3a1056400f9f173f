"""Incarnation numbers, which order all records that a daemon announces.

The upper bits hold the start time of the process in milliseconds of wall
time, the lower ones count its announcements and refutations. So records of a
restarted daemon supersede those of its former process.
"""

import time

CHANGE_BITS = 20


def first_incarnation():
    """Return the incarnation of a process that starts now."""
    return int(time.time() * 1_000) << CHANGE_BITS


def incarnation_above(own, received):
    """Return an incarnation that is higher than both.

    If the clock was set back, a restarted daemon has a lower start time than
    its former process. When an incarnation of that process is received, the
    result lies beyond its whole range of changes, so that the two processes
    never use the same start time.
    """
    if received >> CHANGE_BITS <= own >> CHANGE_BITS:
        return max(own, received) + 1
    return ((received >> CHANGE_BITS) + 1) << CHANGE_BITS
