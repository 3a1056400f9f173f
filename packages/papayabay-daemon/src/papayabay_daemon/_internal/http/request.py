"""A request as a server connection parsed it."""

from urllib.parse import parse_qsl, unquote, urlsplit

from papayabay_core.http.heads import CONTENT_LENGTH, TRANSFER_ENCODING
from papayabay_core.http.payload import Payload

CONCURRENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Safe methods (RFC 9110, section 9.2.1), which may run in any order."""
FRAMING_NAME_LENGTHS = frozenset({len(CONTENT_LENGTH), len(TRANSFER_ENCODING)})
"""Lengths of the names that determine whether a body follows. Comparing them
takes less time than a conversion of each name to lower case."""


class Request:
    """One request, whose body may not have been received yet.

    Attributes
    ----------
    connection : ServerConnection
    method : str
    raw_path : str
        The request target as received.
    fields : list of (bytes, bytes)
        Names and values of the header in their original order and spelling.
    max_head_bytes : int
        The head has at most this size, the sum of the segments it came in.
    version : str
        HTTP version, such as ``"1.1"``.
    keep_alive : bool
        Whether the client allows further requests on the connection.
    length : int or None
        The declared length of the body.
    payload : Payload or None
        The body; None if the request has none.
    """

    __slots__ = (
        "connection",
        "fields",
        "keep_alive",
        "length",
        "max_head_bytes",
        "method",
        "payload",
        "raw_path",
        "version",
    )

    def __init__(
        self, connection, fields, target, max_head_bytes, method, version, keep_alive
    ):
        self.connection = connection
        self.method = method
        self.raw_path = target.decode("utf-8", "surrogateescape")
        self.fields = fields
        self.max_head_bytes = max_head_bytes
        self.version = version
        self.keep_alive = keep_alive
        self.length = None
        self.payload = None
        for name, value in fields:
            if len(name) in FRAMING_NAME_LENGTHS:
                self.read_framing(name.lower(), value)

    def read_framing(self, name, value):
        """Read a field that may declare a body; `name` is in lower case."""
        has_body = name == TRANSFER_ENCODING
        if name == CONTENT_LENGTH and self.length is None:
            self.length = int(value)
            has_body = self.length > 0
        if has_body and self.payload is None:
            self.payload = Payload(self.connection)

    @property
    def path(self):
        """The decoded path, without query."""
        return unquote(urlsplit(self.raw_path).path)

    @property
    def query(self):
        """The query as a dict of str."""
        return dict(parse_qsl(urlsplit(self.raw_path).query))

    @property
    def is_read(self):
        """Whether the whole body was read, or there is none."""
        return self.payload is None or self.payload.fully_read

    @property
    def is_concurrent(self):
        """Whether it may run concurrently with others of its connection."""
        return self.payload is None and self.method in CONCURRENT_METHODS

    def header(self, name):
        """Return a field's first value, or ""; `name` is in lower case."""
        for field_name, value in self.fields:
            if field_name.lower() == name:
                return value.decode("utf-8", "surrogateescape")
        return ""
