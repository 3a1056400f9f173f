"""Which header fields travel on, and which end at this hop."""

from dataclasses import dataclass, field
from functools import lru_cache

CONTROL_PREFIX = "papayabay-"
SERVICE_HEADER = "papayabay-service"
DEADLINE_HEADER = "papayabay-deadline-ms"
CALL_HEADER = "papayabay-call"
IDEMPOTENCY_HEADER = "idempotency-key"
AUTHORIZATION_HEADER = "authorization"
VIA = ("Via", "1.1 papayabay")
UNAUTHORIZED = 401
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

# Expect is answered by the door itself, Host is replaced by the service.
ENDS_HERE = HOP_BY_HOP | {"expect", "host"}

# Two readers of a repeated one could each take another of its values.
SINGLE = frozenset(
    {
        SERVICE_HEADER,
        DEADLINE_HEADER,
        CALL_HEADER,
        IDEMPOTENCY_HEADER,
        AUTHORIZATION_HEADER,
        "host",
    }
)

NOTED = SINGLE | {"content-length"}

# Fields without which a message would be read with another meaning; a
# Connection field that names them is not obeyed.
NEVER_DROPPED = frozenset({"content-length", IDEMPOTENCY_HEADER})

# How header bytes become text and text becomes bytes again: any byte
# survives, UTF-8 or not.
TEXT = ("utf-8", "surrogateescape")

KNOWN_NAMES = 1_024
MAX_KNOWN_NAME_BYTES = 64


@dataclass(frozen=True, slots=True)
class FieldName:
    """A field's name, and what becomes of the field.

    Attributes
    ----------
    text : str
        As it came.
    key : str
        In lower case.
    is_stripped : bool
        Whether the field is left out of what travels on.
    """

    text: str
    key: str
    is_stripped: bool


class HeaderNames:
    """Which fields a message's writer and this hop treat specially.

    Parameters
    ----------
    inspected : frozenset of str
        Lower-case names of fields that this hop reads.
    single : frozenset of str
        Those that must not be repeated.
    is_stripped : callable
        Takes a lower-case name; says whether the field is left out of what
        travels on.
    """

    def __init__(self, inspected, single, is_stripped):
        self.inspected = inspected
        self.single = single
        self.is_stripped = is_stripped
        # Messages repeat the same few names. Long names bypass the cache,
        # which keeps what strangers can put into it small.
        self.classify_known = lru_cache(maxsize=KNOWN_NAMES)(self.classify)

    def classify(self, raw_name):
        """Return a raw name as `FieldName`."""
        text = raw_name.decode(*TEXT)
        key = text.lower()
        return FieldName(text, key, self.is_stripped(key))


def own_field_ends_here(key):
    """Return whether a field is one of this hop's or of papayabay's."""
    return key in ENDS_HERE or key.startswith(CONTROL_PREFIX)


OWN_NAMES = HeaderNames(NOTED, SINGLE, own_field_ends_here)
classify_known = OWN_NAMES.classify_known


@dataclass(slots=True)
class Fields:
    """The header fields of one message.

    Attributes
    ----------
    forwarded : list of (str, str)
        Those that travel on, in order, names and values as they came.
    inspected : dict of str to str
        Those that this hop reads, by lower-case name.
    connection : list of str
        Values of Connection fields.
    """

    forwarded: list[tuple[str, str]] = field(default_factory=list)
    inspected: dict[str, str] = field(default_factory=dict)
    connection: list[str] = field(default_factory=list)


def filter_headers(raw_headers, names=OWN_NAMES):
    """Return a message's header fields, those that end here left out.

    Hop-by-hop fields (RFC 9110, section 7.6.1), those that a Connection
    field names, and every field that daemons set themselves are left out:
    nobody outside may set what daemons tell each other.

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
        For a line break or NUL within a field, which a receiver or a link
        would take for the start of another field, and for a repeated field
        that must stand alone.
    """
    fields = Fields()
    for raw_name, raw_value in raw_headers:
        known = len(raw_name) <= MAX_KNOWN_NAME_BYTES
        name = (names.classify_known if known else names.classify)(raw_name)
        value = raw_value.decode(*TEXT)
        if "\n" in value or "\r" in value or "\0" in value:
            raise ValueError(f"{name.text} has a line break or NUL")
        if name.key in names.inspected:
            if name.key in fields.inspected and name.key in names.single:
                raise ValueError(f"{name.text} is given more than once")
            fields.inspected[name.key] = value
        if not name.is_stripped:
            fields.forwarded.append((name.text, value))
        elif name.key == "connection":
            fields.connection.append(value)
    if fields.connection:
        drop_named(fields)
    return fields


def drop_named(fields):
    """Leave out the fields that a Connection field names."""
    tokens = ",".join(fields.connection).split(",")
    named = {token.strip().lower() for token in tokens} - NEVER_DROPPED
    fields.forwarded = [
        item for item in fields.forwarded if item[0].lower() not in named
    ]


def without_field(headers, name):
    """Return the fields but those of one lower-case name."""
    return [item for item in headers if item[0].lower() != name]


def challenge(status):
    """Return the fields that a 401 must have (RFC 9110, section 15.5.2)."""
    return [BEARER_CHALLENGE] if status == UNAUTHORIZED else []


def declared_length(headers):
    """Return the value of Content-Length, or None without one."""
    for name, value in headers:
        if name.lower() == "content-length":
            return int(value)
    return None
