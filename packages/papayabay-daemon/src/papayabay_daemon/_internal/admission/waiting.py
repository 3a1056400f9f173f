"""Queued calls."""

from asyncio import Future
from dataclasses import dataclass

from papayabay_core.calls import Call


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a slot.

    Attributes
    ----------
    call : Call
    future : asyncio.Future
        Its result is the ticket, or the `CallError` that the call ends with.
        The error is not set as an exception: if the caller has left, nothing
        awaits the future, and asyncio would log the exception as never
        retrieved.
    arrived_at : float
        Time of arrival.
    recheck_at : float
        When the scheme next decides whether the call stays queued.
    number : int
        Sequence number of the arrival.
    queued : bool
        Whether it is still queued; queues skip calls that are not.
    start_by : float
        When it needs a slot to be answered when due; see `RankedBySlack`.
    group : int
    sort_value : object
        Its place in a `RequestQueue`, while it is queued there.
    """

    call: Call
    future: Future
    arrived_at: float
    recheck_at: float
    number: int
    queued: bool = False
    start_by: float = 0.0
    group: int = 0
    sort_value: object = None
