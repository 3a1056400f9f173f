"""Daemons that send attempts to upstreams in trouble, in virtual time.

Real are the dispatcher, the retry rules, the links, admission, the calls'
tree and the client of the target with the platform's dialect. The network and
the upstreams are simulated.
"""

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

from papayabay_core.calls import Body, Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy import Policy
from papayabay_core.policy.document import validate_policy
from papayabay_core.settings import DaemonSettings
from papayabay_daemon._internal.admission import AdmissionInputs, make_admission
from papayabay_daemon._internal.calls.components import CallCounters
from papayabay_daemon._internal.calls.dispatch import Dispatcher
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.lifetime.stop_horizon import StopHorizon
from papayabay_daemon._internal.links import PeerLinks
from papayabay_daemon._internal.metrics.latencies import Latencies
from papayabay_daemon._internal.retries import CreditAccount, RetryRules
from papayabay_daemon._internal.target import HttpTargetClient, TargetRegistry
from papayabay_daemon.adapters import Announcement
from papayabay_platform.target_dialect import PlatformTargetDialect
from tests.lib.memory_network import context_of

DAEMONS = 3
SLOTS = 3
TARGET_PORT = 80
SERVICE = "svc"
CREDITS = 4
LEASE_MS = 10_000_000


@dataclass
class Troubles:
    """Shares of an upstream's requests and answers that a trouble meets."""

    refuse: float = 0.0
    repeat: float = 0.0
    halve: float = 0.0
    trail: float = 0.0
    anonymize: float = 0.0
    contradict: float = 0.0
    unproven: float = 0.0
    lose: float = 0.0
    work_s: float = 0.02

    @classmethod
    def draw(cls, chance):
        """Return some troubles, each at a random share."""

        def share(most):
            return chance.uniform(0.0, most) if chance.random() < 0.5 else 0.0

        return cls(
            refuse=chance.uniform(0.2, 0.9),
            repeat=share(1.0),
            halve=share(0.5),
            trail=share(0.2),
            anonymize=share(0.5),
            contradict=share(0.1),
            unproven=share(0.1),
            lose=share(0.3),
            work_s=chance.choice((0.005, 0.02, 0.3)),
        )


@dataclass
class Runs:
    """What the upstreams did with each request."""

    started: Counter = field(default_factory=Counter)
    copies: int = 0


