"""No admission control at all; the baseline."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

UNLIMITED = 1_000_000


class Open(FifoScheme):
    """Hands everything over at once.

    What a plain proxy does; the target's own queue takes the overload.
    """

    enforces_deadlines = False

    def limit(self, now):
        """Return a limit that is never met."""
        return UNLIMITED
