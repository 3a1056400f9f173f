"""Who is there: gossip, seeds and exchanges put together."""

import asyncio
import ipaddress
import itertools

import logbook

from papayabay_core.exceptions import SettingsError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership.detector import Detector
from papayabay_daemon._internal.membership.exchange import Exchange
from papayabay_daemon._internal.membership.gossip import Gossip
from papayabay_daemon._internal.membership.incarnations import (
    first_incarnation,
    incarnation_above,
)
from papayabay_daemon._internal.membership.joining import Joining
from papayabay_daemon._internal.membership.packets import Sealer, Update, encode_full
from papayabay_daemon._internal.membership.receiving import PacketReceiver
from papayabay_daemon._internal.membership.sampling import random_peers
from papayabay_daemon._internal.membership.seeds import SeedRows
from papayabay_daemon._internal.membership.table import MemberTable

LEAVE_SECONDS = 0.5
UNMET_RECENT_SECONDS = 2.0
UNMET_SECONDS = 60.0
"""How long after the start seeds that were never met count as members."""
LEAVE_PEERS = 8
ANNOUNCE_FAN_OUT = 16
"""Members that an announcement is sent to directly: all of a small fleet.
Gossip alone takes some periods, in which a new target is idle."""
VERSION_FAN_OUT = 64
"""Members that a reader sends a new version to directly: all of a failure
domain of some tens. Others receive it by pushes and gossip."""
log = logbook.Logger("papayabay.membership")


