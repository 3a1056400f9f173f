"""Reads requests of callers and of the target for the call flow."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_daemon._internal.doors import headers as rules


@dataclass(slots=True)
class IncomingRequest:
    """One request as a door received it.

    Attributes
    ----------
    service, method, path : str
        `path` is in origin form with the query. If `service` is empty, host
        and path select a route.
    headers : list of (str, str)
        End-to-end fields in order, without Host and Papayabay fields.
    body : Body
    idempotency_key : str
        Empty without one.
    deadline_ms : int or None
        Deadline that the caller requests; it can only shorten the lifetime.
    call_token : str
        From the target door only: identifies the call for which the target
        makes this request.
    host : str
        Host field of a request without a service.
    request_id : str
        The caller's identifier of this attempt; empty without one.
    parent_id : str
        Identifier of the request for which the target beside this daemon
        seems to make this one. It comes from the caller and is not verified.
    authorization : str or None
        Value of the Authorization field; None without one.
    account : str
        Name of the client account, once it is authenticated.
    """

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: Body
    idempotency_key: str = ""
    deadline_ms: int | None = None
    call_token: str = ""
    host: str = ""
    request_id: str = ""
    parent_id: str = ""
    authorization: str | None = None
    account: str = ""


class CallerDialect(Protocol):
    """Translates between a platform's header fields and the daemon.

    Attributes
    ----------
    names : HeaderNames
        Which header fields are read and which are stripped.
    reserved_prefix : str
        Prefix of the paths that the daemon itself answers; empty for none.
    """

    names: rules.HeaderNames
    reserved_prefix: str

    def read(self, method: str, path: str, fields: rules.Fields) -> IncomingRequest:
        """Return a request without its body; raises `CallError`."""

    def render_error(
        self,
        error: CallError | Answer,
        request_headers: Iterable[tuple[str, str]] = (),
        effect: Effect | None = None,
    ) -> Answer:
        """Return the answer that reports an error to the caller."""

    def final_header_lines(self, answer: Answer) -> str:
        """Return header lines to add at the end of each answer's head."""


class CallFlow(Protocol):
    """Processes requests; both methods are cancelled if the client leaves."""

    async def handle_request(self, incoming: IncomingRequest) -> Answer:
        """Answer a caller's request; raises `CallError`."""

    async def handle_outgoing(self, incoming: IncomingRequest) -> Answer:
        """Answer an outgoing call of the target; raises `CallError`."""


def bad_request(detail):
    """Return the error of a malformed request."""
    return CallError(ErrorKind.BAD_REQUEST, detail)


def read_headers(request, limits, names):
    """Return a request's header fields as `Fields`.

    Raises
    ------
    CallError
        HEADERS_TOO_LARGE, or BAD_REQUEST.
    """
    raw_headers = request.fields
    # The exact size is computed only where the segments allow an excess. It
    # counts a space after each colon, which the client may have left out.
    if request.max_head_bytes + len(raw_headers) > limits.header_bytes:
        size = sum([len(name) + len(value) + 4 for name, value in raw_headers])
        if size > limits.header_bytes:
            raise CallError(ErrorKind.HEADERS_TOO_LARGE)
    try:
        return rules.filter_headers(raw_headers, names)
    except ValueError as error:
        raise bad_request(str(error)) from None


def read_path(request):
    """Return the origin form of the request target."""
    path = request.raw_path
    if not path.startswith("/"):
        if not path.startswith(("http://", "https://")):
            raise bad_request("the request target must be a path")
        path = "/" + path.partition("://")[2].partition("/")[2]
    if "#" in path or not path.isascii():
        raise bad_request("the request target must be a path")
    return path


def read_incoming(request, limits, dialect):
    """Return a request as `IncomingRequest`, without its body.

    Parameters
    ----------
    request : Request
    limits : LimitSettings
    dialect : CallerDialect

    Returns
    -------
    IncomingRequest

    Raises
    ------
    CallError
        BAD_REQUEST or HEADERS_TOO_LARGE.
    """
    fields = read_headers(request, limits, dialect.names)
    if request.method == "CONNECT":
        raise bad_request("CONNECT is not supported")
    return dialect.read(request.method, read_path(request), fields)


def set_body(incoming, body, length):
    """Set a request's body; `length` is the declared one or None.

    The length of a complete body is computed anew when the request is sent. A
    streamed body keeps its declared length, as it is forwarded unchanged.
    """
    incoming.body = body
    if length is not None and body.rest is None:
        incoming.headers = rules.without_field(incoming.headers, "content-length")
