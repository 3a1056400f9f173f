"""Baseline without admission control."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

UNLIMITED = 1_000_000


class Open(FifoScheme):
    """Forwards every call to the target at once.

    This is what a plain proxy does: in an overload, calls wait in the
    target's own queue.
    """

    enforces_deadlines = False

    def limit(self, now):
        """Return a limit that is never reached."""
        return UNLIMITED
