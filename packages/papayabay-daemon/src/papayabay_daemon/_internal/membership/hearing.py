"""Takes in packets and answers them."""

from papayabay_daemon._internal.membership.packets import Kind, encode_short


class Hearing:
    """What this daemon does with each packet that others send.

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
    heard_at : float
        When the last packet of another member came in.
    version_listeners : list of callable
        Called with a version above the own and who has it.
    misdirected : int
    """

    def __init__(self, table, gossip, detector, apply, clock):
        self.table = table
        self.local = table.local
        self.gossip = gossip
        self.detector = detector
        self.apply = apply
        self.clock = clock
        self.heard_at = clock()
        self.version_listeners = []
        self.misdirected = 0

    def take_packet(self, packet, address):
        """Take in a packet and answer it."""
        if packet.sender == self.local.name:
            self.misdirected += 1
            return
        self.heard_at = self.clock()
        for update in packet.updates:
            self.apply(update)
        if packet.wants_record:
            self.gossip.news.add(self.local.name)
        if packet.configuration > self.gossip.configuration:
            self.tell_version(packet)
        if packet.kind is Kind.PING:
            self.answer_ping(packet, address)
        elif packet.kind is Kind.ACK:
            self.detector.take_ack(packet)
        elif packet.kind is Kind.NACK:
            self.detector.take_nack(packet)
        else:
            self.detector.help(packet, address)

    def tell_version(self, packet):
        """Call those who wait for configuration versions."""
        for listener in self.version_listeners:
            listener(packet.configuration, packet.sender)

    def answer_ping(self, packet, address):
        """Answer, unless the ping was for who had this address before.

        The sender learns what is wrongly believed of it; when it is not
        known as it is now, it is asked for its record.
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
