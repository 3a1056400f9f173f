"""Splits a byte stream into length-prefixed frames."""

from papayabay_core.exceptions import ProtocolError

PREFIX_BYTES = 4


def add_length_prefix(payload):
    """Return a frame's bytes with their length prepended."""
    return len(payload).to_bytes(PREFIX_BYTES, "big") + payload


class FrameDecoder:
    """Buffers received bytes and returns complete frames.

    Parameters
    ----------
    max_bytes : int
        Longest frame that is accepted; the connection raises it once the
        peer is authenticated.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data):
        """Add received bytes to the buffer.

        Parameters
        ----------
        data : bytes
        """
        self.buffer += data

    def next_frame(self):
        """Return the next frame, or None until it is complete.

        Raises
        ------
        ProtocolError
            The length is 0 or above the limit. Without the limit, a
            corrupted length would make the reader wait for up to 4 GiB that
            never come.
        """
        buffer = self.buffer
        if len(buffer) < PREFIX_BYTES:
            return None
        length = int.from_bytes(buffer[:PREFIX_BYTES], "big")
        if not 0 < length <= self.max_bytes:
            raise ProtocolError(f"frame of {length} bytes")
        end = PREFIX_BYTES + length
        if len(buffer) < end:
            return None
        frame = bytes(buffer[PREFIX_BYTES:end])
        del buffer[:end]
        return frame