class Membership:
    """The members as this daemon knows them; implements `Members`.

    Parameters
    ----------
    settings : DaemonSettings
    table : TableService
    links : Links
    random : random.Random
    clock : callable
        Seconds, counting suspended time.

    Raises
    ------
    SettingsError
        When ``vm.host`` is not an IP address.
    """

    def __init__(self, settings, table, links, random, clock=now):
        vm = settings.vm
        check_host(vm.host)
        self.settings = settings
        self.random = random
        self.clock = clock
        self.local = Member(
            vm.name,
            first_incarnation(),
            vm.host,
            vm.link_port,
            vm.gossip_port,
            settings.loopback.status_port,
            vm.failure_domain,
            vm.region,
        )
        self.table = MemberTable(self.local)
        self.gossip = Gossip(
            self.table,
            Sealer(settings.cluster),
            settings.timing.gossip_period_ms / 1_000,
            clock,
            self.take_packet,
        )
        self.detector = Detector(
            settings.timing, self.table, self.gossip, random, clock, self.apply
        )
        self.receiver = PacketReceiver(
            self.table, self.gossip, self.detector, self.apply, clock
        )
        self.exchange = Exchange(self.table, links, self.apply)
        self.seeds = SeedRows(vm, table, self.table)
        self.joining = Joining(
            self.table, self.seeds, self.exchange, self.detector.period, random
        )
        self.started_at = clock()
        self.listeners = []
        self.refutations = 0
        self.name_conflicts = 0

    def get(self, name):
        """Return a member that is not dead, or None."""
        return self.table.get(name)

    def upstreams(self, service):
        """Return the live, not leaving members that announce a service."""
        return self.table.upstreams(service)

    def known_upstream_count(self, service):
        """Return how many members announce a service, or did until lately.

        The dead count too: a daemon that is merely cut off goes on spending
        its part of what all share.
        """
        members = self.table.members.values()
        return sum(member.service == service for member in members)

    def live(self):
        """Return all members that are not dead, this daemon too."""
        return self.table.live()

    def lost_since(self, at):
        """Return the members that were lost after a time and are not back.

        Seeds that a new process has not met yet count as lost just now.
        """
        tombstones = reversed(self.table.tombstones.items())
        recent = itertools.takewhile(lambda item: item[1] > at, tombstones)
        dead = [self.table.members[name] for name, _ in recent]
        just_started = self.clock() - self.started_at <= UNMET_RECENT_SECONDS
        return [*dead, *self.unmet_seeds()] if just_started else dead

    def lost_count(self):
        """Return how many members are dead and remembered, or never met."""
        return len(self.table.tombstones) + len(self.unmet_seeds())

    def listed_seed_count(self):
        """Return how many seeds the store listed at the last try to join."""
        return len(self.joining.listed_seeds)

    def unmet_seeds(self):
        """Return the seeds that a new process has not met.

        They may be on the other side of a partition. Later on, those listed
        are more likely to be gone for good.
        """
        if self.clock() - self.started_at > UNMET_SECONDS:
            return []
        known = self.table.members
        listed = self.joining.listed_seeds
        return [seed.as_member() for seed in listed if seed.name not in known]

    def on_change(self, callback):
        """Call back with each member whose record changed."""
        self.listeners.append(callback)

    def on_newer_configuration(self, callback):
        """Call back with a version above the own and who has it."""
        self.receiver.version_listeners.append(callback)

    def seconds_since_packet(self):
        """Return the seconds since a packet of another member arrived."""
        return self.clock() - self.receiver.received_at

    def set_configuration(self, version):
        """Set the configuration version that packets carry."""
        self.gossip.configuration = version

    def announce_version(self, peers):
        """Send some members the configuration version at once.

        Parameters
        ----------
        peers : list of Member
        """
        drawn = self.random.sample(peers, min(len(peers), VERSION_FAN_OUT))
        for peer in drawn:
            self.detector.ping(peer, self.detector.next_sequence())

    def set_ports(self, link_port, status_port):
        """Set the ports that were bound; to be called before `run`."""
        self.table.change_local(link_port=link_port, status_port=status_port)

    async def start(self):
        """Bind the gossip port."""
        vm = self.settings.vm
        port = await self.gossip.open(vm.host, vm.gossip_port)
        self.table.change_local(gossip_port=port)
        self.gossip.updates.add(self.local.name)

    async def run(self):
        """Take part until cancelled."""
        if self.gossip.transport is None:
            await self.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.detector.run())
                group.create_task(self.joining.run_seeds())
                group.create_task(self.joining.run_reconcile())
        finally:
            self.gossip.close()

    def announce(self, service, slots):
        """Announce that the target beside this daemon takes calls."""
        if (service, slots) != (self.local.service, self.local.slots):
            self.change_local(service=service, slots=slots)
            self.announce_record()

    def withdraw(self):
        """Withdraw the announcement of the target."""
        if self.local.service:
            self.change_local(service="", slots=0)
            self.announce_record()

    def announce_record(self):
        """Send the own record to several members at once."""
        record = encode_full(self.local)
        for peer in random_peers(self.table, ANNOUNCE_FAN_OUT, self.random):
            self.detector.ping(peer, self.detector.next_sequence(), record)

    def change_local(self, heard=0, **fields):
        """Change the own record under an incarnation above all former."""
        incarnation = incarnation_above(self.local.incarnation, heard)
        self.table.change_local(incarnation=incarnation, **fields)
        self.gossip.updates.add(self.local.name)
        self.notify(self.local)

    async def leave(self):
        """Announce to several members that this daemon leaves.

        Returns after `LEAVE_SECONDS` at the latest; others learn it from
        refusals or by gossip.
        """
        self.change_local(state=MemberState.LEAVING)
        peers = random_peers(self.table, LEAVE_PEERS, self.random)
        if not peers:
            return
        probes = [self.detector.probe(peer) for peer in peers]
        try:
            async with asyncio.timeout(LEAVE_SECONDS):
                await asyncio.gather(*probes)
        except TimeoutError:
            pass

    def note_link_lost(self, name):
        """Probe a member now, since its link broke."""
        self.detector.hurry(name)

    def mark_leaving(self, name):
        """Apply a member's own announcement that it leaves."""
        member = self.table.get(name)
        if member is not None and member is not self.local:
            self.apply(Update(name, member.incarnation, MemberState.LEAVING))

    def apply(self, update, gossip=True):
        """Apply an update of any member; gossip it on or not."""
        if update.name == self.local.name:
            self.refute(update)
            return
        strange = update.name not in self.table.members
        member = self.table.apply(update, self.clock())
        if member is None:
            return
        if strange:
            self.detector.joined(member.name)
        self.detector.suspicions.changed(member)
        if gossip:
            self.gossip.updates.add(member.name)
        self.notify(member)

    def notify(self, member):
        """Call the listeners."""
        for listener in self.listeners:
            listener(member)

    def refute(self, update):
        """Refute a wrong update of this daemon by a higher incarnation.

        It may be a suspicion from a pause of this process, or a record of an
        earlier process of this name.
        """
        own = (self.local.incarnation, self.local.state)
        if (update.incarnation, update.state) <= own:
            return
        self.refutations += 1
        if self.is_another(update):
            self.name_conflicts += 1
            if self.name_conflicts == 1:
                log.error(
                    "name {} is in use elsewhere, or the clock went back",
                    self.local.name,
                )
        self.change_local(heard=update.incarnation)

    def is_another(self, update):
        """Return whether a living daemon elsewhere uses the own name."""
        member = update.member
        if member is None or update.state is not MemberState.ALIVE:
            return False
        own = (self.local.host, self.local.gossip_port)
        return own != (member.host, member.gossip_port)

    def take_packet(self, packet, address):
        """Take in a packet and answer it."""
        self.receiver.take_packet(packet, address)

    def status(self):
        """Return counters and the state of membership as plain values."""
        gossip = self.gossip
        return {
            "name": self.local.name,
            "incarnation": self.local.incarnation,
            "state": self.local.state.name.lower(),
            "live": self.table.live_count(),
            "dead_remembered": len(self.table.tombstones),
            "suspected": len(self.detector.suspicions),
            "health": self.detector.health,
            "pauses": self.detector.pauses,
            "news_waiting": len(gossip.updates),
            "packets_sent": gossip.packets_sent,
            "packets_received": gossip.packets_received,
            "bytes_sent": gossip.bytes_sent,
            "bytes_received": gossip.bytes_received,
            "strays": gossip.strays,
            "send_errors": gossip.send_errors,
            "misdirected": self.receiver.misdirected,
            "refutations": self.refutations,
            "name_conflicts": self.name_conflicts,
            "members_refused": self.table.refused,
            "exchange_errors": self.joining.exchange_errors,
            "store_reachable": not self.seeds.outage.active,
            "store_errors": self.seeds.errors,
            "seed_writes": self.seeds.writes,
            "seed_conflicts": self.seeds.conflicts,
        }


def check_host(host):
    """Refuse a host name: resolving one would hold up every packet."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise SettingsError(
            f"vm.host: {host!r} is not an IP address; members are reached by address"
        ) from None
