"""Mutual authentication of the two ends of a link.

Each end sends a nonce in its hello and then, as proof, an HMAC keyed with the
cluster's secret over both hellos and its own role. The role is included
because an attacker without the secret could otherwise reflect an end's proof
back to it.
"""

import hmac
import secrets
from dataclasses import dataclass

from papayabay_core.exceptions import ProtocolError
from papayabay_core.wire import PROTOCOL_VERSION
from papayabay_daemon._internal.links.codec import new_frame

NONCE_BYTES = 16
DIALLER = b"dialler"
LISTENER = b"listener"


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of each end, by which it introduces itself.

    Attributes
    ----------
    protocol : int
        Version of the link protocol.
    cluster, daemon : str
        Name of the cluster and of the daemon.
    incarnation : int
    nonce : bytes
    """

    protocol: int
    cluster: str
    daemon: str
    incarnation: int
    nonce: bytes

    def signed_bytes(self):
        """Return the fields in an unambiguous encoding, for the HMAC."""
        fields = (
            str(self.protocol).encode(),
            self.cluster.encode(),
            self.daemon.encode(),
            str(self.incarnation).encode(),
            self.nonce,
        )
        return b"".join(len(field).to_bytes(4, "big") + field for field in fields)


def decode_hello(message):
    """Return the hello of a message."""
    return Hello(
        message.protocol,
        message.cluster,
        message.daemon,
        message.incarnation,
        message.nonce,
    )


def encode_hello(hello):
    """Return a hello's frame."""
    frame = new_frame()
    message = frame.init("hello")
    message.protocol = hello.protocol
    message.cluster = hello.cluster
    message.daemon = hello.daemon
    message.incarnation = hello.incarnation
    message.nonce = hello.nonce
    return frame.to_bytes()


class Handshake:
    """State of the handshake at one end.

    Parameters
    ----------
    cluster : ClusterSettings
    local : Member
    expected : str or None
        Name of the daemon that was dialled; None when it dialled us.
    """

    def __init__(self, cluster, local, expected):
        self.secret = cluster.secret.encode()
        self.expected = expected
        self.local_hello = Hello(
            PROTOCOL_VERSION,
            cluster.name,
            local.name,
            local.incarnation,
            secrets.token_bytes(NONCE_BYTES),
        )
        self.peer = None

    def accept_hello(self, hello):
        """Check the peer's hello and return the proof to send.

        Raises
        ------
        ProtocolError
        """
        if self.peer is not None:
            raise ProtocolError("the peer sent a second hello")
        if hello.protocol != self.local_hello.protocol:
            raise ProtocolError(
                f"the peer speaks protocol version {hello.protocol},"
                f" this daemon {self.local_hello.protocol}"
            )
        if hello.cluster != self.local_hello.cluster:
            raise ProtocolError(
                f"the peer belongs to cluster {hello.cluster[:63]!r},"
                f" this daemon to {self.local_hello.cluster!r}"
            )
        if not 0 < len(hello.daemon) <= 63 or len(hello.nonce) != NONCE_BYTES:
            raise ProtocolError(
                f"malformed hello: daemon name of {len(hello.daemon)} characters"
                f" (1 to 63 allowed), nonce of {len(hello.nonce)} bytes"
                f" ({NONCE_BYTES} expected)"
            )
        if self.expected not in (None, hello.daemon):
            raise ProtocolError(
                f"the peer is {hello.daemon!r}, expected {self.expected!r}"
            )
        self.peer = hello
        role = LISTENER if self.expected is None else DIALLER
        return self.proof(role, self.local_hello, hello)

    def accept_proof(self, proof):
        """Check the peer's proof; raises `ProtocolError`."""
        if self.peer is None:
            raise ProtocolError("the peer sent its proof before its hello")
        role = DIALLER if self.expected is None else LISTENER
        expected = self.proof(role, self.peer, self.local_hello)
        if not hmac.compare_digest(expected, proof):
            raise ProtocolError("the peer's proof of the cluster secret is wrong")

    def proof(self, role, sender, receiver):
        """Return the proof that one end sends to the other."""
        text = role + sender.signed_bytes() + receiver.signed_bytes()
        return hmac.digest(self.secret, text, "sha256")
