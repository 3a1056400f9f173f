"""Failure detection by probes, indirect probes and suspicion, as in SWIM."""

import asyncio
from dataclasses import dataclass, field

from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.packets import Kind, Update, encode_short
from papayabay_daemon._internal.membership.suspicion import Suspicions

HELPERS = 3
"""Members that probe one that did not answer, as many as in SWIM."""
DIRECT_SHARE = 0.3
"""Timeout of a direct probe as a share of the period. It allows for many round
trips within a region."""
HELPER_SHARE = 0.3
"""Timeout of a helper's probe as a share of the period."""
TIMER_LAG_SHARE = 0.25
"""Share of its timeout by which a timer may fire late on a healthy daemon."""
TIMER_LAG_MIN_SECONDS = 0.1
"""Lag that is allowed for the shortest timers too. Garbage collection and a
busy machine delay them by as much."""
HEALTH_MAX = 8
"""Upper bound of the local health score, as in Lifeguard: 0 is healthy, and
the timeouts grow with the score."""
URGENT_MAX = 8
"""Out-of-turn probes that are started together."""
INDIRECT_PROBES_MAX = 64
"""In-flight probes on behalf of others; further requests are dropped."""
DEAD_PROBE_PERIODS = 10
"""Periods between two pings of a random dead member."""
RECENTLY_LOST_SECONDS = 60.0
"""Age up to which a lost member may be restarting; nearly all restarts take
less."""
LOST_PINGS_PER_PERIOD = 2
"""Recently lost members that are pinged in each period. Two packets are no
more than a probe costs."""
SEQUENCE_MASK = 0xFFFFFFFF


@dataclass(slots=True)
class Probe:
    """An in-flight probe.

    Attributes
    ----------
    target : str
        Name of the probed member.
    answered : asyncio.Event
    nacks : int
        Helpers that replied without an answer from the target.
    """

    target: str
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    nacks: int = 0


