"""Replicates the quarantine registry between daemons."""

import asyncio

import logbook

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.membership.detector import wait_event
from papayabay_daemon._internal.membership.sampling import random_peers
from papayabay_daemon._internal.quarantine.messages import (
    TOPIC,
    RegistryDigest,
    decode,
    describe,
    encode,
    merge,
)

PEER_TIMEOUT_S = 1.0
FAN_OUT = 32
"""Members that local updates are sent to: all of a small fleet."""
FORWARD_FAN_OUT = 4
"""Members that each member of a larger fleet forwards updates to."""
PARTNERS = 8
"""Members that the registry is reconciled with in turn. They are kept, so that
few links are made for it."""
BATCH_DELAY_S = 0.05
"""How long updates are batched, but for crashes: calls that a crash has cut
are retried within milliseconds."""
RECONCILE_INTERVAL_S = 1.0
START_DELAY_S = 1.0
"""Delay of the first synchronization. By then a daemon knows its peers, and
need not read the store."""
SYNC_RETRY_S = 0.25
log = logbook.Logger("papayabay.quarantine")


class QuarantinePropagation:
    """Propagates updates at once, and reconciles registries periodically.

    Updates go to all members of a small fleet directly, and from member to
    member in a large one. A daemon that has started or was isolated
    synchronizes with a peer that has done so itself.

    Parameters
    ----------
    registry : QuarantineRegistry
    members : Membership
        Besides `Members`: `silence`.
    links : Links
    rows : QuarantineRows
        Read where no peer can be asked.
    readers : Readers
        Preferred as peers to synchronize with.
    random : random.Random
    """

    def __init__(self, registry, members, links, rows, readers, random):
        self.registry = registry
        self.members = members
        self.links = links
        self.rows = rows
        self.readers = readers
        self.random = random
        self.digest = RegistryDigest(registry)
        self.due = asyncio.Event()
        self.urgent = asyncio.Event()
        self.partners = []
        self.is_synchronized = False
        self.was_isolated = False
        self.group = None
        self.service = ""
        self.counters = {"told": 0, "heard": 0, "evened_out": 0, "peer_errors": 0}
        registry.listeners.append(self.updates_pending)
        links.handle_requests(TOPIC, self.answer)

    async def run(self):
        """Propagate, reconcile and synchronize until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            group.create_task(self.rows.run())
            group.create_task(self.run_propagation())
            group.create_task(self.run_reconciliation())

    # Exchanges with peers.

    async def answer(self, payload, peer):
        """Merge a peer's message; answer with what it may lack."""
        message = decode(payload)
        known = self.digest.current()
        self.receive(message)
        own = self.digest.current()
        return self.message(() if message.digest in (own, known) else None)

    def message(self, names):
        """Return the registry, or a part of it, as an encoded message."""
        own, era = self.digest.current(), self.rows.table.era.current
        complete = self.is_synchronized
        return encode(describe(self.registry, own, complete, names, era or 0))

    async def exchange(self, peer, names=()):
        """Send a peer a part of the registry, and merge its answer.

        Returns
        -------
        RegistryMessage or None
            None when the peer did not answer.
        """
        request = self.message(names)
        try:
            answer = decode(
                await self.links.request(peer, TOPIC, request, PEER_TIMEOUT_S)
            )
        except (ProtocolError, OSError, TimeoutError) as error:
            self.counters["peer_errors"] += 1
            log.info("no quarantine updates from {}: {!r}", peer.name, error)
            return None
        self.receive(answer)
        return answer

    def receive(self, message):
        """Merge a peer's message, and forward what is new of it.

        Local updates stay pending: they go to more members than forwarded
        ones.
        """
        local = self.registry.take_pending()
        merge(self.registry, message)
        received = self.registry.take_pending()
        self.registry.pending |= local
        self.counters["heard"] += bool(received)
        self.forward(received)
        self.rows.observe_era(message.era)

    # Propagation.

    def set_service(self, service):
        """Set the service whose daemons receive updates first."""
        self.service = service

    def updates_pending(self, urgent):
        """Schedule the propagation of local updates."""
        self.due.set()
        if urgent:
            self.urgent.set()

    async def next_batch(self):
        """Wait for updates, and for more of them unless one is urgent."""
        await self.due.wait()
        await wait_event(self.urgent, BATCH_DELAY_S)
        self.due.clear()
        self.urgent.clear()

    async def run_propagation(self):
        """Send local updates to others."""
        while True:
            await self.next_batch()
            pending = self.registry.take_pending()
            for peer in self.first_peers():
                self.group.create_task(self.propagate(peer, pending))

    def first_peers(self):
        """Return the members that local updates are sent to."""
        beside = self.members.upstreams(self.service) if self.service else []
        beside = beside[: FAN_OUT // 2]
        drawn = random_peers(self.members, FAN_OUT, self.random)
        chosen = {peer.name: peer for peer in [*beside, *drawn]}
        chosen.pop(self.members.local.name, None)
        return list(chosen.values())[:FAN_OUT]

    async def propagate(self, peer, pending):
        """Send a peer some updates."""
        self.counters["told"] += 1
        await self.exchange(peer, pending)

    def forward(self, pending):
        """Forward received updates, unless all members were sent them."""
        if not pending:
            return
        self.rows.wanted.set()
        if self.group is None or len(self.members.live()) <= FAN_OUT:
            return
        for peer in random_peers(self.members, FORWARD_FAN_OUT, self.random):
            self.group.create_task(self.propagate(peer, pending))

    # Reconciliation.

    async def run_reconciliation(self):
        """Synchronize, then reconcile with one partner after the other."""
        await asyncio.sleep(START_DELAY_S)
        pause = SYNC_RETRY_S
        while True:
            self.detect_isolation()
            if self.is_synchronized:
                pause = SYNC_RETRY_S
                await self.reconcile_once()
                jitter = self.random.uniform(0.8, 1.2)
                await asyncio.sleep(RECONCILE_INTERVAL_S * jitter)
                continue
            self.is_synchronized = await self.synchronize()
            await asyncio.sleep(pause)
            pause = min(RECONCILE_INTERVAL_S, pause * 1.5)

    async def reconcile_once(self):
        """Reconcile with the next partner, unless the registry is empty."""
        if self.registry.is_empty:
            return
        self.rows.expire()
        self.rows.wanted.set()
        peer = self.next_partner()
        if peer is not None:
            self.counters["evened_out"] += 1
            await self.reconcile(peer)

    async def reconcile(self, peer):
        """Exchange whole registries with a peer if the digests differ."""
        answer = await self.exchange(peer)
        if answer is not None and answer.digest != self.digest.current():
            await self.exchange(peer, None)

    def next_partner(self):
        """Return the partner whose turn it is, or None without any."""
        kept = [name for name in self.partners if self.members.get(name)]
        if len(kept) < PARTNERS:
            drawn = random_peers(self.members, PARTNERS, self.random)
            kept += [peer.name for peer in drawn if peer.name not in kept]
        if not kept:
            return None
        name, *others = kept[:PARTNERS]
        self.partners = [*others, name]
        return self.members.get(name)

    # Synchronization.

    async def synchronize(self):
        """Ask a peer or the store; return whether that was complete."""
        peer = self.draw_sync_peer()
        if peer is not None:
            answer = await self.exchange(peer)
            if answer is not None and answer.complete:
                return True
        if not self.readers.must_read() or not await self.rows.read():
            return False
        self.registry.notify(urgent=True)
        return True

    def detect_isolation(self):
        """Synchronize again after this daemon received nothing for long."""
        if self.members.seconds_since_packet() > self.readers.isolation_timeout:
            self.was_isolated = True
        elif self.was_isolated:
            self.was_isolated = self.is_synchronized = False

    def draw_sync_peer(self):
        """Return a reader of the store or any member, with equal chances."""
        local = self.members.local
        readers = [peer for peer in self.readers.current() if peer is not local]
        if readers and self.random.random() < 0.5:
            return self.random.choice(readers)
        drawn = random_peers(self.members, 1, self.random)
        return drawn[0] if drawn else None
