"""Messages in which daemons replicate the quarantine registry."""

import hashlib
from operator import itemgetter
from typing import Annotated

import msgspec
from msgspec import Meta

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.quarantine.records import CrashRecord, QuarantineEntry

TOPIC = "quarantine"
DIGEST_BYTES = 8
MAX_AGE_MS = 2**40
Name = Annotated[bytes, Meta(min_length=1, max_length=32)]
Age = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]


class CrashMessage(msgspec.Struct, array_like=True):
    """A crash; see `CrashRecord`."""

    id: Name
    suspects: list[Name]
    repeated: list[Name]
    age_ms: Age


class EntryMessage(msgspec.Struct, array_like=True):
    """An entry; see `QuarantineEntry`."""

    fingerprint: Name
    crashes: list[Name]
    exonerated: list[Name]
    age_ms: Age


class RegistryMessage(msgspec.Struct, array_like=True):
    """A registry, or a part of it.

    Attributes
    ----------
    digest : bytes
        Of the sender's whole registry.
    complete : bool
        Whether the sender has synchronized since its start.
    crashes : list of CrashMessage
    exonerated : list of (bytes, list of bytes)
        Fingerprints, and the crashes that each is exonerated of.
    entries : list of EntryMessage
    era : int
        Latest era of the store that the sender has observed; 0 for none. A new
        era begins when the store is restored from an older copy.
    """

    digest: bytes
    complete: bool
    crashes: list[CrashMessage] = []
    exonerated: list[tuple[Name, list[Name]]] = []
    entries: list[EntryMessage] = []
    era: Annotated[int, Meta(ge=0)] = 0


encode = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(RegistryMessage).decode


def decode(payload):
    """Return a peer's `RegistryMessage`; raises `ProtocolError`."""
    try:
        return decode_message(payload)
    except msgspec.MsgspecError as error:
        raise ProtocolError(
            f"malformed quarantine message: {str(error)[:100]}"
        ) from None


def describe(registry, digest, complete, names=None, era=0):
    """Return the message that describes a registry.

    Parameters
    ----------
    registry : QuarantineRegistry
    digest : bytes
    complete : bool
    names : set of bytes or None
        Crashes and fingerprints to include; None for all.
    era : int
    """
    at = registry.clock()

    def is_included(name):
        return names is None or name in names

    return RegistryMessage(
        digest,
        complete,
        [
            CrashMessage(
                crash.id,
                list(crash.suspects),
                list(crash.repeated),
                age_ms(at, crash.noted_at),
            )
            for crash in registry.crashes.values()
            if is_included(crash.id)
        ],
        [
            (fingerprint, list(crashes))
            for fingerprint, crashes in registry.exonerated.items()
            if crashes and is_included(fingerprint)
        ],
        [
            EntryMessage(
                fingerprint,
                list(entry.crashes),
                list(entry.exonerated),
                age_ms(at, entry.since),
            )
            for fingerprint, entry in registry.entries.items()
            if is_included(fingerprint)
        ],
        era,
    )


def age_ms(at, moment):
    """Return an age in whole milliseconds."""
    return min(MAX_AGE_MS, max(0, round((at - moment) * 1_000)))


def merge(registry, message):
    """Merge a peer's message into a registry."""
    at = registry.clock()
    for crash in message.crashes:
        suspects, repeated = frozenset(crash.suspects), frozenset(crash.repeated)
        noted_at = at - crash.age_ms / 1_000
        registry.merge_crash(CrashRecord(crash.id, suspects, repeated, noted_at))
    for fingerprint, names in message.exonerated:
        registry.merge_exonerations(fingerprint, set(names))
    for received in message.entries:
        since = at - received.age_ms / 1_000
        entry = QuarantineEntry(set(received.crashes), set(received.exonerated), since)
        registry.merge_entry(received.fingerprint, entry)


class RegistryDigest:
    """A digest of a registry, cached until the registry changes.

    Ages are left out, as they differ between daemons with the same content.

    Parameters
    ----------
    registry : QuarantineRegistry
    """

    def __init__(self, registry):
        self.registry = registry
        self.revision = -1
        self.value = b""

    def current(self):
        """Return the digest, `DIGEST_BYTES` long."""
        if self.revision != self.registry.revision:
            self.revision = self.registry.revision
            self.value = digest_of(self.registry)
        return self.value


def digest_of(registry):
    """Return a digest of a registry's content."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(registry.crashes):
        digest.update(b"e" + name)
    for fingerprint, crashes in sorted(registry.exonerated.items()):
        for name in sorted(crashes):
            digest.update(b"c" + fingerprint + name)
    for fingerprint, entry in sorted(registry.entries.items(), key=itemgetter(0)):
        digest.update(b"v" + fingerprint)
        for name in sorted(entry.crashes):
            digest.update(b"+" + name)
        for name in sorted(entry.exonerated):
            digest.update(b"-" + name)
    return digest.digest()
