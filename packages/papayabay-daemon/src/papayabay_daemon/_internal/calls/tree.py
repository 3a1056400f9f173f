"""The calls that the target beside this daemon is working on."""

import asyncio
import itertools
import secrets
from dataclasses import dataclass, field

from papayabay_core.calls import Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.retries import CreditAccount, RetryDetector

MOST_BEFORE_S = 0.004
MOST_AFTER_S = 0.012
"""How far the end of a target's call may lie before and after that of the
call it belongs to, seconds: before by two roundings to whole milliseconds,
after by the ways between daemon and target and the turn of a busy loop."""


@dataclass(slots=True)
class LiveCall:
    """A call handed to the target and not ended.

    Attributes
    ----------
    call : Call
    account : CreditAccount
        Holds the retry credits of the call and its subtree.
    repeats : RetryDetector
        Finds the target's own repeats among its outgoing calls.
    children : set of asyncio.Task
        Outgoing calls under way.
    cut : bool
        Whether it ended without its target's answer.
    called : set of str
        Path keys of the services below that it has called.
    refused_below : bool
        Whether one of its outgoing calls ended in a failure.
    """

    call: Call
    account: CreditAccount
    repeats: RetryDetector
    children: set[asyncio.Task] = field(default_factory=set)
    called: set[str] = field(default_factory=set)
    refused_below: bool = False
    cut: bool = False


class CallTree:
    """Live calls by the token that the target was given.

    Attributes
    ----------
    live : dict of str to LiveCall
    tokens : dict of str to str
        Newest token by request id. Where ids are those of whole requests,
        several calls may share one.
    parents_named : bool
        Whether any request has named the call that it was made for.
    """

    def __init__(self):
        self.live = {}
        self.tokens = {}
        self.parents_named = False
        self.numbers = itertools.count(1)
        self.secret = secrets.token_hex(4)

    def begin(self, call):
        """Return a new token and the live call it stands for."""
        token = f"{self.secret}-{next(self.numbers):x}"
        account = CreditAccount(call.credits)
        live = LiveCall(call, account, RetryDetector(account))
        self.live[token] = live
        self.tokens[call.request_id] = token
        return token, live

    def find(self, token):
        """Return the live call of a token.

        Raises
        ------
        CallError
            UNKNOWN_CALL when the call has ended or never was. A target that
            goes on working for a caller who has left is stopped here.
        """
        live = self.live.get(token)
        if live is None:
            raise CallError(ErrorKind.UNKNOWN_CALL)
        return live

    def parent_of(self, parent_id, expires_at):
        """Return the token of the call that a request is made for, or "".

        Equal deadlines may be a coincidence. They are only compared until a
        target has named a parent.

        Parameters
        ----------
        parent_id : str
            What the request seems to name; empty for nothing.
        expires_at : float or None
            End of its life on `clock.now()`.
        """
        token = self.tokens.get(parent_id, "")
        self.parents_named = self.parents_named or bool(token)
        if token or self.parents_named or expires_at is None:
            return token
        return self.expiring_at(expires_at)

    def expiring_at(self, expires_at):
        """Return the token of the call that ends at a time, "" if none does.

        A target gives its own calls what is left of the life of the call
        that they are for. Other requests end at any time, so that two ends
        as near as that are seldom chance.

        Parameters
        ----------
        expires_at : float
            End of the outgoing call's life on `clock.now()`.
        """
        apart = {
            token: expires_at - live.call.expires_at
            for token, live in self.live.items()
        }
        token = min(apart, key=lambda token: abs(apart[token]), default="")
        near = token and -MOST_BEFORE_S <= apart[token] <= MOST_AFTER_S
        return token if near else ""

    def end(self, token, cancelled):
        """Forget a call, cancelling what it still waits for if it was cut.

        Parameters
        ----------
        token : str
        cancelled : bool
            Whether the call ended without the target's answer. Its outgoing
            calls then work for nobody.
        """
        live = self.live.pop(token)
        if self.tokens.get(live.call.request_id) == token:
            del self.tokens[live.call.request_id]
        if not cancelled:
            return
        live.cut = True
        for child in live.children:
            child.cancel()

    async def while_wanted(self, live, running):
        """Return what a call for a live one ends with.

        The end of the live call cancels it. Its target, which may wait for it
        all the same, gets an answer then: a connection closed without one
        would tell it that this daemon failed.

        Raises
        ------
        CallError
            CALLER_LEFT when the live call was cut.
        """
        task = asyncio.current_task()
        live.children.add(task)
        try:
            return await running
        except asyncio.CancelledError:
            # Both may have come together, the target's leaving and the cut.
            # The answer then goes to nobody.
            if not live.cut:
                raise
            task.uncancel()
            raise CallError(ErrorKind.CALLER_LEFT, "the call it was for") from None
        finally:
            live.children.discard(task)