class UpstreamConnection(asyncio.Protocol):
    """Answers requests on one connection, one after the other."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.buffer = b""
        self.late = []
        self.is_busy = False

    def connection_made(self, transport):
        self.transport = transport
        self.upstream.connections.append(self)

    def data_received(self, data):
        self.buffer += data
        self.start_next()

    def connection_lost(self, error):
        self.upstream.connections.remove(self)

    def start_next(self):
        """Start the next request if all of it has arrived."""
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        if self.is_busy or not end:
            return
        lines = [line.split(b": ", 1) for line in head.split(b"\r\n")[1:]]
        fields = {name.lower().decode(): value.decode() for name, value in lines}
        length = int(fields.get("content-length", 0))
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        self.is_busy = True
        task = asyncio.get_running_loop().create_task(self.serve(fields))
        self.upstream.tasks[task] = None
        task.add_done_callback(self.upstream.tasks.pop)

    async def serve(self, fields):
        """Refuse or run one request."""
        upstream, chance = self.upstream, self.upstream.random.random
        troubles = upstream.troubles
        self.send_late()
        request_id = fields["x-papayabay-request-id"]
        expected = fields["x-papayabay-expected-instance"]
        if expected != upstream.instance:
            self.refuse(request_id, 421)
        elif upstream.running >= SLOTS or chance() < troubles.refuse:
            self.refuse(request_id, 503)
        else:
            upstream.runs.started[request_id] += 1
            upstream.running += 1
            await asyncio.sleep(upstream.random.expovariate(1.0 / troubles.work_s))
            upstream.running -= 1
            await self.answer(request_id)
        self.is_busy = False
        self.start_next()

    def message(self, status, request_id, *fields, body=b""):
        """Return an answer as bytes."""
        lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body)]
        if request_id:
            lines.append(b"X-Papayabay-Request-Id: " + request_id.encode())
        load = b"%d,0,%d" % (self.upstream.running, SLOTS)
        lines.append(b"X-Papayabay-Upstream-Load: " + load)
        return b"\r\n".join([*lines, *fields, b"", body])

    def refuse(self, request_id, status):
        """Refuse a request; maybe keep a copy of the refusal for later."""
        upstream, chance = self.upstream, self.upstream.random.random
        troubles = upstream.troubles
        stated = () if status == 421 else (b"X-Papayabay-Not-Run: 1",)
        refusal = self.message(status, request_id, *stated)
        copy = b""
        if chance() < troubles.repeat:
            upstream.runs.copies += 1
            named = "" if chance() < troubles.anonymize else request_id
            copy = self.message(status, named, *stated)
        if chance() < troubles.halve:
            half = len(copy) // 2
            refusal, copy = refusal + copy[:half], copy[half:]
        if chance() < troubles.trail:
            refusal += b"bytes of no request\r\n"
        self.transport.write(refusal)
        if copy:
            self.late.append(copy)
            if chance() < 0.5:
                delay = upstream.random.expovariate(20.0)
                asyncio.get_running_loop().call_later(delay, self.send_late)

    def send_late(self):
        """Send the copies that were kept for later."""
        late, self.late = self.late, []
        self.transport.writelines(late)

    async def answer(self, request_id):
        """Answer a request that was run, or lose the answer."""
        chance, troubles = self.upstream.random.random, self.upstream.troubles
        signature = b"X-Papayabay-Upstream-Signature: s"
        data = self.message(200, request_id, signature, body=request_id.encode())
        if chance() < troubles.unproven:
            status = self.upstream.random.choice((408, 429, 503))
            data = self.message(status, request_id, signature)
        elif chance() < troubles.contradict:
            stated = b"X-Papayabay-Not-Run: 1"
            data = self.message(200, request_id, signature, stated)
        if chance() < troubles.lose:
            way = self.upstream.random.randrange(4)
            if way == 0:
                self.transport.write(data[: len(data) // 2])
                self.transport.close()
            elif way == 1:
                self.transport.abort()
            elif way == 2:
                self.transport.close()
            return
        self.transport.write(data)


class SimulatedUpstream:
    """An upstream that is ended and started again at the same address."""

    def __init__(self, network, host, runs, random):
        self.network = network
        self.host = host
        self.runs = runs
        self.random = random
        self.troubles = Troubles()
        self.incarnation = 0
        self.is_held_down = False
        self.connections = []
        self.tasks = {}
        self.start()

    @property
    def instance(self):
        return f"{self.host}-{self.incarnation}"

    def start(self):
        self.incarnation += 1
        self.running = 0
        self.network.listen(lambda: UpstreamConnection(self), self.host, TARGET_PORT)

    def stop(self):
        """End the process with all that it is running."""
        del self.network.listeners[self.host, TARGET_PORT]
        for connection in list(self.connections):
            connection.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def announcement(self):
        return Announcement(
            service=SERVICE,
            host=self.host,
            port=TARGET_PORT,
            slots=SLOTS,
            connections=2 * SLOTS,
            incarnation=self.instance,
            lease_ms=LEASE_MS,
        )


class SimulatedDaemon:
    """The parts of a daemon that attempts go through."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.host = f"10.0.0.{number}"
        self.name = f"vm-{number}"
        self.incarnation = 0
        self.is_held_down = False
        self.upstream = SimulatedUpstream(
            fleet.network, self.host, fleet.runs, Random(fleet.random.random())
        )
        self.tasks = {}

    async def start(self):
        """Start a new process."""
        self.incarnation += 1
        settings = DaemonSettings.model_validate(
            {
                "vm": {"name": self.name, "failure_domain": "d", "host": self.host},
                "cluster": {"secret": "long enough"},
                "platform": {"table_url": "http://x", "object_url": "http://x"},
                "timing": {"link_heartbeat_ms": 200},
            }
        )
        fleet, loop = self.fleet, asyncio.get_running_loop()
        self.local = Member(
            self.name, self.incarnation, self.host, 0, 0, 0, "d", "r", SERVICE, SLOTS
        )
        self.links = PeerLinks(settings, self.local, Random(fleet.random.random()))
        await self.links.start()
        self.registry = TargetRegistry(loop.time)
        self.target = HttpTargetClient(settings, self.registry, PlatformTargetDialect())
        inputs = AdmissionInputs(
            slots=SLOTS, random=Random(fleet.random.random()), clock=loop.time
        )
        self.admission = make_admission("ranked", inputs)
        self.registry.announce(self.upstream.announcement())
        run_counts = RunCounts()
        self.tree = CallTree(run_counts)
        components = SimpleNamespace(
            run_horizon=StopHorizon(),
            local=self.local,
            policy=lambda: fleet.policy,
            links=self.links,
            router=self,
            admission=self.admission,
            target=self.target,
            registry=self.registry,
            quarantine=NoQuarantine(),
            accounts=SimpleNamespace(check=lambda call: None),
            random=fleet.random,
            latencies=Latencies(),
            log=DecisionLog(),
            counters=CallCounters(),
        )
        receiver = Receiver(components, self.tree, run_counts, NoBudget())
        retries = RetryRules(
            lambda: fleet.policy, NoRatio(), fleet.random, self.has_other
        )
        self.dispatcher = Dispatcher(components, receiver, retries)
        self.links.handle_calls(receiver.receive, receiver.receive)

    async def stop(self):
        """End the process with all that it is doing."""
        for task in list(self.tasks):
            task.cancel()
        self.admission.stop_admitting()
        await self.target.close()
        await self.links.close()
        self.admission.close()

    # The router of the dispatcher.

    def choose(self, call, excluded):
        """Return a random upstream's daemon; prefers those not tried yet."""
        found = [one for one in self.fleet.daemons if one.name not in excluded]
        if not found:
            raise CallError(ErrorKind.NO_UPSTREAM)
        return self.fleet.random.choice(found).local

    def has_other(self, call, excluded):
        return any(one.name not in excluded for one in self.fleet.daemons)

    def started(self, member, call, explain):
        return {}

    def ended(self, member, call, answer, elapsed):
        pass


