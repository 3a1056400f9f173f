"""Finds out who is dead: probes, indirect probes and suspicion."""

import asyncio
from dataclasses import dataclass, field

from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.packets import Kind, Update, encode_short
from papayabay_daemon._internal.membership.suspicion import Suspicions

HELPERS = 3
"""Members asked to probe one that did not answer, as SWIM's authors chose."""
DIRECT_SHARE = 0.3
"""Part of a period that a direct probe has: many round trips in a region."""
HELPER_SHARE = 0.3
"""Part of a period that a helper's probe has."""
LATE_SHARE = 0.25
"""Part of its time by which a timer may be late on a healthy daemon."""
LATE_MIN_SECONDS = 0.1
"""The same at least: a collection of garbage, a busy machine."""
HEALTH_MAX = 8
"""Bound of the own health score, as in Lifeguard; timeouts grow with it."""
URGENT_MAX = 8
"""Probes out of turn that are begun together."""
PROBES_FOR_OTHERS_MAX = 64
"""Probes for others under way; further requests for one are dropped."""
DEAD_PROBE_PERIODS = 10
"""Periods between two probes of one of the dead."""
MISSED_SECONDS = 60.0
MISSED_PER_PERIOD = 2
"""Members lost within a minute that are asked again in each period: nearly all
restarts take less, and two packets are no more than a probe costs."""
SEQUENCE_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class Probe:
    """A probe that waits for its answer."""

    target: str
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    nacks: int = 0


