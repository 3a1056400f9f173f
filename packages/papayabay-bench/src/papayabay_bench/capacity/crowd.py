"""A crowd of simulated members that one real daemon takes for real.

Every member has its own loopback address, so that the daemon's links reach
the member that it dialled, although one socket listens for them all.
"""

import asyncio
import ipaddress
import random
import socket
from collections import deque

from papayabay_core.settings import DaemonSettings
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.links import PeerLinks
from papayabay_daemon._internal.links.handshake import Handshake
from papayabay_daemon._internal.links.link import Link
from papayabay_daemon._internal.membership.exchange import Exchange
from papayabay_daemon._internal.membership.packets import (
    Kind,
    Packet,
    Sealer,
    encode_full,
    encode_short,
)
from papayabay_daemon._internal.membership.table import MemberTable
from papayabay_daemon._internal.membership.update_queue import transmit_limit

FIRST_ADDRESS = ipaddress.IPv4Address("127.64.0.1")
SERVICES = 490
DOMAINS = 20
REGIONS = 5
DATAGRAM_OVERHEAD = 28
SEGMENT_OVERHEAD = 52
RECONCILE_SECONDS = 30.0
NEWS_BYTES = 1_000
LOOPBACK_DEVICE = b"lo"


def loopback_socket(kind):
    """Return a socket that takes all loopback addresses and no others."""
    made = socket.socket(socket.AF_INET, kind)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
    made.bind(("0.0.0.0", 0))
    made.setblocking(False)
    return made


class CrowdLink(Link):
    """A link of whichever member was dialled; counts its bytes."""

    def connection_made(self, transport):
        """Introduce the member whose address was dialled."""
        if not self.dialled:
            address = transport.get_extra_info("sockname")[0]
            local = self.owner.crowd.by_address[address]
            cluster = self.owner.settings.cluster
            self.handshake = Handshake(cluster, local, None)
        super().connection_made(transport)

    def data_received(self, data):
        """Count what came."""
        self.owner.crowd.count_link(len(data))
        super().data_received(data)

    def send(self, frame):
        """Count what goes."""
        self.owner.crowd.count_link(len(frame) + 4)
        return super().send(frame)


class OneLink:
    """Links of a member that has just one, for an `Exchange`."""

    def __init__(self, link):
        self.link = link

    def handle_requests(self, topic, handler):
        """Leave the answers to the crowd's own exchange."""

    async def request(self, peer, topic, payload, timeout):
        """Ask on the one link."""
        return await self.link.outgoing.request(topic, payload, timeout)


