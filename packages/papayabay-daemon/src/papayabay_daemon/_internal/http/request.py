"""A request as a server connection parsed it."""

from urllib.parse import parse_qsl, unquote, urlsplit

from papayabay_core.http.payload import Payload

CONCURRENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Safe methods (RFC 9110, section 9.2.1), which may run in any order."""


class Request:
    """One request, whose body may not have been received yet.

    Attributes
    ----------
    connection : ServerConnection
    method : str
    raw_path : str
        The request target as received.
    head : Head
    version : str
        HTTP version, such as ``"1.1"``.
    keep_alive : bool
        Whether the client allows further requests on the connection.
    payload : Payload or None
        The body; None if the request has none.
    """

    __slots__ = (
        "connection",
        "head",
        "keep_alive",
        "method",
        "payload",
        "raw_path",
        "version",
    )

    def __init__(self, connection, head, method, version, keep_alive):
        self.connection = connection
        self.method = method
        self.raw_path = head.target.decode("utf-8", "surrogateescape")
        self.head = head
        self.version = version
        self.keep_alive = keep_alive
        self.payload = Payload(connection) if head.has_body else None

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
        return self.head.first.get(name, b"").decode("utf-8", "surrogateescape")
