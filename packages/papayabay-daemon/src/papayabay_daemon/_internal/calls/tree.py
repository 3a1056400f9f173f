"""Calls that the target beside this daemon is running, and their children."""

import asyncio
import itertools
import math
import secrets
from dataclasses import dataclass, field

from papayabay_core.calls import Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.slack import RunSteps, SlackModel
from papayabay_daemon._internal.retries import CreditAccount, RetryDetector

MAX_EARLIER_SECONDS = 0.004
MAX_LATER_SECONDS = 0.012
"""A child call is matched to its parent by expiry if it expires at most this
much earlier or later. Two roundings to whole milliseconds make it earlier;
the latency between daemon and target and a busy event loop make it later."""


@dataclass(slots=True)
class LiveCall:
    """A call that the target is running.

    Attributes
    ----------
    call : Call
    account : CreditAccount
        Retry credits of the call and its subtree.
    detector : RetryDetector or None
        See `retry_detector`; None before the first outgoing call.
    child_tasks : set of asyncio.Task
        Tasks of its outgoing calls in flight.
    called_paths : dict of str to int
        Number of its outgoing calls by path key.
    downstream_failed : bool
        Whether one of its outgoing calls has failed.
    is_cut_off : bool
        Whether it ended without an answer of its target.
    steps : RunSteps or None
        Its outgoing calls, for due times; None before the first one.
    """

    call: Call
    account: CreditAccount
    detector: RetryDetector | None = None
    child_tasks: set[asyncio.Task] = field(default_factory=set)
    called_paths: dict[str, int] = field(default_factory=dict)
    downstream_failed: bool = False
    is_cut_off: bool = False
    steps: RunSteps | None = None

    @property
    def retry_detector(self):
        """Charges the account for outgoing calls that the target repeats."""
        if self.detector is None:
            self.detector = RetryDetector(self.account)
        return self.detector

    def count_call(self, path_key):
        """Count an outgoing call to a path."""
        self.called_paths[path_key] = self.called_paths.get(path_key, 0) + 1


class CallTree:
    """Live calls by the token that was sent to the target.

    Attributes
    ----------
    live : dict of str to LiveCall
    tokens : dict of str to str
        Newest token by request id. Several calls may share an id, if all
        calls of a request carry the same one.
    parents_named : bool
        Whether any outgoing call has named its parent call so far.
    slack : SlackModel
        Due times of outgoing calls.
    run_counts : RunCounts
        Counts of the runs that have ended, and of their outgoing calls.
    """

    def __init__(self, run_counts=None):
        self.run_counts = run_counts or RunCounts()
        self.live = {}
        self.tokens = {}
        self.parents_named = False
        self.slack = SlackModel()
        self.numbers = itertools.count(1)
        self.secret = secrets.token_hex(4)

    def begin(self, call):
        """Register a call; return its new token and the live call."""
        token = f"{self.secret}-{next(self.numbers):x}"
        live = self.live[token] = LiveCall(call, CreditAccount(call.credits))
        self.tokens[call.request_id] = token
        return token, live

    def find(self, token):
        """Return the live call of a token.

        Raises
        ------
        CallError
            UNKNOWN_CALL if there is no such call or it has ended. This stops
            a target that goes on working for a caller that has left.
        """
        live = self.live.get(token)
        if live is None:
            raise CallError(ErrorKind.UNKNOWN_CALL)
        return live

    def parent_of(self, parent_id, expires_at):
        """Return the token of an outgoing call's parent, or "".

        Calls are matched by expiry only until a target has named a parent, as
        the expiry of two unrelated calls may coincide.

        Parameters
        ----------
        parent_id : str
            Request id of the parent as the call names it; may be empty.
        expires_at : float or None
            Time on `clock.now()` at which the outgoing call expires.
        """
        token = self.tokens.get(parent_id, "")
        self.parents_named = self.parents_named or bool(token)
        if token or self.parents_named or expires_at is None:
            return token
        return self.find_by_expiry(expires_at)

    def find_by_expiry(self, expires_at):
        """Return the token of the live call that expires at a time, or "".

        A target propagates the remaining lifetime of the call that it runs to
        its outgoing calls, so these expire at the same time. Other requests
        expire at any time and seldom come as close by chance.

        Parameters
        ----------
        expires_at : float
            Time on `clock.now()` at which the outgoing call expires.
        """
        offsets = [expires_at - live.call.expires_at for live in self.live.values()]
        nearest = min(offsets, key=abs, default=math.inf)
        if not -MAX_EARLIER_SECONDS <= nearest <= MAX_LATER_SECONDS:
            return ""
        return list(self.live)[offsets.index(nearest)]

    def end(self, token, cancelled):
        """Remove a call, and cancel its outgoing calls if it was cut off.

        Parameters
        ----------
        token : str
        cancelled : bool
            Whether the call ended without the target's answer. The results of
            its outgoing calls are then no longer needed.
        """
        live = self.live.pop(token)
        if self.tokens.get(live.call.request_id) == token:
            del self.tokens[live.call.request_id]
        if not cancelled:
            return
        live.is_cut_off = True
        for child in live.child_tasks:
            child.cancel()

    async def run_while_live(self, live, running):
        """Await an outgoing call of a live one and return its result.

        The call is cancelled if the live call is cut off. The target may
        still be waiting for it and then gets an answer: it would take a
        connection closed without one for a failure of this daemon.

        Parameters
        ----------
        live : LiveCall
        running : awaitable
            The outgoing call.

        Raises
        ------
        CallError
            CALLER_LEFT if the live call was cut off.
        """
        task = asyncio.current_task()
        live.child_tasks.add(task)
        try:
            return await running
        except asyncio.CancelledError:
            # The target may have disconnected at the same time. Nobody then
            # receives the answer for the error raised here.
            if not live.is_cut_off:
                raise
            task.uncancel()
            raise CallError(ErrorKind.CALLER_LEFT, "the call it was for") from None
        finally:
            live.child_tasks.discard(task)
