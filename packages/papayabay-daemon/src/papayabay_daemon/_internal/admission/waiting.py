"""A call that waits for a slot."""

from asyncio import Future
from dataclasses import dataclass

from papayabay_core.calls import Call


@dataclass(slots=True, eq=False)
class WaitingCall:
    """One queued call.

    Attributes
    ----------
    call : Call
    future : asyncio.Future
        Gets the ticket, or the `CallError` that the call ends with. The
        error is a result, since an exception that nobody awaits any more
        (its caller left) would be reported as lost by asyncio.
    since : float
        When it arrived.
    until : float
        When its scheme looks whether it waits on.
    number : int
        Grows with each arrival.
    queued : bool
        Whether it is still in line; queues skip those that are not.
    """

    call: Call
    future: Future
    arrived_at: float
    recheck_at: float
    number: int
    queued: bool = False
