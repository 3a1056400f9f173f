"""The head of a message while a parser reports it piece by piece."""

MAX_HEADER_FIELDS = 256
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class Head:
    """Start line and header fields of one message.

    Attributes
    ----------
    target : bytes
        Of a request.
    fields : list of (bytes, bytes)
        As they came.
    first : dict of bytes to bytes
        First value of each field, by lower-case name.
    """

    __slots__ = ("fields", "first", "target")

    def __init__(self):
        self.target = b""
        self.fields = []
        self.first = {}

    def add(self, name, value):
        """Take in one field.

        Raises
        ------
        ValueError
            For more fields than a message may have.
        """
        self.fields.append((name, value))
        self.first.setdefault(name.lower(), value)
        if len(self.fields) > MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")

    @property
    def length(self):
        """The length that is said of the body, or None."""
        value = self.first.get(CONTENT_LENGTH)
        return None if value is None else int(value)

    @property
    def is_framed(self):
        """Whether it says where the body ends."""
        return CONTENT_LENGTH in self.first or TRANSFER_ENCODING in self.first

    @property
    def has_body(self):
        """Whether a request with this head has a body."""
        return TRANSFER_ENCODING in self.first or bool(self.length)
