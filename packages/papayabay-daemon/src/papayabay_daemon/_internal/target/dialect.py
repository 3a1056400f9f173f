"""Translates calls to requests for the target, and classifies its answers."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Protocol

from papayabay_core.calls import SERVER_ERROR, Call
from papayabay_core.settings import TargetSettings
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_daemon._internal.target.health import ProcessHealth

ACCOUNT_FIELD = "Papayabay-Account"
CALL_FIELD = b"papayabay-call"
EFFECT_FIELD = b"papayabay-effect"
RATE_LIMIT_FIELD = b"papayabay-rate-limit"
RATE_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
NOT_RUN = b"not-run"
RETRY_AFTER_MS_FIELD = b"papayabay-retry-after-ms"
KEEP_ALIVE_PATTERN = re.compile(rb"timeout=([0-9]{1,6})")
MAX_DIGITS = 8
"""Retry-After values with this many digits or more are ignored."""
MAX_RETRY_AFTER_S = 3_600
MAX_CACHED_VALUES = 64
MAX_CACHED_BYTES = 64
"""Values of Keep-Alive fields up to this length are cached, the latest
`MAX_CACHED_VALUES` of them: a target sends the same one with each answer."""
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose requests state the length of an empty body too."""


RawFields = Mapping[bytes, bytes]
"""First value of each header field of an answer, by lower-case name."""


class Verdict(Enum):
    """Classification of an answer of the target.

    ``ANSWER`` is forwarded to the caller. After ``SHED``, ``REJECTED``,
    ``REPLACED`` and ``REFUSED_BELOW``, the call was not run.
    ``REJECTED`` is a refusal by a target that reports free slots, so sending
    it fewer calls would not help. ``REPLACED`` comes from another process
    than the announced one. ``REFUSED_BELOW`` passes on the refusal of a call
    that the target made itself. ``UNVERIFIED`` is an answer that may not be
    the target's own; whether the call was run is unknown.
    """

    ANSWER = "answer"
    SHED = "shed"
    REJECTED = "rejected"
    REPLACED = "replaced"
    REFUSED_BELOW = "refused-below"
    UNVERIFIED = "doubtful"


class Attribution(Enum):
    """Which request an answer states that it belongs to.

    ``OWN`` is the request that waits for an answer on the connection,
    ``OTHER`` another one. ``UNSTATED`` is an answer that names no request.
    """

    OWN = "own"
    OTHER = "other"
    UNSTATED = "unstated"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What an answer states about the target itself.

    Attributes
    ----------
    rate_per_s : float or None
        Calls per second that the target accepts from all callers together;
        None without a limit.
    leaving : bool
        Whether the target is leaving, whatever it announces.
    slowdown : float or None
        How many times longer than usual work takes on the target's host at
        the moment; None if the target does not state it.
    rate_is_known : bool
        Whether `rate_per_s` holds. Otherwise the answer has a rate limit that
        can't be read, and the one in effect stays.
    """

    rate_per_s: float | None = None
    leaving: bool = False
    slowdown: float | None = None
    rate_is_known: bool = True


class TargetDialect(Protocol):
    """The protocol spoken with a kind of target.

    Attributes
    ----------
    names : HeaderNames
        Determines the fields of an answer that are not forwarded.
    identifies_processes : bool
        Whether health answers name the process that gives them. A process is
        then verified before it is put in force.
    """

    names: rules.HeaderNames
    identifies_processes: bool

    def request_head(
        self, call: Call, call_token: str, announcement: Announcement
    ) -> bytes:
        """Return the request line and all header fields."""

    def attribute(self, call: Call, call_token: str, fields: RawFields) -> Attribution:
        """Return which request an answer states that it belongs to."""

    def classify(
        self, call: Call, announcement: Announcement, status: int, fields: RawFields
    ) -> Verdict:
        """Return the `Verdict` on the answer to this request."""

    def retry_after_ms(self, fields: RawFields) -> int:
        """Return a refusal's Retry-After in milliseconds; 0 without one."""

    def idle_seconds(self, fields: RawFields) -> float | None:
        """Return the target's idle time-out in seconds; None if not stated."""

    def report(self, fields: RawFields) -> TargetReport | None:
        """Return what an answer states about the target.

        None if it can't be read; then what is known stays in effect.
        """

    def announcement_from_health(
        self, target: TargetSettings, status: int, fields: RawFields
    ) -> Announcement | None:
        """Return the announcement that follows from a health answer.

        None if the target is not healthy, or if the answer lacks details.
        """

    def process_health(self, status: int, fields: RawFields) -> ProcessHealth | None:
        """Return what the answering process states; None if it has no name."""


