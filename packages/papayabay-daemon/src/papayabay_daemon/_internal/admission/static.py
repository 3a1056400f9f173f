"""A fixed concurrency limit: the thread pool with an accept queue."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

QUEUE_LENGTH = 100


class Static(FifoScheme):
    """Fixed limit, bounded queue, blind to class and lifetime.

    The bulkhead of Nygard's "Release It!" as servlet containers ship it: a
    pool of workers and an accept queue of 100.
    """

    enforces_deadlines = False

    def limit(self, now):
        """Return the policy's limit, else the announced slots."""
        inputs = self.control.inputs
        return inputs.settings.static_limit or max(1, inputs.slots)

    def capacity(self, now):
        """Return the fixed length of the line."""
        return QUEUE_LENGTH
