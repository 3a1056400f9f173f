"""The default header fields and error answers between callers and daemons.

A platform adapter can bring another `CallerDialect`.
"""

import json
import math
import re

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import ERROR_ANSWERS, PROBLEM_TYPE, problem_body
from papayabay_daemon._internal.doors import headers as rules
from papayabay_daemon._internal.doors.incoming import IncomingRequest, bad_request

MAX_DEADLINE_MS = 3_600_000
MAX_TOKEN_CHARS = 255
SERVICE_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")
TOKEN_PATTERN = re.compile(r"[\x20-\x7e]{1,255}")
DIGITS_PATTERN = re.compile(r"[0-9]{1,7}")
EFFECT_HEADER = "Papayabay-Effect"
REQUEST_HEADER = "papayabay-request"


class DefaultCallerDialect:
    """The `CallerDialect` with papayabay's own header fields."""

    names = rules.DEFAULT_NAMES
    reserved_prefix = "/.papayabay/"

    def read(self, method, path, fields):
        """Return a request without its body.

        Raises
        ------
        CallError
            BAD_REQUEST.
        """
        control = fields.inspected
        return IncomingRequest(
            service=read_service(control),
            method=method,
            path=path,
            headers=[*fields.forwarded, rules.VIA],
            body=None,
            idempotency_key=read_token(control, rules.IDEMPOTENCY_HEADER),
            deadline_ms=read_deadline(control),
            call_token=read_token(control, rules.CALL_HEADER),
            authorization=control.get(rules.AUTHORIZATION_HEADER),
        )

    def render_error(self, error, request_headers=(), effect=None):
        """Return the answer that reports an error.

        Parameters
        ----------
        error : CallError or Answer
            An answer must have a `kind`; one with a body is returned as is.
        request_headers : iterable of (str, str)
            Fields from which the request's identifier is copied.
        effect : Effect or None
            Replaces the effect of `ERROR_ANSWERS` if less is known.
        """
        if isinstance(error, Answer) and (
            error.body.first or not error.body.is_complete
        ):
            return error
        row = ERROR_ANSWERS[error.kind]
        effect = effect or row.effect
        delay_ms = error.retry_after_ms
        headers = [
            field for field in request_headers if field[0].lower() == REQUEST_HEADER
        ]
        request_id = headers[0][1] if headers else ""
        detail = getattr(error, "detail", "")
        body = problem_body(error.kind, detail, request_id, delay_ms)
        if effect is not row.effect:
            body = json.dumps({**json.loads(body), "effect": effect.value}).encode()
        headers.append(PROBLEM_TYPE)
        headers += rules.challenge(row.status)
        if delay_ms:
            headers.append(("Retry-After", str(math.ceil(delay_ms / 1000))))
            headers.append(("Papayabay-Retry-After-Ms", str(delay_ms)))
        return Answer(
            row.status, headers, Body(body), error.kind, effect, retry_after_ms=delay_ms
        )

    def final_header_lines(self, answer):
        """Return the Via field and the field with the call's effect."""
        name, value = rules.VIA
        return f"{name}: {value}\r\n{EFFECT_HEADER}: {answer.effect.text}\r\n"


def read_service(control):
    """Return the service named by Papayabay-Service, else by Host."""
    service = control.get(rules.SERVICE_HEADER)
    if service is None:
        service = control.get("host", "").partition(".")[0].partition(":")[0]
    if SERVICE_PATTERN.fullmatch(service) is None:
        raise bad_request("neither Papayabay-Service nor Host names a service")
    return service


def read_deadline(control):
    """Return the deadline that the caller requests, milliseconds, or None."""
    text = control.get(rules.DEADLINE_HEADER)
    if text is None:
        return None
    deadline = int(text) if DIGITS_PATTERN.fullmatch(text) else 0
    if not 0 < deadline <= MAX_DEADLINE_MS:
        raise bad_request(
            f"Papayabay-Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}"
        )
    return deadline


def read_token(control, name):
    """Return a field's value of printable ASCII, or "" if it is missing."""
    value = control.get(name)
    if value is None:
        return ""
    if TOKEN_PATTERN.fullmatch(value) is None:
        raise bad_request(
            f"{name} must be 1 to {MAX_TOKEN_CHARS} printable ASCII characters"
        )
    return value
