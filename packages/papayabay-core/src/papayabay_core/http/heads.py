"""The head of a message while a parser reports it piece by piece."""

from functools import cached_property

MAX_HEADER_FIELDS = 256
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class Head:
    """Start line and header fields of one message.

    Parameters
    ----------
    target : bytes
        Of a request.
    fields : list of (bytes, bytes)
        As they came.
    """

    def __init__(self, fields, target=b""):
        self.fields = fields
        self.target = target

    @cached_property
    def first(self):
        """First value of each field, by lower-case name."""
        return {name.lower(): value for name, value in reversed(self.fields)}

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


class HeaderCollector:
    """The part of a parser's protocol that collects header fields.

    Attributes
    ----------
    fields : list of (bytes, bytes)
        Of the head, or the trailer, that is being read.
    in_head : bool
        Whether a head has begun and not ended.
    head_bytes : int
        Bytes of segments that lie wholly within the head.
    """

    fields = ()
    in_head = False
    head_bytes = 0

    def on_message_begin(self):
        """Begin a head."""
        self.fields = []
        self.in_head = True
        self.head_bytes = 0

    def on_header(self, name, value):
        """Take in a field; called for each, so that it does no more.

        Raises
        ------
        ValueError
            For more fields than a message may have.
        """
        self.fields.append((name, value))
        if len(self.fields) > MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")

    def end_head(self):
        """Return the fields of the head; what follows are trailers."""
        fields, self.fields = self.fields, []
        self.in_head = False
        return fields
