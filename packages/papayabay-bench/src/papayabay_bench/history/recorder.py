"""Collects the records of a run while it is in progress."""

from papayabay_bench.history.records import Fault, Phase
from papayabay_core.utils.clock import now


class Recorder:
    """Holds the records of one run.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed):
        self.seed = seed
        self.records = []

    def add(self, record):
        """Append a record."""
        self.records.append(record)

    def record_fault_begin(self, kind, subject):
        """Record that a fault begins now."""
        self.add(Fault(kind, subject, Phase.BEGIN.value, now()))

    def record_fault_end(self, kind, subject):
        """Record that a fault ends now."""
        self.add(Fault(kind, subject, Phase.END.value, now()))