class Detector:
    """Probes one member per period, in random order, each once per round.

    Parameters
    ----------
    timing : TimingSettings
    table : MemberTable
    gossip : Gossip
    random : random.Random
    clock : callable
    apply : callable
        Called with each update that results from a failed probe or an
        expired suspicion.

    Attributes
    ----------
    probes : dict of int to Probe
        In-flight probes by sequence number.
    round : list of str
        Names that are still to be probed in this round, the next one last.
    urgent : dict of str to None
        Names to be probed out of turn, in order.
    health : int
        Local health score; 0 is healthy, up to `HEALTH_MAX`.
    epoch : int
        Raised after a pause of this process; probes of an earlier epoch
        are void.
    contact_at : float
        When a member last answered a probe of this daemon.
    contact_listeners : list of callable
        Called with the name of each member that answers a probe.
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
        self.indirect_probes = 0
        self.contact_at = clock()
        self.contact_listeners = []

    async def run(self):
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            try:
                await self.run_periods(group)
            finally:
                # Packets still arrive while the tasks end. Creating a task
                # for one of them would raise in the socket's callback.
                self.group = None

    async def run_periods(self, group):
        """Start the probes of each period, and urgent ones in between."""
        due = self.clock()
        while True:
            await self.wait_until(due)
            self.expire_suspicions()
            for member in self.pop_urgent():
                group.create_task(self.probe(member))
            if self.clock() >= due:
                due = self.clock() + self.period
                self.start_period(group)

    async def wait_until(self, due):
        """Wait for the next period or an urgent probe.

        A timer that fires much too late shows that this process was paused.
        """
        left = max(0.0, due - self.clock())
        await wait_event(self.wake, left)
        self.wake.clear()
        if self.clock() - due > self.timer_lag_limit(self.period):
            self.handle_pause()

    def timer_lag_limit(self, timeout):
        """Return by how much a timer may be late on a healthy daemon."""
        return max(TIMER_LAG_MIN_SECONDS, timeout * TIMER_LAG_SHARE)

    def handle_pause(self):
        """Void the running probes and timeouts after a pause of this process.

        After a pause all timers have run out, although the answers may lie
        unread in the socket. The daemon would suspect many healthy members
        right after it resumes, and declare them dead. So probes from before
        the pause are ignored, and suspicions get their full timeout again.
        """
        self.pauses += 1
        self.epoch += 1
        self.health = min(HEALTH_MAX, self.health + 1)
        self.suspicions.restart_timeouts()

    def start_period(self, group):
        """Probe the next member and ping lost ones.

        After a network partition heals, each side considers the other one
        dead and would never contact it again. A ping of a dead member makes
        it refute.
        """
        self.periods += 1
        self.table.expire(self.clock())
        member = self.next_member()
        if member is not None:
            group.create_task(self.probe(member))
        for lost in self.recently_lost():
            self.ping(lost, self.next_sequence())
        if self.periods % DEAD_PROBE_PERIODS == 0 and self.table.tombstones:
            self.ping_dead()

    def recently_lost(self):
        """Return a few random members that were lost a short while ago.

        A restarted daemon finds the others through the store. During a store
        outage only the daemons that lost it can contact it, and so tell it
        the members and the configuration in force. Pinged only in its turn,
        it would wait for many seconds, while its target serves no calls.
        """
        oldest = self.clock() - RECENTLY_LOST_SECONDS
        lost = [name for name, died in self.table.tombstones.items() if died >= oldest]
        names = [*lost, *self.suspicions.names()]
        sample = self.random.sample(names, min(len(names), LOST_PINGS_PER_PERIOD))
        return [self.table.members[name] for name in sample]

    def ping_dead(self):
        """Ping a random dead member, telling it that it is declared dead."""
        position = self.random.randrange(len(self.table.tombstones))
        name = list(self.table.tombstones)[position]
        member = self.table.members[name]
        self.ping(member, self.next_sequence())

    def next_member(self):
        """Return the next live member of this round, or None.

        A new round begins when all members of the last one were probed.
        """
        local = self.table.local.name
        for _ in range(2):
            while self.round:
                member = self.table.get(self.round.pop())
                if member is not None and member.name != local:
                    return member
            self.round = [member.name for member in self.table.live()]
            self.random.shuffle(self.round)
        return None

    def add_to_round(self, name):
        """Insert a new member at a random position of the current round."""
        if not self.round:
            return
        position = self.random.randrange(len(self.round))
        self.round.append(self.round[position])
        self.round[position] = name

    def probe_soon(self, name):
        """Queue a member for a probe out of turn."""
        if len(self.urgent) < self.table.live_count():
            self.urgent[name] = None
            self.wake.set()

    def pop_urgent(self):
        """Remove and return up to `URGENT_MAX` members to be probed now."""
        names = list(self.urgent)[:URGENT_MAX]
        for name in names:
            del self.urgent[name]
        found = (self.table.get(name) for name in names)
        local = self.table.local
        return [member for member in found if member and member is not local]

    def next_sequence(self):
        """Return a sequence number that no in-flight probe has."""
        self.sequence = (self.sequence + 1) & SEQUENCE_MASK
        return self.sequence

    def ping(self, member, sequence, record=b""):
        """Send a ping with the updates that this member has to receive.

        A suspected or dead member receives that state, so that it can
        refute. A leaving daemon sends its own state with each ping, however
        full the update queue is.

        Parameters
        ----------
        member : Member
        sequence : int
        record : bytes
            Encoded update to send in addition.
        """
        updates = [member] if self.needs_refutation(member) else []
        if self.table.local.state is MemberState.LEAVING:
            updates.append(self.table.local)
        required = record + b"".join(encode_short(other) for other in updates)
        address = (member.host, member.gossip_port)
        self.gossip.send(Kind.PING, sequence, member.name, address, required=required)

    def needs_refutation(self, member):
        """Return whether a live member would have to refute its state."""
        return member.state in (MemberState.SUSPECT, MemberState.DEAD)

    async def probe(self, member):
        """Probe a member directly, then through helpers, then suspect it."""
        incarnation = member.incarnation
        epoch = self.epoch
        sequence = self.next_sequence()
        probe = self.probes[sequence] = Probe(member.name)
        scaled = self.period * (1 + self.health / 2)
        try:
            self.ping(member, sequence)
            if await self.wait_for_answer(probe, scaled * DIRECT_SHARE):
                return self.probe_succeeded(member)
            helpers = self.send_helper_requests(member, sequence)
            if await self.wait_for_answer(probe, scaled * (1 - DIRECT_SHARE)):
                return self.probe_succeeded(member)
        finally:
            del self.probes[sequence]
        if epoch == self.epoch and incarnation == member.incarnation:
            self.probe_failed(member, probe, helpers)

    async def wait_for_answer(self, probe, timeout):
        """Return whether a probe was answered within the timeout.

        When the timer itself fires late, the answer may lie unread in the
        socket, and the probe is void; see `handle_pause`.
        """
        started = self.clock()
        if await wait_event(probe.answered, timeout):
            return True
        if self.clock() - started > timeout + self.timer_lag_limit(timeout):
            self.handle_pause()
        return False

    def send_helper_requests(self, member, sequence):
        """Ask random members to probe a member; return their number."""
        live = self.table.live()
        sample = self.random.sample(live, min(len(live), HELPERS + 2))
        local = self.table.local
        helpers = [other for other in sample if other not in (local, member)][:HELPERS]
        for helper in helpers:
            address = (helper.host, helper.gossip_port)
            self.gossip.send(Kind.PING_VIA, sequence, member.name, address)
        return len(helpers)

    def probe_succeeded(self, member):
        """Improve the local health score; clear a leaving member's timeout."""
        self.health = max(0, self.health - 1)
        if member.state is MemberState.LEAVING:
            self.suspicions.discard(member.name)

    def probe_failed(self, member, probe, helpers):
        """Suspect a member.

        When no helper replied either, this daemon itself may be the cause,
        and its health score gets worse.
        """
        if helpers and not probe.nacks:
            self.health = min(HEALTH_MAX, self.health + 1)
        if member.state is MemberState.ALIVE:
            suspect = Update(member.name, member.incarnation, MemberState.SUSPECT)
            self.apply(suspect)
        elif member.state is MemberState.LEAVING:
            self.suspicions.add(member)

    def suspicion_timeout(self):
        """Return the seconds that a suspect has to refute.

        They grow with the local health score.
        """
        return self.suspicion * (1 + self.health)

    def expire_suspicions(self):
        """Declare the members dead whose suspicion has expired."""
        for name, incarnation in self.suspicions.pop_expired():
            self.apply(Update(name, incarnation, MemberState.DEAD))

    def handle_ack(self, packet):
        """Mark the probe that a packet answers as answered."""
        probe = self.probes.get(packet.sequence)
        if probe is not None and packet.target == probe.target:
            probe.answered.set()
            self.record_contact(packet.sender)

    def handle_nack(self, packet):
        """Count a helper that is alive but got no answer from the target."""
        probe = self.probes.get(packet.sequence)
        if probe is not None:
            probe.nacks += 1
            self.record_contact(packet.sender)

    def record_contact(self, name):
        """Record that packets pass in both directions to and from a member.

        A packet that arrives unasked shows only one direction.
        """
        self.contact_at = self.clock()
        for listener in self.contact_listeners:
            listener(name)

    def handle_ping_via(self, packet, address):
        """Start a probe on behalf of another daemon."""
        member = self.table.get(packet.target)
        if self.group is None or self.indirect_probes >= INDIRECT_PROBES_MAX:
            return
        if member is None or member is self.table.local:
            return
        self.indirect_probes += 1
        self.group.create_task(self.probe_for(packet, member, address))

    async def probe_for(self, packet, member, address):
        """Probe a member, and send the requester an ACK or a NACK."""
        sequence = self.next_sequence()
        probe = self.probes[sequence] = Probe(member.name)
        try:
            self.ping(member, sequence)
            answered = await wait_event(probe.answered, self.period * HELPER_SHARE)
        finally:
            del self.probes[sequence]
            self.indirect_probes -= 1
        kind = Kind.ACK if answered else Kind.NACK
        self.gossip.send(kind, packet.sequence, member.name, address)


async def wait_event(event, timeout):
    """Return whether an event was set within the timeout.

    `asyncio.wait_for` is not used, because that of Python 3.11 drops a
    cancellation that comes together with the event; the daemon would then
    never end.
    """
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return False
    return True