class NoQuarantine:
    def start_run(self, call):
        return False

    def check(self, call):
        pass


class NoBudget:
    def check(self, call):
        return None

    def release(self, call, account):
        pass

    def record_arrival(self, call, account):
        pass

    def record_end(self, call, account, answer):
        pass


class NoRatio:
    def allow(self, service):
        return True

    def record_first_attempt(self, service):
        pass


class AttemptFleet:
    """Daemons, their upstreams and the faults that meet them.

    Attributes
    ----------
    answers : dict of str to Answer
        By request id; requests whose caller left have none.
    """

    def __init__(self, network, random):
        self.network = network
        self.random = random
        self.runs = Runs()
        self.policy = Policy(validate_policy({"services": {SERVICE: {}}}, "test"))
        self.daemons = [SimulatedDaemon(self, number) for number in range(DAEMONS)]
        self.answers = {}

    async def start(self):
        for daemon in self.daemons:
            await self.run_on(daemon, daemon.start())

    async def run_on(self, daemon, coroutine):
        """Run a coroutine as code of a daemon's host."""
        loop = asyncio.get_running_loop()
        return await loop.create_task(coroutine, context=context_of(daemon.host))

    def send(self, number):
        """Start a request at a random daemon; return its task."""
        daemon = self.random.choice(self.daemons)
        loop = asyncio.get_running_loop()
        context = context_of(daemon.host)
        task = loop.create_task(self.request(daemon, number), context=context)
        daemon.tasks[task] = None
        task.add_done_callback(daemon.tasks.pop)
        if self.random.random() < 0.05:
            loop.call_later(self.random.uniform(0.0, 1.0), task.cancel)
        return task

    async def request(self, daemon, number):
        """Dispatch a request that may run once, and keep its answer."""
        request_id = f"r{number}"
        call = Call(
            request_id=request_id,
            service=SERVICE,
            method="POST",
            path="/",
            headers=[("X-Papayabay-Request-Id", request_id)],
            body=Body(b"x" * self.random.choice((0, 10, 3_000))),
            importance=Importance.NORMAL,
            rank=self.random.randrange(1_000),
            depth=0,
            expires_at=asyncio.get_running_loop().time()
            + self.random.choice((0.05, 0.4, 2.0, 5.0)),
            credits=CREDITS,
            idempotent=False,
            attempts=3,
        )
        account = CreditAccount(CREDITS)
        self.answers[request_id] = await daemon.dispatcher.dispatch(call, account)

    async def disturb(self):
        """Start a random fault, and end it later."""
        fault = self.random.choice(
            (
                self.cut,
                self.slow,
                self.trouble,
                self.trouble,
                self.trouble,
                self.reset,
                self.restart,
                self.rebirth,
            )
        )
        with suppress(asyncio.CancelledError):
            await fault(self.random.choice(self.daemons))

    async def cut(self, daemon):
        """Hold back what goes between two daemons, one way or both ways."""
        other = self.random.choice(self.daemons)
        pairs = [(daemon.host, other.host), (other.host, daemon.host)]
        held = [self.network.path(*pair) for pair in pairs[: self.random.randint(1, 2)]]
        for path in held:
            path.hold()
        await asyncio.sleep(self.random.uniform(0.05, 4.0))
        for path in held:
            path.release()

    async def slow(self, daemon):
        """Delay what a daemon sends to another."""
        path = self.network.path(daemon.host, self.random.choice(self.daemons).host)
        path.delay = self.random.uniform(0.01, 0.5)
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        path.delay = 0.001

    async def trouble(self, daemon):
        """Give an upstream troubles for a while."""
        daemon.upstream.troubles = Troubles.draw(self.random)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        daemon.upstream.troubles = Troubles()

    async def reset(self, daemon):
        """Reset the connections from one host."""
        paths = self.network.paths.items()
        for path in [path for (source, _), path in paths if source == daemon.host]:
            for transport in list(path.transports):
                if self.random.random() < 0.5 and not transport.lost:
                    transport.send_reset()

    async def restart(self, daemon):
        """End a daemon and start it again."""
        if daemon.is_held_down:
            return
        daemon.is_held_down = True
        await self.run_on(daemon, daemon.stop())
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        await self.run_on(daemon, daemon.start())
        daemon.is_held_down = False

    async def rebirth(self, daemon):
        """End an upstream and start another at its address."""
        if daemon.upstream.is_held_down:
            return
        daemon.upstream.is_held_down = True
        daemon.upstream.stop()
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        daemon.upstream.start()
        # Requests go to the new process under the name of the old one first.
        await asyncio.sleep(self.random.uniform(0.0, 0.3))
        daemon.registry.announce(daemon.upstream.announcement())
        daemon.upstream.is_held_down = False
