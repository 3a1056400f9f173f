"""Encoding, decoding and authentication of gossip packets."""

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from enum import IntEnum
from sys import intern

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import Member, MemberState

PROTOCOL = 1
PACKET_BYTES = 1_200
"""Largest datagram."""
MAC_BYTES = 16
SHORT_FORM = 0x80
"""Flag of an update that holds only state, incarnation and name."""
STATE_MASK = 0x03
WANTS_RECORD = 0x01
STORE_LOST = 0x02
HEADER = struct.Struct("!BBBIIQQ")
STATE = struct.Struct("!BQ")
PORTS = struct.Struct("!HHHH")


class Kind(IntEnum):
    """Kind of a packet; PING_VIA requests an indirect probe."""

    PING = 1
    ACK = 2
    PING_VIA = 3
    NACK = 4


@dataclass(slots=True)
class Update:
    """Update of a member's state; `member` is None in the short form."""

    name: str
    incarnation: int
    state: MemberState
    member: Member | None = None


@dataclass(slots=True)
class Packet:
    """Content of one datagram.

    Attributes
    ----------
    kind : Kind
    sequence : int
        Matches an answer to its probe.
    sender : str
    incarnation : int
        Incarnation of the sender.
    configuration : int
        Latest configuration version that the sender knows.
    target : str
        Name of the probed member.
    wants_record : bool
        Whether the sender requests the receiver's current record.
    store_lost : bool
        Whether the store did not answer the sender's last read.
    updates : list of Update
    """

    kind: Kind
    sequence: int
    sender: str
    incarnation: int
    configuration: int
    target: str
    wants_record: bool = False
    store_lost: bool = False
    updates: list[Update] = field(default_factory=list)


def encode_text(text):
    """Return a text of at most 255 bytes, prefixed with its length."""
    content = text.encode()
    if len(content) > 255:
        raise ValueError(f"text has {len(content)} bytes; at most 255 are allowed")
    return bytes((len(content),)) + content


def decode_text(content, offset):
    """Return the text at an offset, interned, and the offset after it."""
    size = content[offset]
    end = offset + 1 + size
    if end > len(content):
        raise ProtocolError(
            f"text at offset {offset} ends at {end}, beyond the {len(content)} bytes"
        )
    return intern(str(content[offset + 1 : end], "utf-8")), end


def encode_short(member):
    """Return the short form: state, incarnation and name."""
    return STATE.pack(SHORT_FORM | member.state, member.incarnation) + encode_text(
        member.name
    )


def encode_full(member):
    """Return the full record of a member."""
    return b"".join(
        (
            STATE.pack(member.state, member.incarnation),
            encode_text(member.name),
            encode_text(member.host),
            encode_text(member.failure_domain),
            encode_text(member.region),
            encode_text(member.service),
            PORTS.pack(
                member.link_port,
                member.gossip_port,
                member.status_port,
                min(member.slots, 65_535),
            ),
        )
    )


def encode_update(member):
    """Return an update as gossip carries it.

    Live members are sent in full. For all others only the state matters, so
    the short form is enough.
    """
    if member.state is MemberState.ALIVE:
        return encode_full(member)
    return encode_short(member)


def decode_updates(content, offset=0):
    """Return all updates from an offset to the end.

    Raises
    ------
    ProtocolError
        When an update is malformed or truncated.
    """
    updates = []
    try:
        while offset < len(content):
            update, offset = decode_update(content, offset)
            updates.append(update)
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        raise ProtocolError(f"malformed member record: {error}") from None
    return updates


def decode_update(content, offset):
    """Return the update at an offset and the offset after it."""
    flags, incarnation = STATE.unpack_from(content, offset)
    state = MemberState(flags & STATE_MASK)
    name, offset = decode_text(content, offset + STATE.size)
    if not name:
        raise ProtocolError("member record has an empty name")
    if flags & SHORT_FORM:
        return Update(name, incarnation, state), offset
    host, offset = decode_text(content, offset)
    domain, offset = decode_text(content, offset)
    region, offset = decode_text(content, offset)
    service, offset = decode_text(content, offset)
    link, gossip, status, slots = PORTS.unpack_from(content, offset)
    member = Member(
        name, incarnation, host, link, gossip, status, domain, region, service, slots
    )
    member.state = state
    return Update(name, incarnation, state, member), offset + PORTS.size


class Sealer:
    """Encodes, authenticates and decodes the packets of one cluster.

    Parameters
    ----------
    cluster : ClusterSettings
    """

    def __init__(self, cluster):
        digest = hashlib.sha256(cluster.name.encode()).digest()
        self.cluster = int.from_bytes(digest[:4], "big")
        self.secret = cluster.secret.encode()

    def room(self, packet):
        """Return the number of bytes left for updates in a packet."""
        names = len(packet.sender.encode()) + len(packet.target.encode()) + 2
        return PACKET_BYTES - HEADER.size - MAC_BYTES - names

    def seal(self, packet, updates=()):
        """Return the authenticated datagram of a packet.

        Parameters
        ----------
        packet : Packet
            Its `updates` are ignored.
        updates : iterable of bytes
            Encoded updates of at most `room` bytes in all.
        """
        head = HEADER.pack(
            PROTOCOL,
            packet.kind,
            packet.wants_record * WANTS_RECORD | packet.store_lost * STORE_LOST,
            self.cluster,
            packet.sequence,
            packet.incarnation,
            packet.configuration,
        )
        body = b"".join(
            (head, encode_text(packet.sender), encode_text(packet.target), *updates)
        )
        return body + self.mac(body)

    def mac(self, body):
        """Return the authentication code of a body."""
        return hmac.digest(self.secret, body, "sha256")[:MAC_BYTES]

    def open(self, datagram):
        """Return the packet of a datagram.

        Raises
        ------
        ProtocolError
            When the datagram is malformed, not authentic, or of another
            protocol version or cluster.
        """
        if not HEADER.size + MAC_BYTES < len(datagram) <= PACKET_BYTES:
            raise ProtocolError(f"gossip packet has invalid size {len(datagram)}")
        body = datagram[:-MAC_BYTES]
        if not hmac.compare_digest(self.mac(body), datagram[-MAC_BYTES:]):
            raise ProtocolError("gossip packet has a wrong authentication code")
        protocol, kind, flags, cluster, sequence, incarnation, configuration = (
            HEADER.unpack_from(body)
        )
        if protocol != PROTOCOL or cluster != self.cluster:
            raise ProtocolError(
                f"gossip packet of another cluster, or of protocol {protocol}; "
                f"{PROTOCOL} is supported"
            )
        try:
            sender, offset = decode_text(body, HEADER.size)
            target, offset = decode_text(body, offset)
            kind = Kind(kind)
        except (IndexError, ValueError) as error:
            raise ProtocolError(f"malformed gossip packet: {error}") from None
        return Packet(
            kind,
            sequence,
            sender,
            incarnation,
            configuration,
            target,
            bool(flags & WANTS_RECORD),
            bool(flags & STORE_LOST),
            decode_updates(body, offset),
        )