class DefaultTargetDialect:
    """The `TargetDialect` with papayabay's own header fields."""

    names = rules.DEFAULT_NAMES
    identifies_processes = False

    def request_head(self, call, call_token, announcement):
        """Return a call's request line and header fields as bytes."""
        fields = call_fields(call, call_token)
        return encode_head(call, f"Host: {call.service}\r\n", fields)

    def attribute(self, call, call_token, fields):
        """Return whose token an answer repeats; targets need not do so."""
        repeated = fields.get(CALL_FIELD)
        if repeated is None:
            return Attribution.UNSTATED
        is_own = repeated == call_token.encode()
        return Attribution.OWN if is_own else Attribution.OTHER

    def classify(self, call, announcement, status, fields):
        """Return whether the call was shed, refused below or answered."""
        if status == announcement.shed_status:
            return Verdict.SHED
        if is_refused_below(status, fields):
            return Verdict.REFUSED_BELOW
        return Verdict.ANSWER

    def retry_after_ms(self, fields):
        """Return the answer's Retry-After in milliseconds; 0 without one."""
        return retry_after_ms(fields)

    def idle_seconds(self, fields):
        """Return the time-out in a Keep-Alive field, or None."""
        return keep_alive_seconds(fields)

    def report(self, fields):
        """Return the rate limit that an answer states."""
        return target_report(fields.get(RATE_LIMIT_FIELD))

    def announcement_from_health(self, target, status, fields):
        """Return None: these targets always announce themselves."""
        return None

    def process_health(self, status, fields):
        """Return None: health answers of these targets name no process."""
        return None


def call_fields(call, call_token):
    """Return the header lines that describe a call to the target."""
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
    """Return the header line with a call's account; empty without one."""
    return f"{field}: {call.account}\r\n" if call.account else ""


def remaining_ms(call):
    """Return the milliseconds until the call's deadline; at least 1."""
    left_ms = int((call.expires_at - now()) * 1000)
    return left_ms if left_ms > 1 else 1


def encode_head(call, first_fields, last_fields):
    """Return a call's request line and header fields as bytes.

    Parameters
    ----------
    call : Call
    first_fields, last_fields : str
        Header lines before and after those of the call itself.
    """
    body = call.body
    if body.rest is not None:
        framing = streamed_framing(call)
    elif body.first or call.method in BODY_METHODS:
        framing = f"Content-Length: {len(body.first)}\r\n"
    else:
        framing = ""
    lines = [f"{name}: {value}\r\n" for name, value in call.headers]
    head = (
        f"{call.method} {call.path} HTTP/1.1\r\n{first_fields}"
        f"{''.join(lines)}{last_fields}{framing}\r\n"
    )
    return head.encode(*rules.HEADER_CODEC)


def streamed_framing(call):
    """Return the header line that frames a streamed body, if one is needed."""
    has_length = rules.declared_length(call.headers) is not None
    return "" if has_length else "Transfer-Encoding: chunked\r\n"


def retry_after_ms(fields):
    """Return the Retry-After of an answer in milliseconds; 0 without one."""
    exact = fields.get(RETRY_AFTER_MS_FIELD, b"")
    if exact.isdigit() and len(exact) < MAX_DIGITS:
        return min(int(exact), MAX_RETRY_AFTER_S * 1000)
    seconds = fields.get(b"retry-after", b"")
    if seconds.isdigit() and len(seconds) < MAX_DIGITS:
        return min(int(seconds), MAX_RETRY_AFTER_S) * 1000
    return 0


def keep_alive_seconds(fields):
    """Return the timeout of a Keep-Alive field in seconds, or None."""
    value = fields.get(b"keep-alive")
    if value is None:
        return None
    if len(value) > MAX_CACHED_BYTES:
        return parse_keep_alive.__wrapped__(value)
    return parse_keep_alive(value)


@lru_cache(maxsize=MAX_CACHED_VALUES)
def parse_keep_alive(value):
    """Return the timeout in the value of a Keep-Alive field, or None."""
    match = KEEP_ALIVE_PATTERN.search(value)
    return float(match[1]) if match else None


def target_report(rate=None, leaving=False, slowdown=None):
    """Return the report of an answer; None if it states nothing readable.

    Parameters
    ----------
    rate : bytes or None
        Calls per second as a decimal number; None without a limit.
    leaving : bool
    slowdown : float or None
    """
    if rate is None:
        return TargetReport(None, leaving, slowdown)
    if RATE_PATTERN.fullmatch(rate):
        return TargetReport(float(rate), leaving, slowdown)
    if leaving or slowdown is not None:
        return TargetReport(None, leaving, slowdown, rate_is_known=False)
    return None


def is_refused_below(status, fields):
    """Return whether the target states that nothing was run.

    A target passes on the refusal of a call of its own when it has not done
    anything itself. If that counted as an answer, it would be stored as the
    final answer for the request's idempotency key, and a retry would get the
    same refusal for ever.
    """
    return status >= SERVER_ERROR and fields.get(EFFECT_FIELD) == NOT_RUN
