"""Static admission: a fixed limit, like a thread pool."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

QUEUE_LENGTH = 100


class Static(FifoScheme):
    """Fixed limit and bounded queue; ignores class and deadline.

    The bulkhead of Nygard's "Release It!", as servlet containers implement
    it: a pool of workers and an accept queue of 100.
    """

    enforces_deadlines = False

    def limit(self, now):
        """Return the policy's limit, or the announced slots if it has none."""
        inputs = self.control.inputs
        return inputs.settings.static_limit or max(1, inputs.slots)

    def capacity(self, now):
        """Return the fixed length of the queue."""
        return QUEUE_LENGTH
