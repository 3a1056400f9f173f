"""Requests that a server connection answers, and what answers them."""

from typing import Protocol


class Responder(Protocol):
    """Answers the requests of connections; see `doors.protocol.Door`.

    Attributes
    ----------
    stopping : bool
        Whether each connection is closed after its next answer.
    connections : set of ServerConnection
        Open connections.
    """

    stopping: bool
    connections: set

    def respond(self, request):
        """Return an awaitable of the `Answer` to a request; both may raise."""

    def render(self, answer):
        """Return the `DoorResponse` that writes an `Answer`."""

    def refuse(self, error):
        """Return the `DoorResponse` that reports an exception."""


class Exchange:
    """A request to answer, or the error to answer malformed data with.

    Attributes
    ----------
    request : Request or None
        None if the data could not be parsed as a request.
    error : CallError or None
        Why there is no request.
    task : asyncio.Task or None
        None while the exchange is queued.
    turn : asyncio.Future or None
        Done when earlier answers are sent; None unless the answer waits.
    """

    __slots__ = ("error", "request", "task", "turn")

    def __init__(self, request=None, error=None):
        self.request = request
        self.error = error
        self.task = None
        self.turn = None

    @property
    def is_concurrent(self):
        """Whether it may run concurrently with others of its connection."""
        return self.request is not None and self.request.is_concurrent
