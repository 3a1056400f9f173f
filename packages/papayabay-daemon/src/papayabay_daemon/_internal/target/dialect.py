"""How a daemon talks to its target, and how it takes what comes back."""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from papayabay_core.calls import SERVER_ERROR, Call
from papayabay_core.settings import TargetSettings
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.target.announcement import Announcement

ACCOUNT_FIELD = "Papayabay-Account"
EFFECT_FIELD = b"papayabay-effect"
NOT_RUN = b"not-run"
RETRY_AFTER_MS_FIELD = b"papayabay-retry-after-ms"
KEEP_ALIVE_PATTERN = re.compile(rb"timeout=([0-9]{1,6})")
MAX_DIGITS = 8
MAX_RETRY_AFTER_S = 3_600


RawFields = Mapping[bytes, bytes]
"""First value of each header field of an answer, by lower-case name."""


class Verdict(Enum):
    """What an answer of the target is worth.

    ``ANSWER`` goes to the caller as it is. ``SHED``, ``REJECTED`` and
    ``REFUSED_BELOW`` promise that the call was not run; ``REJECTED`` comes
    from a target that says it has slots free, so that handing over fewer
    calls would not help, and ``REPLACED`` from another process than the one
    that is announced. After ``UNVERIFIED`` nobody knows.
    """

    ANSWER = "answer"
    SHED = "shed"
    REJECTED = "rejected"
    REPLACED = "replaced"
    REFUSED_BELOW = "refused-below"
    UNVERIFIED = "doubtful"


class TargetDialect(Protocol):
    """How a call is put to the target, and its answer judged.

    Attributes
    ----------
    names : HeaderNames
        Which fields of an answer end here.
    """

    names: rules.HeaderNames

    def request_head(
        self, call: Call, call_token: str, announcement: Announcement
    ) -> bytes:
        """Return the request line and all header fields."""

    def is_stray(self, call: Call, fields: RawFields) -> bool:
        """Return whether an answer is known to belong to another request."""

    def classify(
        self, call: Call, announcement: Announcement, status: int, fields: RawFields
    ) -> Verdict:
        """Return what the answer to this request is worth."""

    def retry_after_ms(self, fields: RawFields) -> int:
        """Return when a refusal says to come back, milliseconds; 0 without."""

    def idle_seconds(self, fields: RawFields) -> float | None:
        """Return how long the target keeps an idle connection, if it says."""

    def announcement_from_health(
        self, target: TargetSettings, status: int, fields: RawFields
    ) -> Announcement | None:
        """Return what the answer to a question for health amounts to.

        None when the target is not well, or doesn't say enough of itself.
        """


class OwnTargetDialect:
    """The `TargetDialect` of papayabay's own header fields."""

    names = rules.OWN_NAMES

    def request_head(self, call, call_token, announcement):
        """Return a call's request line and header fields as bytes."""
        fields = own_fields(call, call_token)
        return encode_head(call, f"Host: {call.service}\r\n", fields)

    def is_stray(self, call, fields):
        """Return False: these targets don't say whom they answer."""
        return False

    def classify(self, call, announcement, status, fields):
        """Return whether the target shed the call, or answered it."""
        if status == announcement.shed_status:
            return Verdict.SHED
        if ran_nothing(status, fields):
            return Verdict.REFUSED_BELOW
        return Verdict.ANSWER

    def retry_after_ms(self, fields):
        """Return when the target says to come back."""
        return retry_after_ms(fields)

    def idle_seconds(self, fields):
        """Return what a Keep-Alive field says."""
        return keep_alive_seconds(fields)

    def announcement_from_health(self, target, status, fields):
        """Return None: these targets only announce themselves."""
        return None


def own_fields(call, call_token):
    """Return the fields by which a target learns of its call."""
    return (
        f"Papayabay-Call: {call_token}\r\n"
        f"Papayabay-Request: {call.request_id}\r\n"
        f"Papayabay-Remaining-Ms: {remaining_ms(call)}\r\n"
        f"Papayabay-Importance: {int(call.importance)}\r\n"
        f"Papayabay-Rank: {call.rank}\r\n"
        f"Papayabay-Credits: {call.credits}\r\n"
        f"Papayabay-Depth: {call.depth}\r\n"
        f"{account_line(ACCOUNT_FIELD, call)}"
    )


def account_line(field, call):
    """Return the header line that names a call's account, if it has one."""
    return f"{field}: {call.account}\r\n" if call.account else ""


def remaining_ms(call):
    """Return the life left in whole milliseconds; at least 1."""
    return max(int(call.remaining() * 1000), 1)


def encode_head(call, first_fields, last_fields):
    """Return a call's request line and header fields as bytes.

    Parameters
    ----------
    call : Call
    first_fields, last_fields : str
        Header lines before and after those that came with the call.
    """
    lines = [f"{call.method} {call.path} HTTP/1.1\r\n", first_fields]
    lines += [f"{name}: {value}\r\n" for name, value in call.headers]
    lines += [last_fields, request_framing(call), "\r\n"]
    return "".join(lines).encode(*rules.TEXT)


def request_framing(call):
    """Return the header line that tells where the body ends."""
    if not call.body.is_complete:
        sized = rules.declared_length(call.headers) is not None
        return "" if sized else "Transfer-Encoding: chunked\r\n"
    size = len(call.body.first)
    if size or call.method in ("POST", "PUT", "PATCH"):
        return f"Content-Length: {size}\r\n"
    return ""


def retry_after_ms(fields):
    """Return when the target says to come back, milliseconds; 0 without."""
    exact = fields.get(RETRY_AFTER_MS_FIELD, b"")
    if exact.isdigit() and len(exact) < MAX_DIGITS:
        return min(int(exact), MAX_RETRY_AFTER_S * 1000)
    seconds = fields.get(b"retry-after", b"")
    if seconds.isdigit() and len(seconds) < MAX_DIGITS:
        return min(int(seconds), MAX_RETRY_AFTER_S) * 1000
    return 0


def keep_alive_seconds(fields):
    """Return the timeout of a Keep-Alive field in seconds, or None."""
    found = KEEP_ALIVE_PATTERN.search(fields.get(b"keep-alive", b""))
    return float(found[1]) if found else None


def ran_nothing(status, fields):
    """Return whether the target says that it ran nothing.

    A target whose own call was refused before it did anything itself may
    pass that on. Taken for a target's answer, the refusal would be kept as
    the final answer of the request's key, and repeating could never help.
    """
    return status >= SERVER_ERROR and fields.get(EFFECT_FIELD) == NOT_RUN
