"""Messages by which daemons request tokens from the owner of a limit."""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.accounts.demand import MAX_USAGE

TOPIC = "limits"

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Slot = Annotated[int, Meta(ge=0, le=255)]
Usage = Annotated[float, Meta(ge=0.0, le=MAX_USAGE)]


class Outcome(IntEnum):
    """Result of a token request.

    ``NOT_OWNER`` says nothing about the limit: the daemon does not own the
    slot, has no settled ring yet after its start, or is leaving.
    """

    GRANTED = 0
    EXHAUSTED = 1
    NOT_OWNER = 2


class TokenRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for tokens of one slot of an account's limit.

    Attributes
    ----------
    account : str
    slot : int
    wanted : int
        Number of tokens; 0 if the request only reports demand.
    max_wait_ms : int
        Longest acceptable wait for the first of them.
    lost : int
        Number of members that the sender knows to be lost.
    demanded : int
        Requests of the account at the sender that it has not reported to any
        owner before; 0 while the policy divides no capacity among accounts.
    """

    account: str
    slot: Slot
    wanted: Annotated[int, Meta(ge=0, le=65_535)]
    max_wait_ms: Annotated[int, Meta(ge=0, le=10_000)] = 0
    lost: Count = 0
    demanded: Count = 0


class TokenReply(msgspec.Struct, array_like=True, frozen=True):
    """An owner's reply to a `TokenRequest`.

    Attributes
    ----------
    outcome : Outcome
    granted : int
        Number of tokens; the owner counts them as spent.
    wait_ms : int
        Time until the tokens may be used; for an exhausted slot, until the
        request should be retried.
    usage : float
        Demand of the slot as a multiple of its limit; 0 if it is unknown.
    others : list of (str, int, float)
        Account, slot and usage of further slots that the owner has.
    """

    outcome: Outcome
    granted: Count = 0
    wait_ms: Count = 0
    usage: Usage = 0.0
    others: list[tuple[str, Slot, Usage]] = []


encode = msgspec.msgpack.Encoder().encode
request_decoder = msgspec.msgpack.Decoder(TokenRequest)
reply_decoder = msgspec.msgpack.Decoder(TokenReply)


def decode_request(payload):
    """Return a `TokenRequest`; raises `ProtocolError`."""
    return decode(request_decoder, payload)


def decode_reply(payload):
    """Return a `TokenReply`; raises `ProtocolError`."""
    return decode(reply_decoder, payload)


def decode(decoder, payload):
    """Return the decoded message; raises `ProtocolError`."""
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"malformed token message: {error}") from None
