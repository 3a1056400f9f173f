"""Stretches of time in which faults were on."""

import math
from dataclasses import dataclass

from papayabay_bench.history.records import Fault, Phase


@dataclass(slots=True)
class Interval:
    """A fault from its beginning to its end, which may be missing."""

    kind: str
    subject: str
    start: float
    end: float
    records: list

    def overlaps(self, start, end):
        """Return whether it shares a moment with another stretch."""
        return self.start <= end and start <= self.end


def fault_intervals(history, *kinds):
    """Return the intervals of some kinds of fault, all without any."""
    found, opened = [], {}
    for fault in history.of_type(Fault):
        if kinds and fault.kind not in kinds:
            continue
        key = (fault.kind, fault.subject)
        if fault.phase == Phase.BEGIN.value:
            opened[key] = Interval(*key, fault.time, math.inf, [fault])
            found.append(opened[key])
        elif key in opened:
            interval = opened.pop(key)
            interval.end = fault.time
            interval.records.append(fault)
    return found
