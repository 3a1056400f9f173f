"""The membership service: gossip, failure detection, seeds and exchanges."""

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
"""Longest time that a daemon spends on announcing that it leaves."""
UNMET_RECENT_SECONDS = 2.0
"""Time after the start in which unmet seeds count as just lost."""
UNMET_SECONDS = 60.0
"""Time after the start in which unmet seeds count as lost members."""
LEAVE_PEERS = 8
"""Members that a leaving daemon probes to announce it."""
ANNOUNCE_FAN_OUT = 16
"""Members that an announcement is sent to directly: all of a small fleet.
Gossip alone takes some periods, in which a new target is idle."""
VERSION_FAN_OUT = 64
"""Members that a reader sends a new version to directly: a whole failure
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
        Returns the time in seconds, including the time that the machine was
        suspended.

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
            self.handle_packet,
        )
        self.detector = Detector(
            settings.timing, self.table, self.gossip, random, clock, self.apply
        )
        self.receiver = PacketReceiver(
            self.table, self.gossip, self.detector, self.apply
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
        """Return how many known members announce a service.

        Dead members count until they are evicted: a daemon that is merely
        cut off still uses its share of a budget that all daemons share.
        """
        members = self.table.members.values()
        return sum(member.service == service for member in members)

    def live(self):
        """Return all members that are not dead, this daemon too."""
        return self.table.live()

    def lost_since(self, time):
        """Return the members that died after a time and have not returned.

        Shortly after the start of this process, unmet seeds count as lost.
        """
        tombstones = reversed(self.table.tombstones.items())
        recent = itertools.takewhile(lambda item: item[1] > time, tombstones)
        dead = [self.table.members[name] for name, _ in recent]
        just_started = self.clock() - self.started_at <= UNMET_RECENT_SECONDS
        return [*dead, *self.unmet_seeds()] if just_started else dead

    def lost_count(self):
        """Return the number of remembered dead members and unmet seeds."""
        return len(self.table.tombstones) + len(self.unmet_seeds())

    def listed_seed_count(self):
        """Return the number of seeds in the store at the last join attempt."""
        return len(self.joining.listed_seeds)

    def unmet_seeds(self):
        """Return the listed seeds that this new process has no record of.

        They may be on the other side of a partition. Some time after the
        start, they are more likely to have ended for good.
        """
        if self.clock() - self.started_at > UNMET_SECONDS:
            return []
        known = self.table.members
        listed = self.joining.listed_seeds
        return [seed.as_member() for seed in listed if seed.name not in known]

    def on_change(self, callback):
        """Register a callback for each member whose record changes."""
        self.listeners.append(callback)

    def on_newer_configuration(self, callback):
        """Register a callback for newer configuration versions of members.

        It gets the version and the name of the member that has it.
        """
        self.receiver.version_listeners.append(callback)

    def on_contact(self, callback):
        """Register a callback for members that answer a probe.

        It gets the name of the member.
        """
        self.detector.contact_listeners.append(callback)

    def seconds_since_contact(self):
        """Return the seconds since a member last answered a probe."""
        return self.clock() - self.detector.contact_at

    def set_configuration(self, version):
        """Set the configuration version that packets carry."""
        self.gossip.configuration = version

    @property
    def store_lost(self):
        """Whether the store did not answer this daemon's last read."""
        return self.gossip.store_lost

    def set_store_lost(self, lost):
        """Set whether packets say that the store does not answer."""
        self.gossip.store_lost = lost

    def without_store(self):
        """Return the names of the other members that have lost the store.

        The set is the same object until it changes.
        """
        return self.receiver.without_store

    def announce_version(self, peers):
        """Send the configuration version to some members at once.

        The packets also tell whether the store answers this daemon.

        Parameters
        ----------
        peers : list of Member
        """
        drawn = self.random.sample(peers, min(len(peers), VERSION_FAN_OUT))
        for peer in drawn:
            self.detector.ping(peer, self.detector.next_sequence())

    def set_ports(self, link_port, status_port):
        """Set the ports that were bound; must be called before `run`."""
        self.table.change_local(link_port=link_port, status_port=status_port)

    async def start(self):
        """Bind the gossip port and queue the own record."""
        vm = self.settings.vm
        port = await self.gossip.open(vm.host, vm.gossip_port)
        self.table.change_local(gossip_port=port)
        self.gossip.updates.add(self.local.name)

    async def run(self):
        """Take part in the cluster until cancelled."""
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
        """Announce that the target beside this daemon accepts calls."""
        if (service, slots) != (self.local.service, self.local.slots):
            self.change_local(service=service, slots=slots)
            self.announce_record()

    def withdraw(self):
        """Withdraw the announcement of the target."""
        if self.local.service:
            self.change_local(service="", slots=0)
            self.announce_record()

    def announce_record(self):
        """Send the own record directly to several random members."""
        record = encode_full(self.local)
        for peer in random_peers(self.table, ANNOUNCE_FAN_OUT, self.random):
            self.detector.ping(peer, self.detector.next_sequence(), record)

    def change_local(self, received=0, **fields):
        """Change the own record under a new, higher incarnation.

        Parameters
        ----------
        received : int
            Incarnation of this name that a peer sent, if any; the new one is
            higher.
        **fields
            New values by field name.
        """
        incarnation = incarnation_above(self.local.incarnation, received)
        self.table.change_local(incarnation=incarnation, **fields)
        self.gossip.updates.add(self.local.name)
        self.notify(self.local)

    async def leave(self):
        """Announce to several members that this daemon leaves.

        Returns after `LEAVE_SECONDS` at the latest; other members learn it
        from refused calls or by gossip.
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
        """Probe a member out of turn, since its link broke."""
        self.detector.probe_soon(name)

    def mark_leaving(self, name):
        """Mark a member as leaving, as it has announced itself."""
        member = self.table.get(name)
        if member is not None and member is not self.local:
            self.apply(Update(name, member.incarnation, MemberState.LEAVING))

    def apply(self, update, gossip=True):
        """Apply an update of any member, and gossip it on if that is set."""
        if update.name == self.local.name:
            self.refute(update)
            return
        is_new = update.name not in self.table.members
        member = self.table.apply(update, self.clock())
        if member is None:
            return
        if is_new:
            self.detector.add_to_round(member.name)
        self.detector.suspicions.update(member)
        if gossip:
            self.gossip.updates.add(member.name)
        self.notify(member)

    def notify(self, member):
        """Call the listeners."""
        for listener in self.listeners:
            listener(member)

    def refute(self, update):
        """Refute an update about this daemon by a higher incarnation.

        The update may be a suspicion after a pause of this process, or a
        record of an earlier process of the same name.
        """
        own = (self.local.incarnation, self.local.state)
        if (update.incarnation, update.state) <= own:
            return
        self.refutations += 1
        if self.is_name_conflict(update):
            self.name_conflicts += 1
            if self.name_conflicts == 1:
                log.error(
                    "vm.name {} is in use by another daemon, or the clock was "
                    "set back; announcing a higher incarnation",
                    self.local.name,
                )
        self.change_local(received=update.incarnation)

    def is_name_conflict(self, update):
        """Return whether the name is used by a live daemon elsewhere."""
        member = update.member
        if member is None or update.state is not MemberState.ALIVE:
            return False
        own = (self.local.host, self.local.gossip_port)
        return own != (member.host, member.gossip_port)

    def handle_packet(self, packet, address):
        """Process a packet and answer it."""
        self.receiver.handle_packet(packet, address)

    def status(self):
        """Return the state and the counters of membership as plain values."""
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
    """Reject a host name, since resolving it would delay every packet."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise SettingsError(
            f"vm.host: {host!r} is not an IP address; host names are not allowed"
        ) from None
