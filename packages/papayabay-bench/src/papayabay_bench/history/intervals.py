"""Finds the time intervals in which faults were active."""

import math
from dataclasses import dataclass

from papayabay_bench.history.records import Fault, Phase


@dataclass(slots=True)
class Interval:
    """The time in which one fault was active.

    Attributes
    ----------
    kind, subject : str
        As in the `Fault` records.
    start, end : float
        On `clock.now()`; the end is infinite when it was not recorded.
    records : list of Fault
        The records of the fault's begin and, if there is one, its end.
    """

    kind: str
    subject: str
    start: float
    end: float
    records: list

    def overlaps(self, start, end):
        """Return whether it overlaps the interval from `start` to `end`."""
        return self.start <= end and start <= self.end


def fault_intervals(history, *kinds):
    """Return the intervals of the given kinds of fault, by default of all."""
    intervals, active = [], {}
    for fault in history.of_type(Fault):
        if kinds and fault.kind not in kinds:
            continue
        key = (fault.kind, fault.subject)
        if fault.phase == Phase.BEGIN.value:
            active[key] = Interval(*key, fault.time, math.inf, [fault])
            intervals.append(active[key])
        elif key in active:
            interval = active.pop(key)
            interval.end = fault.time
            interval.records.append(fault)
    return intervals
