"""Manages the links of a daemon to its peers."""

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass, field

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.interfaces import CallHandler, RequestHandler
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.links.counters import LinkCounters, RateLimitedLog
from papayabay_daemon._internal.links.dialling import Dialler, PeerEntry
from papayabay_daemon._internal.links.heartbeats import HeartbeatLoop
from papayabay_daemon._internal.links.incoming import FORWARD, RUN
from papayabay_daemon._internal.links.limits import (
    CLOSE_SECONDS,
    MAX_LINKS_PER_PEER,
    MAX_PAYLOAD_BYTES,
    MAX_PEERS,
    MAX_UNAUTHENTICATED_LINKS,
)
from papayabay_daemon._internal.links.link import Link
from papayabay_daemon._internal.links.outgoing import ANSWER_GRACE_SECONDS

log = logbook.Logger("papayabay.links")


@dataclass(slots=True)
class Handlers:
    """Handlers of the peers' calls and control requests.

    Attributes
    ----------
    run, forward : CallHandler or None
        Of calls to run and of calls forwarded to the home of their key.
    topics : dict of str to RequestHandler
        Of control requests, by topic.
    """

    run: CallHandler | None = None
    forward: CallHandler | None = None
    topics: dict[str, RequestHandler] = field(default_factory=dict)


class NoConfirmations:
    """The `Confirmations` of a daemon that neither sends nor records any."""

    def own_confirmation(self):
        """Return None."""
        return None

    def peer_confirmed(self, version, age_ms, asked_at):
        """Do nothing."""


