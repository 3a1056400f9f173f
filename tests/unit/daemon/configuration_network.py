"""The network, links and store of simulated configuration fleets."""

import asyncio
from contextlib import suppress

from papayabay_core.configuration import Configuration
from papayabay_core.exceptions import LinkLost, PlatformError
from papayabay_daemon._internal.links import dialling
from tests.lib.cluster_fakes import MemoryTable

DELAY_S = 0.0015
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 1.0
FEED_TIMEOUT_S = 0.5
"""Time beyond its wait after which a request for changes fails."""
FEED_S = 10.0
DEAD_CONNECTION_S = 3.0
"""Time after which a keepalive closes a connection that was cut."""
SILENCE_S = 2.0
RETRANSMISSION_S = 0.2
SILENT, BUSY = "silent", "busy"
"""How the store turns a daemon away: without an answer, or with an error."""


class SimulatedTransport:
    """Sends datagrams of one daemon over the simulated network."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def is_closing(self):
        return False

    def close(self):
        pass

    def sendto(self, datagram, address):
        fleet = self.fleet
        target = fleet.by_host.get(address[0])
        if target is None or fleet.rng.random() < fleet.loss:
            return
        if fleet.is_open(self.name, target):
            host = fleet.hosts[self.name]
            fleet.loop.call_later(DELAY_S, fleet.deliver, target, datagram, host)


class SimulatedLink:
    """A link from one daemon to another; also its own `outgoing`."""

    is_open = True
    unresponsive = False
    received_at = 0.0

    def __init__(self, fleet, name, peer_name):
        self.fleet = fleet
        self.name = name
        self.peer_name = peer_name
        self.outgoing = self
        self.process = fleet.daemons[peer_name]
        self.lost = asyncio.Event()
        self.opened = fleet.loop.create_future()
        self.severed = fleet.severed_links
        self.since = fleet.clock()

    def seconds_silent(self):
        return self.fleet.clock() - self.received_at

    def send_ping(self):
        pass

    def abort(self, reason):
        self.lost.set()

    async def request(self, topic, payload, timeout):
        exchange = asyncio.ensure_future(self.exchange(topic, payload))
        lost = asyncio.ensure_future(self.lost.wait())
        try:
            await asyncio.wait(
                {exchange, lost},
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if exchange.done():
                return exchange.result()
            if lost.done():
                raise LinkLost("link lost")
            raise TimeoutError
        finally:
            exchange.cancel()
            lost.cancel()

    async def exchange(self, topic, payload):
        await self.transfer(self.name, self.peer_name)
        if self.fleet.daemons.get(self.peer_name) is not self.process:
            self.close()
            raise LinkLost("link lost")
        handler = self.process.links.handlers.topics[topic]
        answer = await handler(payload, self.name)
        await self.transfer(self.peer_name, self.name)
        self.received_at = self.fleet.clock()
        return answer

    async def transfer(self, source, target):
        """Wait until a message has arrived; a cut closes the link."""
        fleet = self.fleet
        lost = fleet.rng.random() < fleet.loss
        await asyncio.sleep(DELAY_S + lost * RETRANSMISSION_S)
        severed = self.severed is not fleet.severed_links
        if severed or not fleet.is_open(source, target):
            fleet.loop.call_later(SILENCE_S, self.close)
            await self.lost.wait()
            raise LinkLost("link lost")

    def close(self):
        self.lost.set()
        daemon = self.fleet.daemons.get(self.name)
        if daemon is not None:
            links = daemon.links.entry_of(self.peer_name).links
            with suppress(ValueError):
                links.remove(self)


class SimulatedDialler(dialling.Dialler):
    """Dials over the simulated network; the backoff is real."""

    async def open_connection(self, member):
        fleet, name = self.links.fleet, self.links.local.name
        await asyncio.sleep(2 * DELAY_S)
        paths = (name, member.name), (member.name, name)
        if not all(fleet.is_open(*path) for path in paths):
            await asyncio.sleep(dialling.DIAL_SECONDS)
        if member.name not in fleet.daemons:
            raise ConnectionRefusedError
        link = SimulatedLink(fleet, name, member.name)
        self.links.entry_of(member.name).links.append(link)
        link.opened.set_result(True)
        return link


class SimulatedTable(MemoryTable):
    """The shared table as one daemon reaches it."""

    def __init__(self, fleet, name):
        super().__init__()
        self.rows = fleet.rows
        self.fleet = fleet
        self.name = name

    def check(self):
        if not self.fleet.is_served(self.name):
            raise PlatformError("table service: no answer")


class SimulatedWatch:
    """The operator's versions as one daemon reads them; a `VersionWatch`."""

    max_wait = FEED_S

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.position = 0

    async def load(self):
        await self.ask()
        self.position = self.fleet.version
        return self.configuration()

    async def poll(self):
        await self.ask()
        return self.newer()

    async def changed(self, share):
        fleet = self.fleet
        wait = FEED_S * share
        deadline = fleet.clock() + wait
        severed = fleet.severed
        await self.ask(wait)
        while self.position == fleet.version and fleet.clock() < deadline:
            with suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await fleet.changed.wait()
        if severed is not fleet.severed:
            await asyncio.sleep(max(0, deadline - fleet.clock()) + FEED_TIMEOUT_S)
            raise PlatformError("no answer")
        if self.name in fleet.cut_off:
            await asyncio.sleep(DEAD_CONNECTION_S)
            raise PlatformError("connection timed out")
        if fleet.turned_away.get(self.name) == SILENT:
            await asyncio.sleep(max(0, deadline - fleet.clock()) + STORE_TIMEOUT_S)
            raise PlatformError("no answer")
        await asyncio.sleep(STORE_DELAY_S / 2)
        return self.newer()

    async def ask(self, wait=0.0):
        """Send a request, which is answered or turned away."""
        fleet = self.fleet
        fleet.store_calls += 1
        await asyncio.sleep(STORE_DELAY_S)
        mode = fleet.turned_away.get(self.name)
        if mode == BUSY:
            raise PlatformError("HTTP status 503")
        if self.name in fleet.cut_off or mode == SILENT:
            await asyncio.sleep(wait + STORE_TIMEOUT_S)
            raise PlatformError("no answer")

    def newer(self):
        if self.position == self.fleet.version:
            return None
        self.position = self.fleet.version
        return self.configuration()

    def configuration(self):
        return Configuration(self.fleet.version, {"services": {}}, confirmed=True)
