"""Counters of the slot time that runs took, and of what was lost of it."""

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.importance import Importance


class WorkCounters:
    """Slot time since the start of the daemon, by importance class.

    The class is the one that the policy gives. Slot time is lost if the
    target's answer is a failure, or if the request was given up meanwhile.
    """

    def __init__(self):
        self.run_s = [0.0] * len(Importance)
        self.lost_s = [0.0] * len(Importance)

    def record(self, call, elapsed, answer):
        """Count one ended run.

        Parameters
        ----------
        call : Call
        elapsed : float
            Seconds for which the call occupied its slot.
        answer : Answer or None
            None if the call was cancelled.
        """
        importance = call.policy_class
        self.run_s[importance] += elapsed
        if answer is None or answer.kind is not None or answer.status >= SERVER_ERROR:
            self.lost_s[importance] += elapsed

    def plain(self):
        """Return the slot time as JSON values, in milliseconds by class."""
        return {
            "run_ms": milliseconds_by_class(self.run_s),
            "lost_ms": milliseconds_by_class(self.lost_s),
        }


def milliseconds_by_class(seconds):
    """Return seconds in whole milliseconds, by the class's name."""
    return {
        importance.name.lower(): round(seconds[importance] * 1_000)
        for importance in Importance
    }


def no_work(path_key, service_ms, level, now):
    """Return no work: nothing is scarce."""
    return {}