class PeerLinks:
    """Links to other daemons; see `interfaces.Links`.

    Parameters
    ----------
    settings : DaemonSettings
    local : Member
        This daemon; `start` sets its `link_port` if that is 0.
    rng : random.Random or None
        Source of the backoff's jitter.

    Attributes
    ----------
    peers : dict of str to PeerEntry
    all_links : set of Link
        All connections, also those whose handshake is not complete.
    unauthenticated : int
        Accepted connections whose handshake is not complete.
    """

    def __init__(self, settings, local, rng=None):
        self.settings = settings
        self.local = local
        self.dialler = Dialler(self, rng or random.Random())
        self.counters = LinkCounters()
        self.rate_limited_log = RateLimitedLog(log)
        self.confirmations = NoConfirmations()
        self.handlers = Handlers()
        self.peers = {}
        self.all_links = set()
        self.heartbeats = HeartbeatLoop(settings.timing)
        self.unauthenticated = 0
        self.leaving_callbacks = []
        self.unresponsive_callbacks = []
        self.server = None
        self.closing = False

    async def start(self):
        """Listen for links of other daemons."""
        loop = asyncio.get_running_loop()
        vm = self.settings.vm
        port = self.local.link_port or vm.link_port
        self.server = await loop.create_server(lambda: Link(self), vm.host, port)
        self.local.link_port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and close all links; calls in flight fail."""
        self.closing = True
        if self.server is not None:
            self.server.close()
        known = self.peers.values()
        dials = [peer.dialling for peer in known if peer.dialling]
        dials += [peer.reconnecting for peer in known if peer.reconnecting]
        for dial in dials:
            dial.cancel()
        tasks = [
            task for link in self.all_links for task in link.incoming.running_tasks()
        ]
        for link in list(self.all_links):
            link.close()
        self.heartbeats.close()
        if dials or tasks:
            await asyncio.wait([*dials, *tasks], timeout=CLOSE_SECONDS)

    def handle_calls(self, run, forward):
        """Set the handlers of incoming calls and of forwarded calls."""
        self.handlers.run = run
        self.handlers.forward = forward

    def handle_requests(self, topic, handler):
        """Set the handler of one topic of control requests."""
        self.handlers.topics[topic] = handler

    def on_leaving(self, callback):
        """Add a callback that gets the name of a peer that is leaving."""
        self.leaving_callbacks.append(callback)

    async def announce_leaving(self):
        """Tell all peers that this daemon is leaving."""
        for link in list(self.all_links):
            if link.is_open:
                link.send_leaving()

    def call(self, peer, call):
        """Send a call and return its answer; see `Links.call`.

        Returns the link's own coroutine where possible: one that only awaits
        another costs every call a layer more.
        """
        entry = self.peers.get(peer.name)
        if entry is not None and entry.links:
            link = entry.links[-1]
            if not link.paused:
                link.member = peer
                return link.outgoing.call(call, RUN)
        return self.call_when_ready(peer, call)

    async def call_when_ready(self, peer, call):
        """Send a call once there is a link that takes it."""
        remaining = call.remaining()
        if remaining <= 0.0:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        try:
            with CallTimeout(remaining + ANSWER_GRACE_SECONDS):
                return await self.send(peer, call, RUN)
        except TimeoutError:
            raise CallError(ErrorKind.EXPIRED) from None

    def forward(self, peer, call):
        """Send a call to the home of its key; see `Links.forward`."""
        return self.send(peer, call, FORWARD)

    async def send(self, peer, call, purpose):
        """Send a call on the newest link; dial one if there is none.

        The caller limits the time that this takes.
        """
        try:
            link = self.live_link(peer.name) or await self.dialler.dial(peer)
        except CallError as error:
            if error.kind is ErrorKind.LINK_UNAVAILABLE:
                self.counters.calls_unsent += 1
            raise
        link.member = peer
        return await link.outgoing.call(call, purpose, expires=False)

    async def request(self, peer, topic, payload, timeout):
        """Send a control request and return the peer's reply.

        Parameters
        ----------
        peer : Member
        topic : str
        payload : bytes
            At most `MAX_PAYLOAD_BYTES`.
        timeout : float
            Seconds to wait for the reply; dialling is not included.

        Raises
        ------
        ProtocolError
            The peer replied with an error, or there is no link to it.
        TimeoutError
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ProtocolError(f"payload of {len(payload)} bytes")
        try:
            link = self.live_link(peer.name) or await self.dialler.dial(peer)
        except CallError as error:
            raise ProtocolError(str(error)) from None
        return await link.outgoing.request(topic, payload, timeout)

    async def replace_silent_link(self, peer, seconds):
        """Open another link if nothing came over the newest one for a while.

        Both ends of a silent link often replace it at the same time, so that
        the peer may have opened the new link just now. The silent link is left
        to its liveness check, which a heartbeat starts: calls on it may still
        get their answers.
        """
        newest = self.live_link(peer.name)
        if newest is None:
            return False
        if newest.seconds_silent() < seconds:
            return now() - newest.since < seconds
        newest.send_ping()
        with suppress(CallError):
            await self.dialler.dial(peer)
        return self.live_link(peer.name) not in (None, newest)

    def live_link(self, name):
        """Return a peer's newest link that is not retired, or None."""
        peer = self.peers.get(name)
        return peer.links[-1] if peer is not None and peer.links else None

    def entry_of(self, name):
        """Return a peer's entry; create it if needed."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                entries = self.peers.items()
                self.peers = {
                    key: entry for key, entry in entries if not entry.is_disposable
                }
            peer = self.peers[name] = PeerEntry()
        return peer

    # Called by links.

    def accept_link(self, link):
        """Register a connection; return False if there are too many.

        Anyone who reaches the port can connect. Without a limit, connections
        that never authenticate would use up the file descriptors.
        """
        if self.closing or (
            not link.dialled and self.unauthenticated >= MAX_UNAUTHENTICATED_LINKS
        ):
            return False
        self.unauthenticated += not link.dialled
        self.all_links.add(link)
        return True

    def link_opened(self, link):
        """Use a link whose peer is authenticated."""
        self.unauthenticated -= not link.dialled
        self.counters.links_opened += 1
        peer = self.entry_of(link.peer_name)
        newest = max((old.incarnation for old in peer.links), default=0)
        if link.incarnation < newest:
            # A connection of an earlier process of the peer. Calls sent on it
            # would be lost with that process.
            link.reject(f"incarnation {link.incarnation} is older than {newest}")
            return
        self.replace_links(peer, link)
        peer.links.append(link)

    def replace_links(self, peer, link):
        """Retire links of older incarnations, or the oldest of too many.

        They are not closed at once: an incarnation also grows without a
        restart, and then calls on the older link still get their answers. If
        the older process is gone, the link times out.
        """
        older = [old for old in peer.links if old.incarnation < link.incarnation]
        spare = peer.links[: len(peer.links) + 1 - MAX_LINKS_PER_PEER]
        for old in older or spare:
            self.counters.links_replaced += 1
            old.retire()
            old.send_ping()

    def link_retired(self, link):
        """Send no new calls on a link."""
        peer = self.peers.get(link.peer_name)
        if peer is not None and link in peer.links:
            peer.links.remove(link)

    def link_closed(self, link):
        """Remove a link and, if nothing else is in it, its peer's entry."""
        if link not in self.all_links:
            return
        self.all_links.discard(link)
        if not link.is_open:
            self.unauthenticated -= not link.dialled
        self.link_retired(link)
        if link.unresponsive:
            self.redial_unresponsive(link)
        peer = self.peers.get(link.peer_name)
        if peer is not None and peer.is_disposable:
            del self.peers[link.peer_name]

    def redial_unresponsive(self, link):
        """Redial an unresponsive peer whose link was closed.

        If it has another link, or its address is not known, it just no longer
        counts as unresponsive.
        """
        if link.member is None or self.live_link(link.peer_name) is not None:
            self.notify_unresponsive(link.peer_name, False)
        else:
            self.dialler.reconnect(link.member)

    def on_unresponsive(self, callback):
        """Add a callback for peers that become unresponsive or respond again.

        It gets the name of the peer and whether it is unresponsive.
        """
        self.unresponsive_callbacks.append(callback)

    def notify_unresponsive(self, name, unresponsive):
        """Report that a peer became unresponsive or responds again."""
        self.counters.links_doubted += unresponsive
        for callback in self.unresponsive_callbacks:
            callback(name, unresponsive)

    def notify_leaving(self, name):
        """Report that a peer is leaving."""
        for callback in self.leaving_callbacks:
            callback(name)

    def status(self):
        """Return one entry per open link."""
        return [link.status() for link in self.all_links if link.is_open]
