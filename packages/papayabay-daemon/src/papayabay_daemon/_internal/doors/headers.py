"""Decides which header fields are forwarded and which are stripped here."""

import re
from dataclasses import dataclass, field
from typing import NamedTuple

CONTROL_PREFIX = "papayabay-"
SERVICE_HEADER = "papayabay-service"
DEADLINE_HEADER = "papayabay-deadline-ms"
CALL_HEADER = "papayabay-call"
IDEMPOTENCY_HEADER = "idempotency-key"
AUTHORIZATION_HEADER = "authorization"
VIA = ("Via", "1.1 papayabay")
UNAUTHORIZED_STATUS = 401
BEARER_CHALLENGE = ("WWW-Authenticate", "Bearer")

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# The door answers Expect itself; Host is replaced by the service.
STRIPPED_FIELDS = HOP_BY_HOP | {"expect", "host"}

# Fields that must not be repeated: two readers of a message could each use a
# different one of the values.
SINGLE_FIELDS = frozenset(
    {
        SERVICE_HEADER,
        DEADLINE_HEADER,
        CALL_HEADER,
        IDEMPOTENCY_HEADER,
        AUTHORIZATION_HEADER,
        "host",
    }
)

INSPECTED_FIELDS = SINGLE_FIELDS | {"content-length"}

# Fields that change the meaning of a message; they are forwarded even if a
# Connection field names them.
NEVER_DROPPED = frozenset({"content-length", IDEMPOTENCY_HEADER})

# Arguments of `decode` and `encode` for header bytes; they preserve any byte,
# also where it is not valid UTF-8.
HEADER_CODEC = ("utf-8", "surrogateescape")

BREAKS = re.compile(r"[\n\r\0]")
MAX_CACHED_NAMES = 1_024
MAX_CACHED_NAME_BYTES = 64


class FieldName(NamedTuple):
    """A field's name, and what is done with the field.

    Attributes
    ----------
    text : str
        The name as received.
    key : str
        The name in lower case.
    is_stripped : bool
        Whether the field is not forwarded.
    is_inspected : bool
        Whether this hop reads the field.
    """

    text: str
    key: str
    is_stripped: bool
    is_inspected: bool


class HeaderNames:
    """The header fields that get special treatment at this hop.

    Parameters
    ----------
    inspected : frozenset of str
        Lower-case names of fields that this hop reads.
    single : frozenset of str
        Lower-case names of fields that must not be repeated.
    is_stripped : callable
        Takes a lower-case name; returns whether the field is not forwarded.

    Attributes
    ----------
    known : dict of bytes to FieldName
        Cached names, by their bytes.
    """

    def __init__(self, inspected, single, is_stripped):
        self.inspected = inspected
        self.single = single
        self.is_stripped = is_stripped
        # Messages repeat the same few names. Long names are not cached, to
        # limit the memory that clients can make it use.
        self.known = {}

    def classify(self, raw_name):
        """Return a raw name as `FieldName`, and cache it unless it is long."""
        text = raw_name.decode(*HEADER_CODEC)
        key = text.lower()
        name = FieldName(text, key, self.is_stripped(key), key in self.inspected)
        if len(raw_name) <= MAX_CACHED_NAME_BYTES:
            if len(self.known) >= MAX_CACHED_NAMES:
                self.known.clear()
            self.known[raw_name] = name
        return name


def is_stripped_by_default(key):
    """Return whether a field is for this hop only or papayabay's own."""
    return key in STRIPPED_FIELDS or key.startswith(CONTROL_PREFIX)


DEFAULT_NAMES = HeaderNames(INSPECTED_FIELDS, SINGLE_FIELDS, is_stripped_by_default)


@dataclass(slots=True)
class Fields:
    """The header fields of one message.

    Attributes
    ----------
    forwarded : list of (str, str)
        Fields to forward, in order; names and values as received.
    inspected : dict of str to str
        Values of the fields that this hop reads, by lower-case name.
    connection : list of str
        Values of Connection fields.
    """

    forwarded: list[tuple[str, str]] = field(default_factory=list)
    inspected: dict[str, str] = field(default_factory=dict)
    connection: list[str] = field(default_factory=list)


def filter_headers(raw_headers, names=DEFAULT_NAMES):
    """Return a message's header fields, without those to strip.

    Hop-by-hop fields (RFC 9110, section 7.6.1), fields that a Connection
    field names, and all fields that daemons set themselves are stripped.
    Otherwise callers and targets could forge what daemons tell each other.

    Parameters
    ----------
    raw_headers : iterable of (bytes, bytes)
    names : HeaderNames

    Returns
    -------
    Fields

    Raises
    ------
    ValueError
        For a line break or NUL within a value, which a receiver or a link
        would take for the start of another field, and for a repeated field
        that must not be repeated.
    """
    forwarded, inspected, connection = [], {}, []
    known_names = names.known
    for raw_name, raw_value in raw_headers:
        name = known_names.get(raw_name) or names.classify(raw_name)
        text, key, is_stripped, is_inspected = name
        try:
            value = raw_value.decode()
        except UnicodeDecodeError:
            value = raw_value.decode(*HEADER_CODEC)
        # One check for nearly all values; a printable one has no such byte.
        if not value.isprintable() and BREAKS.search(value):
            raise ValueError(f"{text} has a line break or NUL")
        if is_inspected:
            if key in inspected and key in names.single:
                raise ValueError(f"{text} is given more than once")
            inspected[key] = value
        if not is_stripped:
            forwarded.append((text, value))
        elif key == "connection":
            connection.append(value)
    fields = Fields(forwarded, inspected, connection)
    if connection:
        drop_named(fields)
    return fields


def drop_named(fields):
    """Strip the fields that a Connection field names."""
    tokens = ",".join(fields.connection).split(",")
    named = {token.strip().lower() for token in tokens} - NEVER_DROPPED
    fields.forwarded = [
        item for item in fields.forwarded if item[0].lower() not in named
    ]


def without_field(headers, name):
    """Return the fields except those of one name, given in lower case."""
    return [item for item in headers if item[0].lower() != name]


def challenge(status):
    """Return the fields that a 401 requires (RFC 9110, section 15.5.2)."""
    return [BEARER_CHALLENGE] if status == UNAUTHORIZED_STATUS else []


def declared_length(headers):
    """Return the value of Content-Length, or None without one."""
    for name, value in headers:
        if name.lower() == "content-length":
            return int(value)
    return None
