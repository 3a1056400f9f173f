"""Receives gossip packets and answers them."""

from collections import deque

from papayabay_daemon._internal.membership.packets import (
    Kind,
    encode_full,
    encode_short,
)

RECORD_PINGS_MAX = 256
"""Most pings with the own record whose answers are recognized."""


class PacketReceiver:
    """Applies the updates that packets carry, and answers probes.

    Parameters
    ----------
    table : MemberTable
    gossip : Gossip
    detector : Detector
    apply : callable
        Called with each update.

    Attributes
    ----------
    version_listeners : list of callable
        Called with a newer version and the member that holds it.
    without_store : frozenset of str
        Members that the store does not answer, by their last packets.
    record_sequences : deque of int
        Sequence numbers of the last pings that carried the own record.
    misdirected : int
        Packets from this daemon itself or for another member.
    """

    def __init__(self, table, gossip, detector, apply):
        self.table = table
        self.local = table.local
        self.gossip = gossip
        self.detector = detector
        self.apply = apply
        self.version_listeners = []
        self.without_store = frozenset()
        self.record_sequences = deque(maxlen=RECORD_PINGS_MAX)
        self.misdirected = 0

    def handle_packet(self, packet, address):
        """Process a packet and answer it."""
        if packet.sender == self.local.name:
            self.misdirected += 1
            return
        for update in packet.updates:
            self.apply(update)
        if packet.store_lost != (packet.sender in self.without_store):
            self.record_store_loss(packet)
        if packet.wants_record:
            self.gossip.updates.add(self.local.name)
            self.send_record(packet)
        if packet.configuration > self.gossip.configuration:
            self.notify_version(packet)
        if packet.kind is Kind.PING:
            self.answer_ping(packet, address)
        elif packet.kind is Kind.ACK:
            self.detector.handle_ack(packet)
        elif packet.kind is Kind.NACK:
            self.detector.handle_nack(packet)
        else:
            self.detector.handle_ping_via(packet, address)

    def send_record(self, packet):
        """Send the own record to a member that requests it, once.

        Gossip may bring it there only after many periods. A daemon that was
        restarted while the store is down for it would know no other member
        until then, and could not request the version that all offer. A member
        that refuses the record requests it again with its next answer, which
        is then left to gossip.
        """
        member = self.table.get(packet.sender)
        if member is None or packet.sequence in self.record_sequences:
            return
        sequence = self.detector.next_sequence()
        self.record_sequences.append(sequence)
        self.detector.ping(member, sequence, encode_full(self.local))

    def record_store_loss(self, packet):
        """Record that a member has lost the store, or reaches it again."""
        known = {name for name in self.without_store if self.table.get(name)}
        change = known.union if packet.store_lost else known.difference
        self.without_store = frozenset(change((packet.sender,)))

    def notify_version(self, packet):
        """Notify the listeners of a newer configuration version."""
        for listener in self.version_listeners:
            listener(packet.configuration, packet.sender)

    def answer_ping(self, packet, address):
        """Answer a ping, unless it was meant for another member.

        A former owner of this address may still be pinged here. The answer
        tells a suspected or dead sender its state, so that it can refute, or
        requests its record if the one known here is stale.
        """
        if packet.target != self.local.name:
            self.misdirected += 1
            return
        sender = self.table.members.get(packet.sender)
        wants_record = sender is None or sender.incarnation < packet.incarnation
        required = b""
        if not wants_record and self.detector.needs_refutation(sender):
            required = encode_short(sender)
        self.gossip.send(
            Kind.ACK, packet.sequence, self.local.name, address, wants_record, required
        )
