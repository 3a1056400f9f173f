"""Collects the records of a run as they come."""

from papayabay_bench.history.records import Fault, Phase
from papayabay_core.utils.clock import now


class Recorder:
    """The records of one run so far.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed):
        self.seed = seed
        self.records = []

    def add(self, record):
        """Add a record."""
        self.records.append(record)

    def record_fault_begin(self, kind, subject):
        """Note that a fault begins now."""
        self.add(Fault(kind, subject, Phase.BEGIN.value, now()))

    def record_fault_end(self, kind, subject):
        """Note that a fault ends now."""
        self.add(Fault(kind, subject, Phase.END.value, now()))
