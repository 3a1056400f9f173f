"""Idempotency keys: chosen by callers, or issued by and bound to a daemon."""

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
"""Time after issue during which the home daemon knows a key's outcome."""
MAC_HEX_DIGITS = 32
INSTANCE_ID_BYTES = 6


@dataclass(frozen=True, slots=True)
class HomeKey:
    """A home-bound key: only the process that issued it may run its call.

    Attributes
    ----------
    home : str
        Name of the daemon that issued it.
    instance_id : str
        Identifier of that daemon's process.
    issued_ms : int
        Time of issue in milliseconds on the home's clock; other daemons must
        not compare it with theirs.
    """

    home: str
    instance_id: str
    issued_ms: int


class KeyMint:
    """Issues and verifies home-bound keys.

    Parameters
    ----------
    secret : str
        The cluster's secret, which authenticates the keys.
    name : str
        Name of this daemon.
    incarnation : int
        Incarnation of this daemon at its start.
    clock : callable
        Returns seconds.

    Attributes
    ----------
    instance_id : str
        Identifies this process. It does not follow the current incarnation:
        a process that refutes a suspicion raises that number, but still
        remembers its keys. The random part tells processes apart that
        started with the same incarnation.
    """

    def __init__(self, secret, name, incarnation, clock):
        self.secret = secret.encode()
        self.name = name
        self.instance_id = f"{incarnation:x}-{secrets.token_hex(INSTANCE_ID_BYTES)}"
        self.clock = clock

    def mint(self):
        """Return a new key, valid for `HOME_KEY_TTL_SECONDS`."""
        issued = f"{int(self.clock() * 1000):x}"
        text = (
            f"{HOME_PREFIX}{self.name}:{self.instance_id}:{issued}:{new_identifier()}"
        )
        return f"{text}:{self.mac(text)}"

    def parse(self, key):
        """Return the `HomeKey` of a key, or None for a caller-chosen key.

        Raises
        ------
        CallError
            BAD_REQUEST if the key has the prefix of a home-bound key but was
            not issued by a daemon of this cluster.
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
        """Return the message authentication code of a key's text."""
        return hmac.digest(self.secret, text.encode(), "sha256").hex()[:MAC_HEX_DIGITS]

    def is_minted_here(self, key):
        """Return whether this process issued the key."""
        return key.home == self.name and key.instance_id == self.instance_id


def check_key(key):
    """Raise `CallError` unless the key is present, short and printable."""
    if not key:
        raise CallError(ErrorKind.KEY_MISSING)
    if len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        detail = f"a key is at most {MAX_KEY_LENGTH} printable ASCII characters"
        raise CallError(ErrorKind.BAD_REQUEST, detail)


def call_digest(call):
    """Return the hexadecimal SHA-256 of what identifies a call.

    Calls with the same key but another digest are in conflict.
    """
    digest = hashlib.sha256()
    for text in (call.service, call.method, call.path):
        part = text.encode("utf-8", "surrogateescape")
        digest.update(len(part).to_bytes(4, "big") + part)
    digest.update(call.body.first)
    return digest.hexdigest()
