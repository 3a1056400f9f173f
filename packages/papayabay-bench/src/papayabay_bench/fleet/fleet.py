"""A running fleet: platform stand-in, daemons and target hosts."""

import asyncio
import shutil
import signal
import tempfile
from itertools import islice
from pathlib import Path

import aiohttp

from papayabay_bench.fleet.plan import daemon_names, target_specs
from papayabay_bench.fleet.policy import commit_patch
from papayabay_bench.fleet.process import ManagedProcess
from papayabay_bench.fleet.settings import daemon_settings, platform_urls, to_toml
from papayabay_bench.fleet.waiting import wait_until
from papayabay_bench.targets.outgoing import SERVICE_HEADER
from papayabay_bench.targets.server import LOAD_PATH
from papayabay_bench.targets.specification import HostSpec
from papayabay_core.settings import PlatformSettings

HOST = "127.0.0.1"
GRACE_SECONDS = 3.0
NO_GRACE_SECONDS = 0.01
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
STARTS_AT_ONCE = 8
BENCH = ["-m", "papayabay_bench"]
PORTS = ("caller_port", "link_port", "gossip_port", "target_port", "status_port")


class ControlRefused(Exception):
    """A stand-in refused a switch, or a daemon its status."""


class Fleet:
    """Starts everything on entry and ends everything on exit.

    Parameters
    ----------
    plan : FleetPlan
    directory : str or Path or None
        For settings, logs and records; a temporary one, removed at the
        end, when None.

    Raises
    ------
    StartFailed
        On entry, when a process does not come up; all others are ended.
    """

    def __init__(self, plan, directory=None):
        self.plan = plan
        self.temporary = directory is None
        self.directory = Path(directory or tempfile.mkdtemp(prefix="bench-"))
        self.processes = {}
        self.daemons = {}
        self.hosts = {}
        self.host_of = {}
        self.platform_url = ""
        self.session = None

    async def __aenter__(self):
        """Start platform, daemons and targets, in this order."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.session = aiohttp.ClientSession(timeout=REQUEST_TIMEOUT)
        try:
            await self.start_platform()
            await self.start_daemons(daemon_names(self.plan))
            await self.start_hosts()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *failure):
        """End everything."""
        await self.close()

    async def close(self):
        """End all processes, hosts first, and remove temporary files.

        Daemons get no time to drain here; `drain` is for that.
        """
        for group, grace in (
            (self.hosts, GRACE_SECONDS),
            (self.daemons, NO_GRACE_SECONDS),
            (self.processes, NO_GRACE_SECONDS),
        ):
            stops = (process.stop(grace) for process in group.values())
            await asyncio.gather(*stops, return_exceptions=True)
        if self.session:
            await self.session.close()
        if self.temporary:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def start_platform(self):
        """Start the platform stand-in."""
        arguments = [*BENCH, "platform", "--port=0", f"--seed={self.plan.seed}"]
        process = self.new_process("platform", arguments)
        self.processes["platform"] = process
        ready = await process.start(self.plan.ready_timeout)
        self.platform_url = ready["url"]

    async def start_daemons(self, names):
        """Start daemons, a few at once."""
        remaining = iter(names)
        while chunk := list(islice(remaining, STARTS_AT_ONCE)):
            async with asyncio.TaskGroup() as group:
                for name in chunk:
                    group.create_task(self.start_daemon(name))

    async def start_daemon(self, name):
        """Start a daemon; at a second start it gets its old ports."""
        before = self.daemons.get(name)
        ready = before.ready if before else {}
        ports = {key: ready[key] for key in PORTS if key in ready}
        settings = daemon_settings(self.plan, name, self.platform_url, ports)
        path = self.directory / f"{name}.toml"
        path.write_text(to_toml(settings))
        arguments = [*self.plan.python_arguments, "--settings", str(path)]
        process = self.new_process(name, arguments)
        self.daemons[name] = process
        await process.start(self.plan.ready_timeout)

    async def start_hosts(self):
        """Start the target hosts."""
        urls = {name: self.target_url(name) for name in self.daemons}
        specs = iter(target_specs(self.plan, urls))
        batches = iter(lambda: list(islice(specs, self.plan.targets_per_process)), [])
        async with asyncio.TaskGroup() as group:
            for number, batch in enumerate(batches):
                group.create_task(self.start_host(f"host-{number}", batch))

    async def start_host(self, name, targets):
        """Start one process of targets."""
        records_path = self.directory / f"{name}.records.jsonl"
        spec = HostSpec(targets=targets, records_path=str(records_path))
        path = self.directory / f"{name}.json"
        path.write_text(spec.model_dump_json())
        process = self.new_process(name, [*BENCH, "target", str(path)])
        self.hosts[name] = process
        self.host_of |= {target.name: name for target in targets}
        await process.start(self.plan.ready_timeout)

    def new_process(self, name, arguments):
        """Return a process that logs beside its settings."""
        return ManagedProcess(name, arguments, self.directory / f"{name}.log")

    def caller_url(self, name):
        """Return the caller door of a daemon."""
        return self.listener_url(name, "caller_port")

    def caller_urls(self):
        """Return the caller doors of all daemons that run."""
        running = (name for name, daemon in self.daemons.items() if daemon.running)
        return [self.caller_url(name) for name in running]

    def target_url(self, name):
        """Return the target door of a daemon."""
        return self.listener_url(name, "target_port")

    def listener_url(self, name, port):
        """Return the URL of one of a daemon's doors."""
        return f"http://{HOST}:{self.daemons[name].ready[port]}"

    def target_addresses(self):
        """Return the URL of each target, by name."""
        return {
            name: address
            for host in self.hosts.values()
            for name, address in host.ready["targets"].items()
        }

    def record_paths(self):
        """Return the files that hold the targets' records."""
        return sorted(self.directory.glob("*.records.jsonl"))

    def logs(self):
        """Return the end of every process's log, by name."""
        everything = self.processes | self.daemons | self.hosts
        return {name: process.log_tail() for name, process in everything.items()}

    async def status(self, name):
        """Return a daemon's status."""
        url = self.listener_url(name, "status_port") + "/status"
        return await self.exchange("GET", url)

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a daemon, a host or the platform."""
        self.process(name).send(number)

    def pause(self, name):
        """Stop a process without its noticing."""
        self.kill(name, signal.SIGSTOP)

    def resume(self, name):
        """Let a paused process go on."""
        self.kill(name, signal.SIGCONT)

    async def drain(self, name, timeout):
        """Send SIGTERM to a daemon and return its exit code."""
        self.kill(name, signal.SIGTERM)
        return await self.daemons[name].wait(timeout)

    async def restart(self, name):
        """End a daemon, if it still runs, and start it on its old ports."""
        await self.daemons[name].stop(GRACE_SECONDS)
        await self.start_daemon(name)

    def process(self, name):
        """Return a process by name."""
        return (self.processes | self.daemons | self.hosts)[name]

    async def control(self, target, **switches):
        """Switch faults of a target and return its state."""
        host = self.hosts[self.host_of[target]]
        url = f"{host.ready['control_url']}/targets/{target}/control"
        return await self.exchange("PUT", url, switches)

    async def control_service(self, service, **switches):
        """Switch faults of all targets of a service."""
        names = [name for name in self.host_of if name.rpartition("-")[0] == service]
        await asyncio.gather(*(self.control(name, **switches) for name in names))

    async def targets(self):
        """Return the state of all targets."""
        urls = [host.ready["control_url"] for host in self.hosts.values()]
        pages = await asyncio.gather(
            *(self.exchange("GET", f"{url}/targets") for url in urls)
        )
        return [state for page in pages for state in page]

    async def platform_faults(self, **faults):
        """Replace the platform's faults; without any it is healthy."""
        return await self.exchange("PUT", f"{self.platform_url}/faults", faults)

    async def exchange(self, method, url, message=None):
        """Make one control request and return its JSON answer.

        Raises
        ------
        ControlRefused
            With the answer's text.
        """
        async with self.session.request(method, url, json=message) as answer:
            if answer.status != 200:
                raise ControlRefused(f"{url}: {answer.status} {await answer.text()}")
            return await answer.json()

    def platform_settings(self):
        """Return the settings of a platform client."""
        return PlatformSettings(**platform_urls(self.platform_url))

    async def apply(self, changes, expected=0):
        """Commit a merge patch over the policy; return the new version.

        Parameters
        ----------
        changes : dict
            Plain values, as in a `PolicyDocument`.
        expected : int
            Version that it is written against.
        """
        return await commit_patch(self.platform_settings(), changes, expected)

    async def wait_version(self, version, timeout=10.0):
        """Wait until every running daemon has at least a version."""
        await self.wait_all(
            lambda page: page["configuration"]["version"] >= version,
            timeout,
            f"version {version} in force",
        )

    async def wait_members(self, timeout=20.0):
        """Wait until the daemons know each other and have their targets."""
        expected = sum(daemon.running for daemon in self.daemons.values())
        await self.wait_all(
            lambda page: page["members"]["live"] >= expected,
            timeout,
            f"{expected} live members everywhere",
        )
        await wait_until(self.all_announced, timeout, "all targets announced")

    async def all_announced(self):
        """Return whether every target has announced itself."""
        return all(target["announced"] for target in await self.targets())

    async def wait_services(self, timeout=20.0):
        """Wait until every running daemon reaches every upstream.

        The policy must name the services. Each daemon is asked for each
        service's load until its routing shows all upstreams.
        """
        running = [name for name in self.daemons if self.daemons[name].running]
        async with asyncio.TaskGroup() as group:
            for name in running:
                group.create_task(self.wait_routes(name, timeout))

    async def wait_routes(self, name, timeout):
        """Wait until one daemon reaches every upstream."""

        async def reaches():
            for service in self.plan.services:
                if not await self.answers(name, service.name):
                    return False
            routes = (await self.status(name))["routing"]["services"]
            return all(
                len(routes.get(service.name, ())) >= service.upstreams
                for service in self.plan.services
            )

        await wait_until(reaches, timeout, f"all upstreams known to {name}")

    async def answers(self, name, service):
        """Return whether a service answers a call that enters by a daemon."""
        url = self.caller_url(name) + LOAD_PATH
        headers = {SERVICE_HEADER: service}
        async with self.session.get(url, headers=headers) as answer:
            return answer.status == 200

    async def wait_all(self, holds, timeout, what):
        """Wait until something holds of every running daemon's status."""

        async def everywhere():
            running = [name for name in self.daemons if self.daemons[name].running]
            pages = await asyncio.gather(*map(self.status, running))
            return all(map(holds, pages))

        await wait_until(everywhere, timeout, what)
