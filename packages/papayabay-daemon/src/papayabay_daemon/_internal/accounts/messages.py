"""What an entry and the keeper of a limit say to each other."""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.exceptions import ProtocolError

TOPIC = "limits"

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]


class Outcome(IntEnum):
    """How a keeper answers.

    ``NOT_KEPT`` says nothing of the limit: the slot does not fall to the
    daemon asked, or it has just started and relies on nothing yet.
    """

    GRANTED = 0
    EXHAUSTED = 1
    NOT_KEPT = 2


class TokenRequest(msgspec.Struct, array_like=True, frozen=True):
    """A question for tokens of one slot of an account's limit.

    Attributes
    ----------
    account : str
    slot : int
    wanted : int
    max_wait_ms : int
        How long the first of them may be waited for.
    lost : int
        Members that the asking daemon knows to be lost.
    """

    account: str
    slot: Annotated[int, Meta(ge=0, le=255)]
    wanted: Annotated[int, Meta(ge=1, le=65_535)]
    max_wait_ms: Annotated[int, Meta(ge=0, le=10_000)] = 0
    lost: Count = 0


class TokenReply(msgspec.Struct, array_like=True, frozen=True):
    """A keeper's answer.

    Attributes
    ----------
    outcome : Outcome
    granted : int
        Tokens, spent as far as the keeper is concerned.
    wait_ms : int
        When they may be used; for an exhausted slot, when to come back.
    """

    outcome: Outcome
    granted: Count = 0
    wait_ms: Count = 0


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
    """Return the message of a payload; raises `ProtocolError`."""
    try:
        return decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"malformed token message: {error}") from None
