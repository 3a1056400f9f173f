"""The links of one daemon to all others."""

import asyncio
import random
from dataclasses import dataclass, field

import logbook

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import CallHandler, RequestHandler
from papayabay_daemon._internal.links.beating import Beats
from papayabay_daemon._internal.links.counters import LimitedLog, LinkCounters
from papayabay_daemon._internal.links.dialling import Dialler, Peer
from papayabay_daemon._internal.links.incoming import FORWARD, RUN
from papayabay_daemon._internal.links.limits import (
    CLOSE_SECONDS,
    MAX_LINKS_PER_PEER,
    MAX_PAYLOAD_BYTES,
    MAX_PEERS,
    MAX_UNPROVEN_LINKS,
)
from papayabay_daemon._internal.links.link import Link

log = logbook.Logger("papayabay.links")


@dataclass(slots=True)
class Handlers:
    """What takes calls and control questions of peers."""

    run: CallHandler | None = None
    forward: CallHandler | None = None
    topics: dict[str, RequestHandler] = field(default_factory=dict)


class NoConfirmations:
    """The `Confirmations` of a daemon that passes none on."""

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
        This daemon; `start` fills its `link_port` in when that is 0.
    rng : random.Random or None
        Source of the jitter.
    """

    def __init__(self, settings, local, rng=None):
        self.settings = settings
        self.local = local
        self.dialler = Dialler(self, rng or random.Random())
        self.counters = LinkCounters()
        self.limited_log = LimitedLog(log)
        self.confirmations = NoConfirmations()
        self.handlers = Handlers()
        self.peers = {}
        self.all_links = set()
        self.beats = Beats(settings.timing)
        self.unproven = 0
        self.leaving_callbacks = []
        self.doubt_callbacks = []
        self.server = None
        self.closing = False

    async def start(self):
        """Listen for other daemons."""
        loop = asyncio.get_running_loop()
        vm = self.settings.vm
        port = self.local.link_port or vm.link_port
        self.server = await loop.create_server(lambda: Link(self), vm.host, port)
        self.local.link_port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and close all links; calls on them are lost."""
        self.closing = True
        if self.server is not None:
            self.server.close()
        known = self.peers.values()
        dials = [peer.dialling for peer in known if peer.dialling]
        dials += [peer.seeking for peer in known if peer.seeking]
        for dial in dials:
            dial.cancel()
        tasks = [task for link in self.all_links for task in link.incoming.tasks]
        for link in list(self.all_links):
            link.close()
        self.beats.close()
        if dials or tasks:
            await asyncio.wait([*dials, *tasks], timeout=CLOSE_SECONDS)

    def handle_calls(self, run, forward):
        """Set what takes incoming calls and forwarded calls."""
        self.handlers.run = run
        self.handlers.forward = forward

    def handle_requests(self, topic, handler):
        """Set what answers one topic of control requests."""
        self.handlers.topics[topic] = handler

    def on_leaving(self, callback):
        """Call back with a peer's name when it says that it is leaving."""
        self.leaving_callbacks.append(callback)

    async def announce_leaving(self):
        """Tell all peers that this daemon takes no new work."""
        for link in list(self.all_links):
            if link.is_open:
                link.send_leaving()

    async def call(self, peer, call):
        """Send a call and return its answer; see `Links.call`."""
        return await self.send(peer, call, RUN)

    async def forward(self, peer, call):
        """Send a call to the home of its key; see `Links.call`."""
        return await self.send(peer, call, FORWARD)

    async def send(self, peer, call, purpose):
        """Send a call on a link, a new one if need be; count it if none."""
        try:
            link = self.live_link(peer.name) or await self.dialler.dial(peer)
            link.member = peer
            return await link.outgoing.call(call, purpose)
        except CallError as error:
            if error.kind is ErrorKind.LINK_UNAVAILABLE:
                self.counters.calls_unsent += 1
            raise

    async def request(self, peer, topic, payload, timeout):
        """Ask a control question.

        Parameters
        ----------
        peer : Member
        topic : str
        payload : bytes
            At most `MAX_PAYLOAD_BYTES`.
        timeout : float
            Seconds, without the time to dial.

        Raises
        ------
        ProtocolError
            The peer refused, or there is no link to it.
        TimeoutError
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ProtocolError(f"payload of {len(payload)} bytes")
        try:
            link = self.live_link(peer.name) or await self.dialler.dial(peer)
        except CallError as error:
            raise ProtocolError(str(error)) from None
        return await link.outgoing.request(topic, payload, timeout)

    def live_link(self, name):
        """Return the newest link that takes calls, or None."""
        peer = self.peers.get(name)
        return peer.links[-1] if peer is not None and peer.links else None

    def peer_of(self, name):
        """Return a peer's entry, made when first needed."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                kept = self.peers.items()
                self.peers = {key: old for key, old in kept if not old.unused}
            peer = self.peers[name] = Peer()
        return peer

    # What links report.

    def link_made(self, link):
        """Note a connection; False when there are too many unproven ones.

        Anyone who reaches the port can connect. Without a bound, connections
        that never introduce themselves would use up the file descriptors.
        """
        if self.closing or (not link.dialled and self.unproven >= MAX_UNPROVEN_LINKS):
            return False
        self.unproven += not link.dialled
        self.all_links.add(link)
        return True

    def link_opened(self, link):
        """Use a link whose peer has proven who it is."""
        self.unproven -= not link.dialled
        self.counters.links_opened += 1
        peer = self.peer_of(link.peer_name)
        newest = max((old.incarnation for old in peer.links), default=0)
        if link.incarnation < newest:
            # A connection that an earlier process of the peer began. Calls
            # sent on it would be lost with that process.
            link.refuse("an incarnation that was replaced")
            return
        self.replace_links(peer, link)
        peer.links.append(link)

    def replace_links(self, peer, link):
        """Retire links of older incarnations, and the oldest of too many.

        They are not dropped: an incarnation also grows without a restart,
        and then calls on the older link still get their answers. If the
        older process is gone, the heartbeat ends the link.
        """
        older = [old for old in peer.links if old.incarnation < link.incarnation]
        spare = peer.links[: len(peer.links) + 1 - MAX_LINKS_PER_PEER]
        for old in older or spare:
            self.counters.links_replaced += 1
            old.retire()
            old.send_ping()

    def link_retired(self, link):
        """Give no new calls to a link."""
        peer = self.peers.get(link.peer_name)
        if peer is not None and link in peer.links:
            peer.links.remove(link)

    def link_closed(self, link):
        """Forget a link."""
        if link not in self.all_links:
            return
        self.all_links.discard(link)
        if not link.is_open:
            self.unproven -= not link.dialled
        self.link_retired(link)
        if link.doubted:
            self.doubt_outlasts(link)
        peer = self.peers.get(link.peer_name)
        if peer is not None and peer.unused:
            del self.peers[link.peer_name]

    def doubt_outlasts(self, link):
        """End the doubt about a link that has ended, or look for the peer."""
        if link.member is None or self.live_link(link.peer_name) is not None:
            self.peer_doubted(link.peer_name, False)
        else:
            self.dialler.seek(link.member)

    def on_unresponsive(self, callback):
        """Call back with a peer's name and whether its link is in doubt."""
        self.doubt_callbacks.append(callback)

    def peer_doubted(self, name, doubted):
        """Pass on that a peer owes an answer for long, or was heard again."""
        self.counters.links_doubted += doubted
        for callback in self.doubt_callbacks:
            callback(name, doubted)

    def peer_leaving(self, name):
        """Pass on what a peer said of itself."""
        for callback in self.leaving_callbacks:
            callback(name)

    def status(self):
        """Return one entry per open link."""
        return [link.status() for link in self.all_links if link.is_open]
