"""The UDP socket that sends and receives gossip packets."""

import asyncio

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.membership.packets import Packet, encode_update
from papayabay_daemon._internal.membership.update_queue import (
    UpdateQueue,
    update_budget,
)

DATAGRAM_OVERHEAD = 28
"""Bytes of the IPv4 and UDP headers."""


class Gossip(asyncio.DatagramProtocol):
    """The gossip socket and the queue of the updates that it transmits.

    Parameters
    ----------
    table : MemberTable
    sealer : Sealer
    period : float
        Seconds between two probes; the byte budget of updates is per period.
    clock : callable
    receive : callable
        Called with each authentic packet and its sender's address.

    Attributes
    ----------
    configuration : int
        Configuration version that each packet carries.
    store_lost : bool
        Whether each packet says that the store does not answer this daemon.
    strays : int
        Received datagrams that are malformed or not authentic.
    """

    def __init__(self, table, sealer, period, clock, receive):
        self.table = table
        self.sealer = sealer
        self.clock = clock
        self.receive = receive
        self.updates = UpdateQueue()
        self.budget = update_budget(clock(), period)
        self.configuration = 0
        self.store_lost = False
        self.transport = None
        self.packets_sent = 0
        self.bytes_sent = 0
        self.packets_received = 0
        self.bytes_received = 0
        self.strays = 0
        self.send_errors = 0

    async def open(self, host, port):
        """Bind the socket and return its port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        return self.transport.get_extra_info("sockname")[1]

    def close(self):
        """Close the socket; packets sent later are dropped."""
        if self.transport is not None:
            self.transport.close()

    def send(self, kind, sequence, target, address, wants_record=False, required=b""):
        """Send one packet, filled up with updates within the byte budget.

        Parameters
        ----------
        kind : Kind
        sequence : int
        target : str
            Name of the probed member.
        address : tuple of (str, int)
        wants_record : bool
            Whether to request the receiver's record.
        required : bytes
            Encoded updates that are sent whatever the budget.
        """
        if self.transport is None or self.transport.is_closing():
            return
        local = self.table.local
        packet = Packet(
            kind,
            sequence,
            local.name,
            local.incarnation,
            self.configuration,
            target,
            wants_record,
            self.store_lost,
        )
        updates = self.pick_updates(packet, required)
        datagram = self.sealer.seal(packet, updates)
        self.budget.spend(sum(map(len, updates)))
        self.packets_sent += 1
        self.bytes_sent += len(datagram) + DATAGRAM_OVERHEAD
        self.transport.sendto(datagram, address)

    def pick_updates(self, packet, required):
        """Return the encoded updates for a packet, the required ones first."""
        room = self.sealer.room(packet) - len(required)
        if not self.updates.level_of:
            return (required,)
        room = min(room, self.budget.available(self.clock()))
        updates = self.updates.next_updates(room, self.encode, self.table.live_count())
        return (required, *updates)

    def encode(self, name):
        """Return the encoded update of a member; empty if it was removed."""
        member = self.table.members.get(name)
        return encode_update(member) if member else b""

    def datagram_received(self, data, address):
        """Pass on an authentic packet; count any other datagram as stray."""
        self.bytes_received += len(data) + DATAGRAM_OVERHEAD
        try:
            packet = self.sealer.open(data)
        except ProtocolError:
            self.strays += 1
            return
        self.packets_received += 1
        self.receive(packet, address)

    def error_received(self, error):
        """Count a socket error, such as an unreachable port."""
        self.send_errors += 1
