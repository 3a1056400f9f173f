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
PARTNER_COUNT = 8
"""Members that the registry is reconciled with in turn. They stay the same, so
that reconciliation opens few links."""
BATCH_DELAY_S = 0.05
"""How long updates are batched. Crashes are sent at once, because the calls
that a crash has interrupted are retried within milliseconds."""
RECONCILE_INTERVAL_S = 1.0
START_DELAY_S = 1.0
"""Delay of the first synchronization. By then a daemon knows its peers, and
need not read the store."""
SYNC_RETRY_S = 0.25
"""First delay between attempts to synchronize; it grows up to
`RECONCILE_INTERVAL_S`."""
log = logbook.Logger("papayabay.quarantine")


class QuarantinePropagation:
    """Propagates updates at once, and reconciles registries periodically.

    In a small fleet, updates are sent to all members directly; in a large one,
    the members that receive them forward them. A daemon that has started or
    was isolated synchronizes with a peer that is synchronized itself.

    Parameters
    ----------
    registry : QuarantineRegistry
    members : Membership
        Used as `Members`, and for `seconds_since_contact`.
    links : Links
    rows : QuarantineRows
        Read from the store if no peer is synchronized.
    readers : Readers
        Daemons that read the store; preferred as peers to synchronize with.
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
        self.updates_ready = asyncio.Event()
        self.urgent_update = asyncio.Event()
        self.partners = []
        self.is_synchronized = False
        self.was_isolated = False
        self.group = None
        self.service = ""
        self.counters = {"told": 0, "heard": 0, "evened_out": 0, "peer_errors": 0}
        registry.listeners.append(self.updates_pending)
        links.handle_requests(TOPIC, self.handle_request)

    async def run(self):
        """Propagate, reconcile and synchronize until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            group.create_task(self.rows.run())
            group.create_task(self.run_propagation())
            group.create_task(self.run_reconciliation())

    # Exchanges with peers.

    async def handle_request(self, payload, peer):
        """Merge a peer's message; answer with the registry if it differs."""
        message = decode(payload)
        before = self.digest.current()
        self.receive(message)
        after = self.digest.current()
        return self.message(() if message.digest in (after, before) else None)

    def message(self, names):
        """Return the registry, or a part of it, as an encoded message."""
        digest, era = self.digest.current(), self.rows.table.era.current
        complete = self.is_synchronized
        return encode(describe(self.registry, digest, complete, names, era or 0))

    async def exchange(self, peer, names=()):
        """Send a peer a part of the registry, and merge its answer.

        Parameters
        ----------
        peer : Member
        names : set of bytes or None
            Crashes and fingerprints to send; None for all.

        Returns
        -------
        RegistryMessage or None
            None if the peer did not answer.
        """
        request = self.message(names)
        try:
            answer = decode(
                await self.links.request(peer, TOPIC, request, PEER_TIMEOUT_S)
            )
        except (ProtocolError, OSError, TimeoutError) as error:
            self.counters["peer_errors"] += 1
            log.info(
                "quarantine exchange with {} failed: {!r}; skipping it",
                peer.name,
                error,
            )
            return None
        self.receive(answer)
        return answer

    def receive(self, message):
        """Merge a peer's message, and forward the updates that are new.

        Local updates stay pending, because they are sent to more members than
        forwarded ones.
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
        self.updates_ready.set()
        if urgent:
            self.urgent_update.set()

    async def next_batch(self):
        """Wait for updates, and batch them unless one is urgent."""
        await self.updates_ready.wait()
        await wait_event(self.urgent_update, BATCH_DELAY_S)
        self.updates_ready.clear()
        self.urgent_update.clear()

    async def run_propagation(self):
        """Send batches of local updates to other members."""
        while True:
            await self.next_batch()
            pending = self.registry.take_pending()
            for peer in self.initial_peers():
                self.group.create_task(self.propagate(peer, pending))

    def initial_peers(self):
        """Return the members that local updates are sent to."""
        serving = self.members.upstreams(self.service) if self.service else []
        serving = serving[: FAN_OUT // 2]
        drawn = random_peers(self.members, FAN_OUT, self.random)
        chosen = {peer.name: peer for peer in [*serving, *drawn]}
        chosen.pop(self.members.local.name, None)
        return list(chosen.values())[:FAN_OUT]

    async def propagate(self, peer, pending):
        """Send updates to a peer."""
        self.counters["told"] += 1
        await self.exchange(peer, pending)

    def forward(self, pending):
        """Forward received updates, unless the sender reached all members."""
        if not pending:
            return
        self.rows.write_requested.set()
        if self.group is None or len(self.members.live()) <= FAN_OUT:
            return
        for peer in random_peers(self.members, FORWARD_FAN_OUT, self.random):
            self.group.create_task(self.propagate(peer, pending))

    # Reconciliation.

    async def run_reconciliation(self):
        """Synchronize, then reconcile with the partners in turn."""
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
        self.rows.write_requested.set()
        peer = self.next_partner()
        if peer is not None:
            self.counters["evened_out"] += 1
            await self.reconcile(peer)

    async def reconcile(self, peer):
        """Exchange full registries with a peer if the digests differ."""
        answer = await self.exchange(peer)
        if answer is not None and answer.digest != self.digest.current():
            await self.exchange(peer, None)

    def next_partner(self):
        """Return the next partner, or None if there is no peer."""
        kept = [name for name in self.partners if self.members.get(name)]
        if len(kept) < PARTNER_COUNT:
            drawn = random_peers(self.members, PARTNER_COUNT, self.random)
            kept += [peer.name for peer in drawn if peer.name not in kept]
        if not kept:
            return None
        name, *others = kept[:PARTNER_COUNT]
        self.partners = [*others, name]
        return self.members.get(name)

    # Synchronization.

    async def synchronize(self):
        """Synchronize with a peer or the store; return whether it is done."""
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
        """Require synchronization again once an isolation has ended."""
        if self.members.seconds_since_contact() > self.readers.isolation_timeout:
            self.was_isolated = True
        elif self.was_isolated:
            self.was_isolated = self.is_synchronized = False

    def draw_sync_peer(self):
        """Return a random reader of the store, or else a random member.

        Both are equally likely.
        """
        local = self.members.local
        readers = [peer for peer in self.readers.current() if peer is not local]
        if readers and self.random.random() < 0.5:
            return self.random.choice(readers)
        drawn = random_peers(self.members, 1, self.random)
        return drawn[0] if drawn else None
