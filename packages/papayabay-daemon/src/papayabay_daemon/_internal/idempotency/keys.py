"""Idempotency keys: the callers' own and those bound to a daemon."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.identifiers import new_identifier

MAX_KEY_LENGTH = 200
HOME_PREFIX = "pb1:"
HOME_KEY_FIELDS = 6
HOME_KEY_TTL_SECONDS = 900.0
"""Seconds from minting during which the home knows what became of a key."""
MAC_HEX_DIGITS = 32
INSTANCE_ID_BYTES = 6


@dataclass(frozen=True, slots=True)
class HomeKey:
    """A key that only one process may dispatch.

    Attributes
    ----------
    home : str
        Name of the daemon that minted it.
    instance_id : str
        Identifier of that daemon's process.
    issued_ms : int
        When, on the home's own clock; nobody else reads it.
    """

    home: str
    instance_id: str
    issued_ms: int


class KeyMint:
    """Mints and checks home-bound keys.

    Parameters
    ----------
    secret : str
        The cluster's secret.
    name : str
        This daemon.
    incarnation : int
        Its incarnation at the start. Refuting a suspicion raises the
        incarnation of a process that still remembers its keys, so `life`
        is fixed here, with a random part in case the number comes twice.
    clock : callable
        Returns seconds.
    """

    def __init__(self, secret, name, incarnation, clock):
        self.secret = secret.encode()
        self.name = name
        self.instance_id = f"{incarnation:x}-{secrets.token_hex(INSTANCE_ID_BYTES)}"
        self.clock = clock

    def mint(self):
        """Return a fresh key, good for `HOME_KEY_TTL_SECONDS` seconds."""
        issued = f"{int(self.clock() * 1000):x}"
        text = (
            f"{HOME_PREFIX}{self.name}:{self.instance_id}:{issued}:{new_identifier()}"
        )
        return f"{text}:{self.mac(text)}"

    def parse(self, key):
        """Return the `HomeKey` of a key, or None for a caller's own.

        Raises
        ------
        CallError
            BAD_REQUEST when it has the prefix of a home-bound key but was
            not minted by this cluster.
        """
        if not key.startswith(HOME_PREFIX):
            return None
        text, _, mac = key.rpartition(":")
        fields = text.split(":")
        if not hmac.compare_digest(mac.encode(), self.mac(text).encode()):
            raise CallError(ErrorKind.BAD_REQUEST, "the key was not minted here")
        if len(fields) != HOME_KEY_FIELDS - 1:
            raise CallError(ErrorKind.BAD_REQUEST, "the key is malformed")
        _, home, instance_id, issued, _ = fields
        return HomeKey(home, instance_id, int(issued, 16))

    def mac(self, text):
        """Return the digits that prove a key's text."""
        return hmac.digest(self.secret, text.encode(), "sha256").hex()[:MAC_HEX_DIGITS]

    def is_minted_here(self, key):
        """Return whether this very process minted the key."""
        return key.home == self.name and key.instance_id == self.instance_id


def check_key(key):
    """Raise `CallError` unless the key is present, short and printable."""
    if not key:
        raise CallError(ErrorKind.KEY_MISSING)
    if len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        detail = f"a key is at most {MAX_KEY_LENGTH} printable ASCII characters"
        raise CallError(ErrorKind.BAD_REQUEST, detail)


def call_digest(call):
    """Return the hexadecimal SHA-256 over what makes two calls the same."""
    digest = hashlib.sha256()
    for text in (call.service, call.method, call.path):
        part = text.encode("utf-8", "surrogateescape")
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(call.body.first)
    return digest.hexdigest()
