"""Interface between admission control and its schemes."""

from typing import Protocol

from papayabay_core.calls import Answer, Call
from papayabay_daemon._internal.admission.waiting import WaitingCall


class Queue(Protocol):
    """A queue of waiting calls."""

    size: int

    def push(self, waiting: WaitingCall) -> None:
        """Add a call."""

    def discard(self, waiting: WaitingCall) -> None:
        """Remove a call from any position."""

    def pop(self) -> WaitingCall | None:
        """Remove and return the next call, or None."""


class Scheme(Protocol):
    """Decides which calls get a slot, and which are refused.

    Attributes
    ----------
    queue : Queue
    enforces_deadlines : bool
        Whether calls that have expired or can't finish in time are refused.
    """

    queue: Queue
    enforces_deadlines: bool

    def limit(self, now: float) -> int:
        """Return how many calls may run at once."""

    def refuses(self, call: Call, now: float) -> bool:
        """Record an arrival; return whether to refuse it for overload."""

    def enqueue(self, waiting: WaitingCall, now: float) -> None:
        """Queue a call; may refuse it, or another one in its favour."""

    def recheck_time(self, call: Call, now: float) -> float:
        """Return when `recheck` is to be called for a queued call."""

    def recheck(self, waiting: WaitingCall, now: float) -> None:
        """Refuse a queued call, or set its next `recheck_at`."""

    def next_call(self, now: float) -> WaitingCall | None:
        """Remove and return the next call to run; may refuse others."""

    def granted(self, waited_s: float, now: float) -> None:
        """Record that a call got its slot after waiting some seconds."""

    def finished(self, elapsed: float, answer: Answer | None, now: float) -> None:
        """Record that a call ended some seconds after it got its slot."""

    def level(self, now: float) -> int:
        """Return the threshold by which callers' daemons may refuse early."""
