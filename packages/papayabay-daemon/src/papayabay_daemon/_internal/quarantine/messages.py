"""What daemons tell each other of ends and of requests held back."""

import hashlib
from operator import itemgetter
from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.quarantine.records import EndRecord, Verdict

TOPIC = "quarantine"
DIGEST_BYTES = 8
MOST_AGE_MS = 2**40
Name = Annotated[bytes, Meta(min_length=1, max_length=32)]
Age = Annotated[int, Meta(ge=0, le=MOST_AGE_MS)]


class EndMessage(msgspec.Struct, array_like=True):
    """An end; see `EndRecord`."""

    id: Name
    suspects: list[Name]
    retested: list[Name]
    age_ms: Age


class VerdictMessage(msgspec.Struct, array_like=True):
    """A verdict; see `Verdict`."""

    fingerprint: Name
    ends: list[Name]
    cleared: list[Name]
    age_ms: Age


class BookMessage(msgspec.Struct, array_like=True):
    """What a daemon knows, or a part of it.

    Attributes
    ----------
    digest : bytes
        Of all that the sender knows.
    complete : bool
        Whether the sender has learnt what was known before it started.
    ends : list of EndMessage
    cleared : list of (bytes, list of bytes)
        Fingerprints, and the ends that they were cleared of.
    verdicts : list of VerdictMessage
    era : int
        Of the store, as far as the sender has heard; 0 for none.
    """

    digest: bytes
    complete: bool
    ends: list[EndMessage] = []
    cleared: list[tuple[Name, list[Name]]] = []
    verdicts: list[VerdictMessage] = []
    era: Annotated[int, Meta(ge=0)] = 0


encode = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(BookMessage).decode


def decode(payload):
    """Return a peer's `BookMessage`; raises `ProtocolError`."""
    try:
        return decode_message(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"malformed message: {str(error)[:100]}") from None


def describe(book, digest, complete, names=None, era=0):
    """Return what a book holds as a message.

    Parameters
    ----------
    book : QuarantineBook
    digest : bytes
    complete : bool
    names : set of bytes or None
        Ends and fingerprints to tell; None for all.
    era : int
    """
    at = book.clock()

    def told(name):
        return names is None or name in names

    return BookMessage(
        digest,
        complete,
        [
            EndMessage(
                end.id,
                list(end.suspects),
                list(end.retested),
                age_ms(at, end.noted_at),
            )
            for end in book.ends.values()
            if told(end.id)
        ],
        [
            (fingerprint, list(ends))
            for fingerprint, ends in book.cleared.items()
            if ends and told(fingerprint)
        ],
        [
            VerdictMessage(
                fingerprint,
                list(verdict.ends),
                list(verdict.cleared),
                age_ms(at, verdict.since),
            )
            for fingerprint, verdict in book.verdicts.items()
            if told(fingerprint)
        ],
        era,
    )


def age_ms(at, moment):
    """Return an age in whole milliseconds."""
    return min(MOST_AGE_MS, max(0, round((at - moment) * 1_000)))


def merge(book, message):
    """Take in what a peer knows."""
    at = book.clock()
    for end in message.ends:
        suspects, retested = frozenset(end.suspects), frozenset(end.retested)
        noted_at = at - end.age_ms / 1_000
        book.take_end(EndRecord(end.id, suspects, retested, noted_at))
    for fingerprint, names in message.cleared:
        book.take_cleared(fingerprint, set(names))
    for heard in message.verdicts:
        since = at - heard.age_ms / 1_000
        verdict = Verdict(set(heard.ends), set(heard.cleared), since)
        book.take_verdict(heard.fingerprint, verdict)


class BookDigest:
    """A digest of a book, made anew only when the book has changed.

    Two daemons with the same digest have nothing to tell each other. Ages are
    left out, since no two daemons noted an end at the same moment.

    Parameters
    ----------
    book : QuarantineBook
    """

    def __init__(self, book):
        self.book = book
        self.revision = -1
        self.value = b""

    def current(self):
        """Return the digest, `DIGEST_BYTES` long."""
        if self.revision != self.book.revision:
            self.revision = self.book.revision
            self.value = digest_of(self.book)
        return self.value


def digest_of(book):
    """Return a digest of what a book holds."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(book.ends):
        digest.update(b"e" + name)
    for fingerprint, ends in sorted(book.cleared.items()):
        for name in sorted(ends):
            digest.update(b"c" + fingerprint + name)
    for fingerprint, verdict in sorted(book.verdicts.items(), key=itemgetter(0)):
        digest.update(b"v" + fingerprint)
        for name in sorted(verdict.ends):
            digest.update(b"+" + name)
        for name in sorted(verdict.cleared):
            digest.update(b"-" + name)
    return digest.digest()