class Detector:
    """Probes one member a period, in random order, each once a round.

    Parameters
    ----------
    timing : TimingSettings
    table : MemberTable
    gossip : Gossip
    random : random.Random
    clock : callable
    apply : callable
        Takes the updates that this daemon itself concludes.
    """

    def __init__(self, timing, table, gossip, random, clock, apply):
        self.period = timing.gossip_period_ms / 1_000
        self.suspicion = timing.suspicion_ms / 1_000
        self.table = table
        self.gossip = gossip
        self.random = random
        self.clock = clock
        self.apply = apply
        self.probes = {}
        self.suspicions = Suspicions(clock, self.suspicion_timeout)
        self.round = []
        self.urgent = {}
        self.wake = asyncio.Event()
        self.sequence = random.getrandbits(32)
        self.health = 0
        self.epoch = 0
        self.periods = 0
        self.pauses = 0
        self.group = None
        self.helping = 0

    async def run(self):
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            try:
                await self.run_periods(group)
            finally:
                # Packets still come in while the tasks end; a task made
                # for one of them would raise in the socket's callback.
                self.group = None

    async def run_periods(self, group):
        """Start probes as they fall due."""
        due = self.clock()
        while True:
            await self.rest_until(due)
            self.conclude()
            for member in self.take_urgent():
                group.create_task(self.probe(member))
            if self.clock() >= due:
                due = self.clock() + self.period
                self.start_period(group)

    async def rest_until(self, due):
        """Wait for the next period or an urgent probe; notice a pause."""
        left = max(0.0, due - self.clock())
        await wait_event(self.wake, left)
        self.wake.clear()
        if self.clock() - due > self.slack(self.period):
            self.resumed()

    def slack(self, timeout):
        """Return by how much a timer may be late on a healthy daemon."""
        return max(LATE_MIN_SECONDS, timeout * LATE_SHARE)

    def resumed(self):
        """Start over after this daemon itself stood still.

        A paused daemon finds all its timers run out although the answers
        lie unread in its socket; it would declare healthy members dead, as
        seen by suspicions of many right after a resume. So what began
        before the pause counts for nothing.
        """
        self.pauses += 1
        self.epoch += 1
        self.health = min(HEALTH_MAX, self.health + 1)
        self.suspicions.restart_timeouts()

    def start_period(self, group):
        """Probe the next member, and now and then one that is dead.

        Two halves of a healed network hold each other for dead and would
        never speak again; a probe of the dead makes them refute.
        """
        self.periods += 1
        self.table.expire(self.clock())
        member = self.next_member()
        if member is not None:
            group.create_task(self.probe(member))
        for missing in self.missing():
            self.ping(missing, self.next_sequence())
        if self.periods % DEAD_PROBE_PERIODS == 0 and self.table.tombstones:
            self.probe_dead()

    def missing(self):
        """Return a few of the members that were lost a short while ago.

        A daemon that restarts finds the others by the store. While that is
        away, nobody but those who lost it can tell it who is there and which
        configuration is in force; in its turn it would be asked after many
        seconds, in which its target serves nobody.
        """
        oldest = self.clock() - MISSED_SECONDS
        lost = [name for name, died in self.table.tombstones.items() if died >= oldest]
        names = [*lost, *self.suspicions.names()]
        drawn = self.random.sample(names, min(len(names), MISSED_PER_PERIOD))
        return [self.table.members[name] for name in drawn]

    def probe_dead(self):
        """Ping one of the dead, telling it so."""
        position = self.random.randrange(len(self.table.tombstones))
        name = list(self.table.tombstones)[position]
        member = self.table.members[name]
        self.ping(member, self.next_sequence())

    def next_member(self):
        """Return the next of this round that is still there."""
        local = self.table.local.name
        for _ in range(2):
            while self.round:
                member = self.table.get(self.round.pop())
                if member is not None and member.name != local:
                    return member
            self.round = [member.name for member in self.table.live()]
            self.random.shuffle(self.round)
        return None

    def joined(self, name):
        """Give a new member a random place in the present round."""
        if not self.round:
            return
        position = self.random.randrange(len(self.round))
        self.round.append(self.round[position])
        self.round[position] = name

    def hurry(self, name):
        """Probe a member now."""
        if len(self.urgent) < self.table.live_count():
            self.urgent[name] = None
            self.wake.set()

    def take_urgent(self):
        """Return the members to probe now, bounded per turn."""
        names = list(self.urgent)[:URGENT_MAX]
        for name in names:
            del self.urgent[name]
        found = (self.table.get(name) for name in names)
        local = self.table.local
        return [member for member in found if member and member is not local]

    def next_sequence(self):
        """Return a number that no waiting probe has."""
        self.sequence = (self.sequence + 1) & SEQUENCE_MASK
        return self.sequence

    def ping(self, member, sequence, record=b""):
        """Send a ping with what the member must not miss.

        One who is suspected hears of it, to refute; and whoever is pinged
        by a leaving daemon hears that, however full the news queue is. An
        encoded record goes with it if one is given.
        """
        updates = [member] if self.is_doubted(member) else []
        if self.table.local.state is MemberState.LEAVING:
            updates.append(self.table.local)
        first = record + b"".join(encode_short(other) for other in updates)
        address = (member.host, member.gossip_port)
        self.gossip.send(Kind.PING, sequence, member.name, address, first=first)

    def is_doubted(self, member):
        """Return whether a member has something to refute."""
        return member.state in (MemberState.SUSPECT, MemberState.DEAD)

    async def probe(self, member):
        """Probe a member directly, then through others, then suspect it."""
        incarnation = member.incarnation
        epoch = self.epoch
        sequence = self.next_sequence()
        probe = self.probes[sequence] = Probe(member.name)
        scaled = self.period * (1 + self.health / 2)
        try:
            self.ping(member, sequence)
            if await self.answered(probe, scaled * DIRECT_SHARE):
                return self.succeeded(member)
            helpers = self.ask_helpers(member, sequence)
            if await self.answered(probe, scaled * (1 - DIRECT_SHARE)):
                return self.succeeded(member)
        finally:
            del self.probes[sequence]
        if epoch == self.epoch and incarnation == member.incarnation:
            self.failed(member, probe, helpers)

    async def answered(self, probe, timeout):
        """Return whether a probe was answered in time.

        When the timer itself fires late, the answer may lie unread; the
        probe is then void, see `resumed`.
        """
        started = self.clock()
        if await wait_event(probe.answered, timeout):
            return True
        if self.clock() - started > timeout + self.slack(timeout):
            self.resumed()
        return False

    def ask_helpers(self, member, sequence):
        """Ask others to probe a member; return how many."""
        live = self.table.live()
        drawn = self.random.sample(live, min(len(live), HELPERS + 2))
        local = self.table.local
        helpers = [other for other in drawn if other not in (local, member)][:HELPERS]
        for helper in helpers:
            address = (helper.host, helper.gossip_port)
            self.gossip.send(Kind.PING_VIA, sequence, member.name, address)
        return len(helpers)

    def succeeded(self, member):
        """Note an answer."""
        self.health = max(0, self.health - 1)
        if member.state is MemberState.LEAVING:
            self.suspicions.discard(member.name)

    def failed(self, member, probe, helpers):
        """Suspect a member; doubt oneself when not even helpers answered."""
        if helpers and not probe.nacks:
            self.health = min(HEALTH_MAX, self.health + 1)
        if member.state is MemberState.ALIVE:
            suspect = Update(member.name, member.incarnation, MemberState.SUSPECT)
            self.apply(suspect)
        elif member.state is MemberState.LEAVING:
            self.suspicions.add(member)

    def suspicion_timeout(self):
        """Return the seconds that a suspect has; more when unwell oneself."""
        return self.suspicion * (1 + self.health)

    def conclude(self):
        """Declare dead whose time is over."""
        for name, incarnation in self.suspicions.pop_expired():
            self.apply(Update(name, incarnation, MemberState.DEAD))

    def take_ack(self, packet):
        """Note the answer to a probe."""
        probe = self.probes.get(packet.sequence)
        if probe is not None and packet.target == probe.target:
            probe.answered.set()

    def take_nack(self, packet):
        """Note that a helper lives but got no answer either."""
        probe = self.probes.get(packet.sequence)
        if probe is not None:
            probe.nacks += 1

    def help(self, packet, address):
        """Probe a member for another daemon."""
        member = self.table.get(packet.target)
        if self.group is None or self.helping >= PROBES_FOR_OTHERS_MAX:
            return
        if member is None or member is self.table.local:
            return
        self.helping += 1
        self.group.create_task(self.probe_for(packet, member, address))

    async def probe_for(self, packet, member, address):
        """Probe, and pass on the answer or the lack of it."""
        sequence = self.next_sequence()
        probe = self.probes[sequence] = Probe(member.name)
        try:
            self.ping(member, sequence)
            answered = await wait_event(probe.answered, self.period * HELPER_SHARE)
        finally:
            del self.probes[sequence]
            self.helping -= 1
        kind = Kind.ACK if answered else Kind.NACK
        self.gossip.send(kind, packet.sequence, member.name, address)


async def wait_event(event, timeout):
    """Return whether an event was set within a time.

    Not by `asyncio.wait_for`: in Python 3.11 it drops a cancellation that
    comes together with the event, and the daemon would never end.
    """
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return False
    return True
