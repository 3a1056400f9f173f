"""Slot tickets."""


class SlotTicket:
    """The right to forward one call to the target, occupying one slot.

    `started` is a time at the host's usual speed; see `HostSpeed`.
    """

    __slots__ = ("call", "control", "done", "started")

    def __init__(self, control, call, started):
        self.control = control
        self.call = call
        self.started = started
        self.done = False

    def finish(self, answer):
        """Release the slot; `answer` is None if the call was cancelled."""
        if self.done:
            self.control.counters.finished_again += 1
            return
        self.done = True
        self.control.finished(self, answer)
