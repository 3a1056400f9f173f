"""A request as a door's connection parsed it."""

from urllib.parse import parse_qsl, unquote, urlsplit

from papayabay_core.http.payload import Payload

CONCURRENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Safe methods (RFC 9110, section 9.2.1): their order makes no difference."""


class Request:
    """One request; its body may still be on the way.

    Attributes
    ----------
    connection : ServerConnection
    method, raw_path : str
        The request target as it came.
    head : Head
    version : str
        Of HTTP, such as ``"1.1"``.
    keep_alive : bool
        Whether its client keeps the connection.
    payload : Payload or None
        None without a body.
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
        """Whether nothing of it is left to be read."""
        return self.payload is None or self.payload.fully_read

    @property
    def is_concurrent(self):
        """Whether it may run beside others of its connection."""
        return self.payload is None and self.method in CONCURRENT_METHODS

    def header(self, name):
        """Return the first value of a field by its lower-case name, or ""."""
        return self.head.first.get(name, b"").decode("utf-8", "surrogateescape")
