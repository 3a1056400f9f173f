"""The border between admission control and its schemes."""

from typing import Protocol

from papayabay_core.calls import Answer, Call
from papayabay_daemon._internal.admission.waiting import WaitingCall


class Queue(Protocol):
    """A queue of waiting calls."""

    size: int

    def push(self, waiting: WaitingCall) -> None:
        """Put a call in line."""

    def discard(self, waiting: WaitingCall) -> None:
        """Take a call out of the line, wherever it is."""

    def pop(self) -> WaitingCall | None:
        """Take the next call."""


class Scheme(Protocol):
    """One published or own way to decide who gets a slot.

    Attributes
    ----------
    line : Line
    knows_lifetimes : bool
        Whether calls that expired or can't finish are refused.
    """

    queue: Queue
    enforces_deadlines: bool

    def limit(self, now: float) -> int:
        """Return how many calls may run at once."""

    def refuses(self, call: Call, now: float) -> bool:
        """Note an arrival; say whether it is refused for overload."""

    def enter(self, waiting: WaitingCall, now: float) -> None:
        """Queue an arrived call, or refuse it or another for it."""

    def recheck_time(self, call: Call, now: float) -> float:
        """Return when `outwaited` is asked about a call in line."""

    def recheck(self, waiting: WaitingCall, now: float) -> None:
        """Refuse a call in line, or set how much longer it waits."""

    def next_call(self, now: float) -> WaitingCall | None:
        """Take the next call to hand over; may refuse others."""

    def granted(self, waited: float, now: float) -> None:
        """Note that a call got its slot after waiting some seconds."""

    def finished(self, elapsed: float, answer: Answer | None, now: float) -> None:
        """Note that a call ended some seconds after it was handed over."""

    def level(self, now: float) -> int:
        """Return the threshold that callers' daemons may refuse by."""
