"""Runs a fleet: the platform stand-in, the daemons and the target hosts."""

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
STOP_GRACE_SECONDS = 3.0
NO_GRACE_SECONDS = 0.01
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
MAX_CONCURRENT_STARTS = 8
BENCH_ARGUMENTS = ["-m", "papayabay_bench"]
DAEMON_PORTS = ("caller_port", "link_port", "gossip_port", "target_port", "status_port")


class ControlRefused(Exception):
    """A stand-in or a daemon answered a control request with an error."""


class Fleet:
    """Context manager that starts all processes of a fleet and stops them.

    Parameters
    ----------
    plan : FleetPlan
    directory : str or Path or None
        Directory for settings, logs and records. With None it is a temporary
        one that is removed on exit.

    Attributes
    ----------
    processes, daemons, hosts : dict of str to ManagedProcess
        The platform stand-in, the daemons and the target hosts, by name.
    host_by_target : dict of str to str
        Name of the host process of each target.

    Raises
    ------
    StartFailed
        On entry, when a process does not become ready. The processes that
        were started are stopped first.
    """

    def __init__(self, plan, directory=None):
        self.plan = plan
        self.is_temporary = directory is None
        self.directory = Path(directory or tempfile.mkdtemp(prefix="bench-"))
        self.processes = {}
        self.daemons = {}
        self.hosts = {}
        self.host_by_target = {}
        self.platform_url = ""
        self.session = None

    async def __aenter__(self):
        """Start the platform, the daemons and the targets, in this order."""
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

    async def __aexit__(self, *exc_info):
        """Stop all processes."""
        await self.close()

    async def close(self):
        """Stop all processes, hosts first, and remove temporary files.

        Daemons are stopped without time to drain; see `drain` for that.
        """
        for group, grace_seconds in (
            (self.hosts, STOP_GRACE_SECONDS),
            (self.daemons, NO_GRACE_SECONDS),
            (self.processes, NO_GRACE_SECONDS),
        ):
            stops = (process.stop(grace_seconds) for process in group.values())
            await asyncio.gather(*stops, return_exceptions=True)
        if self.session:
            await self.session.close()
        if self.is_temporary:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def start_platform(self):
        """Start the platform stand-in."""
        arguments = [
            *BENCH_ARGUMENTS,
            "platform",
            "--port=0",
            f"--seed={self.plan.seed}",
        ]
        process = self.new_process("platform", arguments)
        self.processes["platform"] = process
        ready = await process.start(self.plan.ready_timeout)
        self.platform_url = ready["url"]

    async def start_daemons(self, names):
        """Start daemons, at most `MAX_CONCURRENT_STARTS` at the same time."""
        remaining = iter(names)
        while batch := list(islice(remaining, MAX_CONCURRENT_STARTS)):
            async with asyncio.TaskGroup() as group:
                for name in batch:
                    group.create_task(self.start_daemon(name))

    async def start_daemon(self, name):
        """Start a daemon, on the ports of its previous process if any."""
        previous = self.daemons.get(name)
        ready = previous.ready if previous else {}
        ports = {key: ready[key] for key in DAEMON_PORTS if key in ready}
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
        """Start one host process with a batch of targets."""
        records_path = self.directory / f"{name}.records.jsonl"
        spec = HostSpec(targets=targets, records_path=str(records_path))
        path = self.directory / f"{name}.json"
        path.write_text(spec.model_dump_json())
        process = self.new_process(name, [*BENCH_ARGUMENTS, "target", str(path)])
        self.hosts[name] = process
        self.host_by_target |= {target.name: name for target in targets}
        await process.start(self.plan.ready_timeout)

    def new_process(self, name, arguments):
        """Return a process, not yet started, that logs to the directory."""
        return ManagedProcess(name, arguments, self.directory / f"{name}.log")

    def caller_url(self, name):
        """Return the URL of a daemon's listener for callers."""
        return self.listener_url(name, "caller_port")

    def caller_urls(self):
        """Return the caller URLs of all running daemons."""
        running = (name for name, daemon in self.daemons.items() if daemon.running)
        return [self.caller_url(name) for name in running]

    def target_url(self, name):
        """Return the URL of a daemon's listener for its target."""
        return self.listener_url(name, "target_port")

    def listener_url(self, name, port_key):
        """Return the URL of the listener whose port is named `port_key`."""
        return f"http://{HOST}:{self.daemons[name].ready[port_key]}"

    def target_addresses(self):
        """Return the URLs of all targets, by target name."""
        return {
            name: address
            for host in self.hosts.values()
            for name, address in host.ready["targets"].items()
        }

    def record_paths(self):
        """Return the paths of the files that targets write records to."""
        return sorted(self.directory.glob("*.records.jsonl"))

    def logs(self):
        """Return the last part of every process's log, by process name."""
        all_processes = self.processes | self.daemons | self.hosts
        return {name: process.log_tail() for name, process in all_processes.items()}

    async def status(self, name):
        """Return the status page of a daemon."""
        url = self.listener_url(name, "status_port") + "/status"
        return await self.exchange("GET", url)

    def kill(self, name, signal_number=signal.SIGKILL):
        """Send a signal to a daemon, a host or the platform."""
        self.process(name).send(signal_number)

    def pause(self, name):
        """Suspend a process with SIGSTOP."""
        self.kill(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a paused process."""
        self.kill(name, signal.SIGCONT)

    async def drain(self, name, timeout):
        """Send SIGTERM to a daemon and return its exit code.

        Returns None when it is still running after the timeout in seconds.
        """
        self.kill(name, signal.SIGTERM)
        return await self.daemons[name].wait(timeout)

    async def restart(self, name):
        """Stop a daemon, if it is running, and start it on the same ports."""
        await self.daemons[name].stop(STOP_GRACE_SECONDS)
        await self.start_daemon(name)

    def process(self, name):
        """Return a process by name."""
        return (self.processes | self.daemons | self.hosts)[name]

    async def control(self, target, **switches):
        """Change the simulated faults of a target and return its state."""
        host = self.hosts[self.host_by_target[target]]
        url = f"{host.ready['control_url']}/targets/{target}/control"
        return await self.exchange("PUT", url, switches)

    async def control_service(self, service, **switches):
        """Change the simulated faults of all targets of a service."""
        names = [
            name for name in self.host_by_target if name.rpartition("-")[0] == service
        ]
        await asyncio.gather(*(self.control(name, **switches) for name in names))

    async def targets(self):
        """Return the states of all targets."""
        urls = [host.ready["control_url"] for host in self.hosts.values()]
        pages = await asyncio.gather(
            *(self.exchange("GET", f"{url}/targets") for url in urls)
        )
        return [state for page in pages for state in page]

    async def platform_faults(self, **faults):
        """Set the platform's simulated faults and clear all others."""
        return await self.exchange("PUT", f"{self.platform_url}/faults", faults)

    async def exchange(self, method, url, message=None):
        """Send a control request and return the JSON value of its response.

        Raises
        ------
        ControlRefused
            When the status isn't 200; with the status and the body.
        """
        async with self.session.request(method, url, json=message) as response:
            if response.status != 200:
                raise ControlRefused(
                    f"{url}: status {response.status}: {await response.text()}"
                )
            return await response.json()

    def platform_settings(self):
        """Return the settings for a client of the platform stand-in."""
        return PlatformSettings(**platform_urls(self.platform_url))

    async def apply(self, changes, expected=0):
        """Commit a JSON merge patch to the policy; return the new version.

        Parameters
        ----------
        changes : dict
            The merge patch; its values are those of a `PolicyDocument`.
        expected : int
            Policy version that the patch is based on.
        """
        return await commit_patch(self.platform_settings(), changes, expected)

    async def wait_version(self, version, timeout=10.0):
        """Wait until every running daemon applies at least this version."""
        await self.wait_statuses(
            lambda page: page["configuration"]["version"] >= version,
            timeout,
            f"policy version {version} to be in force at every daemon",
        )

    async def wait_members(self, timeout=20.0):
        """Wait until membership has converged and all targets are announced.

        Converged means that every running daemon sees as many live members
        as there are running daemons.
        """
        expected = sum(daemon.running for daemon in self.daemons.values())
        await self.wait_statuses(
            lambda page: page["members"]["live"] >= expected,
            timeout,
            f"every daemon to see {expected} live members",
        )
        await wait_until(self.all_announced, timeout, "all targets to announce")

    async def all_announced(self):
        """Return whether every target has announced itself to its daemon."""
        return all(target["announced"] for target in await self.targets())

    async def wait_services(self, timeout=20.0):
        """Wait until every running daemon can route to every upstream.

        The policy has to define the services. Each daemon gets load requests
        for every service until its routing table has all upstreams.
        """
        running = [name for name in self.daemons if self.daemons[name].running]
        async with asyncio.TaskGroup() as group:
            for name in running:
                group.create_task(self.wait_routes(name, timeout))

    async def wait_routes(self, name, timeout):
        """Wait until one daemon can route to every upstream."""

        async def routes_are_complete():
            for service in self.plan.services:
                if not await self.is_reachable(name, service.name):
                    return False
            routes = (await self.status(name))["routing"]["services"]
            return all(
                len(routes.get(service.name, ())) >= service.upstreams
                for service in self.plan.services
            )

        await wait_until(
            routes_are_complete, timeout, f"{name} to have routes to all upstreams"
        )

    async def is_reachable(self, name, service):
        """Return whether a call to a service succeeds through a daemon."""
        url = self.caller_url(name) + LOAD_PATH
        headers = {SERVICE_HEADER: service}
        async with self.session.get(url, headers=headers) as response:
            return response.status == 200

    async def wait_statuses(self, predicate, timeout, what):
        """Wait until the status page of every running daemon matches.

        Parameters
        ----------
        predicate : callable
            Takes a status page and returns whether it matches.
        timeout : float
            Seconds.
        what : str
            Description of the condition for the error message.
        """

        async def all_match():
            running = [name for name in self.daemons if self.daemons[name].running]
            pages = await asyncio.gather(*map(self.status, running))
            return all(map(predicate, pages))

        await wait_until(all_match, timeout, what)
