"""Splits a byte stream into length-prefixed frames."""

from struct import Struct

from papayabay_core.exceptions import ProtocolError

PREFIX = Struct(">I")
PREFIX_BYTES = PREFIX.size
pack_length = PREFIX.pack
read_length = PREFIX.unpack_from


class FrameDecoder:
    """Splits received bytes into frames, and buffers an incomplete one.

    Parameters
    ----------
    max_bytes : int
        Longest frame that is accepted; the connection raises it once the
        peer is authenticated.

    Attributes
    ----------
    buffer : bytearray
        The start of a frame that is not complete.
    awaited_bytes : int
        Length of the buffer at which more of the frame can be read.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.awaited_bytes = 0

    def split(self, data):
        """Return the frames that received bytes complete, as an iterable.

        To be iterated to its end; see `split_all`.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        ProtocolError
            A length is 0 or above the limit. Without the limit, a corrupted
            length would make the reader wait for up to 4 GiB that never come.
        """
        # Usually the bytes are one whole frame.
        length = len(data) - PREFIX_BYTES
        if (
            0 < length <= self.max_bytes
            and not self.buffer
            and read_length(data)[0] == length
        ):
            return (data[PREFIX_BYTES:],)
        return self.split_all(data)

    def split_all(self, data):
        """Yield the frames that received bytes complete; keep the rest.

        The limit is read for each frame, as a frame of the handshake raises
        it for those that follow in the same bytes.
        """
        if self.buffer:
            self.buffer += data
            if len(self.buffer) < self.awaited_bytes:
                return
            data = bytes(self.buffer)
            self.buffer.clear()
        start, size = 0, len(data)
        awaited = PREFIX_BYTES
        while size - start >= PREFIX_BYTES:
            (length,) = read_length(data, start)
            if not 0 < length <= self.max_bytes:
                raise ProtocolError(f"frame of {length} bytes")
            end = start + PREFIX_BYTES + length
            if end > size:
                awaited = PREFIX_BYTES + length
                break
            yield data[start + PREFIX_BYTES : end]
            start = end
        if start < size:
            self.buffer += data[start:]
            self.awaited_bytes = awaited
