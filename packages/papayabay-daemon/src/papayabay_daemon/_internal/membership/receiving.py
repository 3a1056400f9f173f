"""Receives gossip packets and answers them."""

from papayabay_daemon._internal.membership.packets import Kind, encode_short


class PacketReceiver:
    """Applies the updates of packets, and answers probes.

    Parameters
    ----------
    table : MemberTable
    gossip : Gossip
    detector : Detector
    apply : callable
        Takes each update.
    clock : callable

    Attributes
    ----------
    received_at : float
        When the last packet of another member arrived.
    version_listeners : list of callable
        Called with a newer version and the member that holds it.
    misdirected : int
    """

    def __init__(self, table, gossip, detector, apply, clock):
        self.table = table
        self.local = table.local
        self.gossip = gossip
        self.detector = detector
        self.apply = apply
        self.clock = clock
        self.received_at = clock()
        self.version_listeners = []
        self.misdirected = 0

    def take_packet(self, packet, address):
        """Process a packet and answer it."""
        if packet.sender == self.local.name:
            self.misdirected += 1
            return
        self.received_at = self.clock()
        for update in packet.updates:
            self.apply(update)
        if packet.wants_record:
            self.gossip.updates.add(self.local.name)
        if packet.configuration > self.gossip.configuration:
            self.notify_version(packet)
        if packet.kind is Kind.PING:
            self.answer_ping(packet, address)
        elif packet.kind is Kind.ACK:
            self.detector.take_ack(packet)
        elif packet.kind is Kind.NACK:
            self.detector.take_nack(packet)
        else:
            self.detector.help(packet, address)

    def notify_version(self, packet):
        """Notify the listeners of a newer configuration version."""
        for listener in self.version_listeners:
            listener(packet.configuration, packet.sender)

    def answer_ping(self, packet, address):
        """Answer, unless the ping was for the former owner of this address.

        The answer carries a suspicion of the sender, for it to refute, or
        requests its record if the one known here is outdated.
        """
        if packet.target != self.local.name:
            self.misdirected += 1
            return
        sender = self.table.members.get(packet.sender)
        wants = sender is None or sender.incarnation < packet.incarnation
        first = b""
        if not wants and self.detector.is_doubted(sender):
            first = encode_short(sender)
        self.gossip.send(
            Kind.ACK, packet.sequence, self.local.name, address, wants, first
        )
