"""Processor time of other processes, to the microsecond.

Read from the kernel's scheduler, not asked of the process: a question would
cost the daemon a request, and a relay has no status to ask for.
"""

NANOSECONDS_PER_MS = 1_000_000


def processor_ms(process):
    """Return the processor time that a `ManagedProcess` has used.

    The main thread's, in milliseconds; daemons and relays have no other
    that takes part in a call.
    """
    with open(f"/proc/{process.process.pid}/schedstat") as file:
        return int(file.read().split()[0]) / NANOSECONDS_PER_MS