class CrowdLinks(PeerLinks):
    """The links of all members of a crowd."""

    def __init__(self, settings, local, crowd):
        super().__init__(settings, local)
        self.crowd = crowd

    def replace_links(self, peer, link):
        """Keep all links: each belongs to another member of the crowd."""

    async def listen(self, listening):
        """Take links on a socket."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CrowdLink(self), sock=listening)


class Crowd(asyncio.DatagramProtocol):
    """Members that answer probes, probe, reconcile, and die on demand.

    Parameters
    ----------
    count : int
    settings : DaemonSettings
        Cluster and timing, as the daemon has them.
    own_domain : bool
        Whether some share the failure domain ``domain-0``.
    """

    def __init__(self, count, settings, own_domain=True):
        self.settings = settings
        self.random = random.Random(count)
        self.link_socket = loopback_socket(socket.SOCK_STREAM)
        self.gossip_socket = loopback_socket(socket.SOCK_DGRAM)
        link_port = self.link_socket.getsockname()[1]
        gossip_port = self.gossip_socket.getsockname()[1]
        first = 0 if own_domain else 1
        self.members = [
            make_member(number, link_port, gossip_port, first)
            for number in range(count)
        ]
        self.by_address = {member.host: member for member in self.members}
        self.table = MemberTable(self.members[0])
        for member in self.members[1:]:
            self.table.members[member.name] = member
            self.table.add_to_indexes(member)
        self.links = CrowdLinks(settings, self.members[0], self)
        self.exchange = Exchange(self.table, self.links, self.hear)
        self.sealer = Sealer(settings.cluster)
        self.silent = set()
        self.news = deque()
        self.heard = {}
        self.sequence = 0
        self.transport = None
        self.tasks = []
        self.packets = 0
        self.packet_bytes = 0
        self.link_bytes = 0
        self.link_frames = 0

    async def __aenter__(self):
        """Listen for the daemon."""
        loop = asyncio.get_running_loop()
        self.link_socket.listen(512)
        await self.links.listen(self.link_socket)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=self.gossip_socket
        )
        return self

    async def __aexit__(self, *failure):
        """Fall silent for good."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.transport.close()
        await self.links.close()

    def seeds(self, domain="domain-1"):
        """Return the content of a seed row that names some members."""
        chosen = [m for m in self.members if m.failure_domain == domain][:8]
        return [[m.name, m.host, m.gossip_port, m.link_port] for m in chosen]

    def hear(self, update, gossip=True):
        """Keep what the daemon tells of itself."""
        if update.member is not None:
            self.heard[update.name] = update.member

    def begin(self, daemon):
        """Probe the daemon and reconcile with it, as many peers would.

        Parameters
        ----------
        daemon : Member
            Each daemon is probed once a period on average, whatever the
            size of the cluster, and reconciled with once in 30.
        """
        self.tasks.append(asyncio.create_task(self.probe(daemon)))
        self.tasks.append(asyncio.create_task(self.reconcile(daemon)))

    async def probe(self, daemon):
        """Ping the daemon, each time from another member."""
        period = self.settings.timing.gossip_period_ms / 1_000
        while True:
            await asyncio.sleep(self.random.expovariate(1 / period))
            sender = self.speaker()
            if sender is not None:
                self.sequence += 1
                self.send(Kind.PING, self.sequence, sender, daemon.name, daemon)

    def speaker(self):
        """Return a random member that is not silent."""
        drawn = self.random.choices(self.members, k=8)
        return next((m for m in drawn if m.name not in self.silent), None)

    async def reconcile(self, daemon):
        """Compare members with the daemon, each time as another member."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / RECONCILE_SECONDS))
            link = await self.dial(daemon, self.speaker() or self.members[0])
            if link is not None:
                exchange = Exchange(self.table, OneLink(link), self.hear)
                await exchange.reconcile(daemon)

    async def dial(self, daemon, sender):
        """Return a new link of a member to the daemon, or None."""
        loop = asyncio.get_running_loop()

        def make():
            link = CrowdLink(self.links, daemon.name)
            cluster = self.settings.cluster
            link.handshake = Handshake(cluster, sender, daemon.name)
            return link

        _, link = await loop.create_connection(
            make, daemon.host, daemon.link_port, local_addr=(sender.host, 0)
        )
        return link if await link.opened else None

    def send(self, kind, sequence, sender, target, to):
        """Send a packet with as much news as fits."""
        packet = Packet(kind, sequence, sender.name, sender.incarnation, 0, target)
        room = min(self.sealer.room(packet), NEWS_BYTES)
        parts = []
        while self.news and len(self.news[0]) <= room:
            room -= len(self.news[0])
            parts.append(self.news.popleft())
        datagram = self.sealer.seal(packet, parts)
        self.count_packet(len(datagram))
        address = to if isinstance(to, tuple) else (to.host, to.gossip_port)
        self.transport.sendto(datagram, address)

    def datagram_received(self, data, address):
        """Answer a ping as the member that it names."""
        self.count_packet(len(data))
        packet = self.sealer.open(data)
        target = self.table.members.get(packet.target)
        if target is None or target.name in self.silent:
            return
        if packet.kind is Kind.PING:
            self.send(Kind.ACK, packet.sequence, target, target.name, address)
        elif packet.kind is Kind.PING_VIA:
            helper = self.speaker() or target
            self.send(Kind.ACK, packet.sequence, helper, target.name, address)

    def count_packet(self, size):
        """Count a datagram, with its headers, in either direction."""
        self.packets += 1
        self.packet_bytes += size + DATAGRAM_OVERHEAD

    def count_link(self, size):
        """Count what a link carries in either direction, with headers."""
        self.link_frames += 1
        self.link_bytes += size + SEGMENT_OVERHEAD

    def restart_one(self, copies):
        """Give a member a new incarnation and spread its record.

        Parameters
        ----------
        copies : int
            How often the daemon hears it.
        """
        member = self.speaker()
        self.table.remove_from_indexes(member)
        member.incarnation += 1
        self.table.add_to_indexes(member)
        self.news.extend([encode_full(member)] * copies)

    def kill(self, count):
        """Silence members of one domain and spread the news; return them.

        Their deaths reach the daemon as others' gossip brings them: first
        as suspicions, then as deaths, a packet's worth at a time.
        """
        dead = [m for m in self.members if m.failure_domain == "domain-2"]
        dead = (dead + [m for m in self.members if m not in dead])[:count]
        self.silent |= {member.name for member in dead}
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            self.news.extend(encode_as(member, state) for member in dead)
        return dead


def news_sends(members):
    """Return how often each daemon passes one piece of news on."""
    return transmit_limit(members)


def encode_as(member, state):
    """Return the short news that a member is in a state."""
    before, member.state = member.state, state
    encoded = encode_short(member)
    member.state = before
    return encoded


def make_member(number, link_port, gossip_port, first_domain=0):
    """Return one member, spread over services, domains and regions."""
    domain = first_domain + number % (DOMAINS - first_domain)
    return Member(
        f"vm-{number:05d}",
        1_700_000_000_000 + number,
        str(FIRST_ADDRESS + number),
        link_port,
        gossip_port,
        9_000,
        f"domain-{domain}",
        f"region-{domain % REGIONS}",
        f"service-{number % SERVICES}",
        10,
    )


def daemon_model(settings_tables):
    """Return validated settings made of a daemon's tables."""
    return DaemonSettings.model_validate(settings_tables)
