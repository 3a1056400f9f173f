"""Heads of HTTP messages, collected from the callbacks of a parser."""

MAX_HEADER_FIELDS = 256
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class Head:
    """Header fields of one answer.

    Parameters
    ----------
    fields : list of (bytes, bytes)
        Names and values in their original order and spelling.

    Attributes
    ----------
    first : dict of bytes to bytes
        The first value of each field, by lower-case name.
    """

    def __init__(self, fields):
        self.fields = fields
        # Not a cached property: its lock costs more than the dictionary, and
        # each answer needs it.
        self.first = {name.lower(): value for name, value in reversed(fields)}

    @property
    def is_framed(self):
        """Whether the head determines where the body ends."""
        return CONTENT_LENGTH in self.first or TRANSFER_ENCODING in self.first


class HeaderCollector:
    """Mixin with the parser callbacks that collect header fields.

    Attributes
    ----------
    fields : list of (bytes, bytes)
        Fields of the current head or trailer.
    in_head : bool
        Whether a head is being parsed.
    head_bytes : int
        Bytes of received segments that contain nothing but the head.
    """

    fields = ()
    in_head = False
    head_bytes = 0

    def on_message_begin(self):
        """Start a head."""
        self.fields = []
        self.in_head = True
        self.head_bytes = 0

    def on_header(self, name, value):
        """Add a field. Called for each field, so it does nothing else.

        Raises
        ------
        ValueError
            When the message has more than `MAX_HEADER_FIELDS`.
        """
        fields = self.fields
        fields.append((name, value))
        if len(fields) > MAX_HEADER_FIELDS:
            raise ValueError("too many header fields")

    def end_head(self):
        """Return the fields of the head; later fields are trailers."""
        fields, self.fields = self.fields, []
        self.in_head = False
        return fields
