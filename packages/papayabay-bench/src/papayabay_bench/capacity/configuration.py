"""What a configuration costs, by the number of its services."""

import asyncio
import json
import time
import tracemalloc
from dataclasses import dataclass
from statistics import median

from papayabay_bench.capacity.alone import alone
from papayabay_bench.fleet.waiting import POLL_SECONDS, wait_until
from papayabay_core.configuration import Configuration, new_patch
from papayabay_core.configuration.snapshot import encode_configuration
from papayabay_daemon._internal.configuration.version import VersionInForce

CALLS = 6
SERVICES_PER_PATCH = 80
PATCHES = 10
IN_FORCE_SECONDS = 20.0


@dataclass(slots=True)
class ConfigurationSample:
    """One number of services.

    Attributes
    ----------
    snapshot_bytes : int
        Of the whole version as stored and as sent to peers.
    memory : int
        Bytes that Python allocated for values and compiled policy.
    compile_seconds : float
        Processor time from plain values to a compiled policy.
    apply_seconds, apply_worst : float
        Processor time, median and largest, that taking in one patch of
        about 500 bytes holds up the event loop.
    daemon_seconds : float
        Processor time of a real daemon per patch, with fetching it from
        the store, above what it uses anyway.
    commit_reads, commit_writes : float
        Store operations per patch: its writer's and one reader's.
    """

    size: int
    snapshot_bytes: int = 0
    patch_bytes: int = 0
    memory: int = 0
    compile_seconds: float = 0.0
    apply_seconds: float = 0.0
    apply_worst: float = 0.0
    daemon_seconds: float = 0.0
    commit_reads: float = 0.0
    commit_writes: float = 0.0


def service_values(number):
    """Return the declaration of one service, of about 1.4 KB."""
    return {
        "deadline_ms": 2_000 + number,
        "admission": {"queue_target_ms": 20, "queue_max_ms": 150},
        "retries": {"credits": 3, "ratio": 0.1},
        "calls": {f"call-{call}": call_values(call) for call in range(CALLS)},
    }


def call_values(number):
    """Return the declaration of one call path."""
    return {
        "methods": ["GET"] if number % 2 else ["POST"],
        "path": f"/v1/things-{number}/{{thing}}/parts/{{part}}",
        "importance": ("critical", "normal", "sheddable")[number % 3],
        "deadline_ms": 1_500,
        "objective": {"good_share": 0.999, "latency_ms": 800},
    }


def small_change(number):
    """Return a merge patch of about 500 bytes, to one service."""
    calls = {f"call-{call}": call_values(call) for call in range(3)}
    for call in calls.values():
        call["deadline_ms"] = 1_000 + number
    return {"services": {"service-0": {"calls": calls}}}


def whole_values(size):
    """Return the plain values of a policy of so many services."""
    names = range(size)
    return {"services": {f"service-{name}": service_values(name) for name in names}}


def measure_in_process(size, patches=PATCHES):
    """Return the sample with what needs no daemon."""
    sample = ConfigurationSample(size)
    values = json.loads(json.dumps(whole_values(size)))
    sample.snapshot_bytes = len(encode_configuration(Configuration(1, values)))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    copied = json.loads(json.dumps(values))
    version = VersionInForce()
    version.apply_full_version(Configuration(1, copied))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sample.memory = after - before
    started = time.process_time()
    Configuration(1, values).policy()
    sample.compile_seconds = time.process_time() - started
    costs = [apply_cost(version, number) for number in range(patches)]
    sample.apply_seconds, sample.apply_worst = median(costs), max(costs)
    sample.patch_bytes = len(json.dumps(small_change(0)))
    return sample


def apply_cost(version, number):
    """Return the processor time of taking in one small patch."""
    patch = new_patch(version.latest.version, small_change(number), "capacity")
    started = time.process_time()
    version.apply_patches([patch])
    return time.process_time() - started


async def measure_configuration(size, window, patches=PATCHES):
    """Return the sample of one size, a real daemon's share included."""
    sample = measure_in_process(size, patches)
    async with alone(0) as daemon:
        version = await commit_whole(daemon.fleet, size)
        await in_force(daemon, version)
        idle = await idle_rate(daemon, window)
        counters = await store_counters(daemon.fleet)
        before, started = daemon.usage(), time.monotonic()
        for number in range(patches):
            version = await daemon.fleet.apply(small_change(number), version)
            await in_force(daemon, version)
        seconds = time.monotonic() - started
        used = daemon.usage().processor - before.processor - idle * seconds
        after = await store_counters(daemon.fleet)
        sample.daemon_seconds = used / patches
        sample.commit_reads = (after["reads"] - counters["reads"]) / patches
        sample.commit_writes = (after["writes"] - counters["writes"]) / patches
    return sample


async def commit_whole(fleet, size):
    """Commit a whole policy in patches small enough; return the version."""
    services = list(whole_values(size)["services"].items())
    version = 0
    for first in range(0, size, SERVICES_PER_PATCH):
        part = dict(services[first : first + SERVICES_PER_PATCH])
        version = await fleet.apply({"services": part}, version)
    return version


async def in_force(daemon, version):
    """Wait until the daemon has a version in force."""

    async def reached():
        page = await daemon.status()
        return page["configuration"]["version"] >= version

    await wait_until(reached, IN_FORCE_SECONDS, f"version {version} in force")


async def idle_rate(daemon, window):
    """Return the processor time per second while it is only looked at.

    The looks are as frequent as those that wait for a version, so that the
    cost of status pages falls out of the difference.
    """
    before, started = daemon.usage(), time.monotonic()
    while time.monotonic() - started < window:
        await wait_until(daemon.status, IN_FORCE_SECONDS, "a status page")
        await asyncio.sleep(POLL_SECONDS)
    seconds = time.monotonic() - started
    return (daemon.usage().processor - before.processor) / seconds


async def store_counters(fleet):
    """Return the counters of the platform stand-in."""
    return await fleet.exchange("GET", f"{fleet.platform_url}/counters")
