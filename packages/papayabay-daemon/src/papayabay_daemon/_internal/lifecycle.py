"""Starts, drains and closes the daemon's process."""

import asyncio
import gc
import json
import os
import signal
from contextlib import contextmanager, suppress

import logbook

from papayabay_core.exceptions import SettingsError

CLOSE_TIMEOUT_SECONDS = 0.25
"""Limit for closing all components after the drain: half of the time that then
remains until the platform kills the process."""
CUT_OFF_SECONDS = 0.1
"""How long the answers of requests that were cut off are written."""
GC_THRESHOLD_OBJECTS = 20_000
"""Net allocations that start a collection of the youngest generation. A call
allocates about a hundred objects and reference counting frees nearly all of
them; Python's default of 700 caused a collection every few calls."""
log = logbook.Logger("papayabay.daemon")


class Lifecycle:
    """Starts the components of a daemon, and closes them in order.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.stop_requested = asyncio.Event()

    async def run(self):
        """Run until SIGTERM, then drain; return the exit code."""
        daemon = self.daemon
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, daemon.reload, "SIGHUP")
        try:
            await daemon.start()
        except SettingsError:
            await daemon.close()
            raise
        freeze_startup_objects()
        supervision = asyncio.create_task(daemon.supervisor.run())
        stop_task = asyncio.create_task(self.stop_requested.wait())
        print(json.dumps(self.ready_line()), flush=True)
        await asyncio.wait(
            {supervision, stop_task}, return_when=asyncio.FIRST_COMPLETED
        )
        stop_task.cancel()
        if supervision.done():
            await daemon.close()
            return log_failure(supervision)
        await self.drain()
        await self.close_within_limit(supervision)
        return 0

    async def start(self):
        """Open all ports.

        Gossip starts after the link and status ports are open, because it
        announces their numbers. The caller port is opened last.
        """
        daemon = self.daemon
        vm, loopback = daemon.settings.vm, daemon.settings.loopback
        with opening_port("vm", vm.host, "link_port", vm.link_port):
            await daemon.links.start()
        with opening_port(
            "loopback", loopback.host, "status_port", loopback.status_port
        ):
            await daemon.status_door.start()
        daemon.membership.set_ports(
            daemon.membership.local.link_port, daemon.status_door.port
        )
        with opening_port("vm", vm.host, "gossip_port", vm.gossip_port):
            await daemon.membership.start()
        for listener in daemon.listeners:
            with opening_port("loopback", listener.host, "target_port", listener.port):
                await listener.start()
        with opening_port("vm", vm.host, "caller_port", vm.caller_port):
            await daemon.caller_door.start()

    def ready_line(self):
        """Return the object that is printed once all ports are open."""
        daemon = self.daemon
        return {
            "ready": True,
            "name": daemon.membership.local.name,
            "caller_port": daemon.caller_door.port,
            "link_port": daemon.membership.local.link_port,
            "gossip_port": daemon.membership.local.gossip_port,
            "target_port": daemon.listeners[0].port,
            "status_port": daemon.status_door.port,
        }

    async def drain(self):
        """Leave the fleet without cutting off a request.

        First only the readiness check reports that this daemon is stopping,
        and callers get time to notice. Nothing is refused meanwhile: the
        target is healthy and can be reached only through this daemon. Then
        new calls are refused as `not run`, so that they are sent elsewhere
        even by daemons that the gossip has not reached yet. Requests that
        entered here, calls that the target is running and the target's
        outgoing calls run to their end, within the limit for the drain, and
        streamed answers are sent to their end. What is not expected to end
        within that limit is not begun. What has no answer by then gets one.
        """
        daemon = self.daemon
        daemon.stopping = True
        limits = daemon.settings.limits
        components = daemon.call_components
        for horizon in (components.request_horizon, components.run_horizon):
            horizon.begin(limits.drain_ms / 1000)
        log.notice("stopping: reporting not ready, still accepting requests")
        try:
            async with asyncio.timeout(limits.drain_ms / 1000):
                await asyncio.sleep(limits.leaving_accept_ms / 1000)
                await self.leave(limits)
                await daemon.admission.wait_until_idle()
                await daemon.flow.idle.wait()
                await daemon.caller_door.wait_until_idle()
        except TimeoutError:
            log.warning(
                "drain not finished in time; cutting off {} calls and {} requests",
                len(daemon.call_tree.live),
                len(daemon.flow.running),
            )
            await self.cut_off()
        log.notice("drained")

    async def cut_off(self):
        """Answer the requests that are left, and write these answers."""
        daemon = self.daemon
        daemon.caller_door.disable_keep_alive()
        daemon.flow.cut_off()
        with suppress(TimeoutError):
            async with asyncio.timeout(CUT_OFF_SECONDS):
                await daemon.caller_door.wait_until_idle()

    async def leave(self, limits):
        """Refuse new calls, and announce that this daemon is leaving."""
        daemon = self.daemon
        log.notice("leaving: refusing new calls, draining")
        daemon.leaving = True
        daemon.limit_owner.is_leaving = True
        daemon.admission.stop_admitting()
        await daemon.links.announce_leaving()
        await asyncio.gather(self.stop_caller_entry(limits), daemon.membership.leave())

    async def stop_caller_entry(self, limits):
        """Stop accepting callers' connections, then refuse their requests.

        Requests on open connections are accepted for a grace period. The door
        stays open if the target's outgoing calls use it too.
        """
        daemon = self.daemon
        daemon.caller_door.disable_keep_alive()
        if not daemon.settings.calls.infer_parents:
            await daemon.caller_door.stop_accepting()
        await asyncio.sleep(limits.leaving_grace_ms / 1000)
        daemon.flow.draining = True

    async def close_within_limit(self, supervision):
        """Stop the supervisor and close all components, within a time limit.

        Components that are still busy wait one after the other for the tasks
        that they cancel. That could last until the platform kills the process
        and records a fault, although the drain has left nothing to wait for.
        """
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                supervision.cancel()
                await asyncio.gather(supervision, return_exceptions=True)
                await self.daemon.close()
        except TimeoutError:
            log.warning(
                "components still closing after {} s; exiting",
                CLOSE_TIMEOUT_SECONDS,
            )
        log.notice("stopped")

    async def close(self):
        """Close all components."""
        daemon = self.daemon
        await daemon.idempotency_gate.close()
        await daemon.caller_door.close()
        for listener in daemon.listeners:
            await listener.close()
        await daemon.status_door.close()
        await daemon.target.close()
        await daemon.links.close()
        daemon.admission.close()
        await daemon.environment.close()


@contextmanager
def opening_port(table, host, key, port):
    """Convert an `OSError` on opening a port into a `SettingsError`.

    Parameters
    ----------
    table, key : str
        Table and name of the port's setting, which the error names.
    host : str
    port : int

    Raises
    ------
    SettingsError
    """
    try:
        yield
    except OSError as error:
        cause = os.strerror(error.errno) if error.errno else str(error)
        raise SettingsError(
            f"{table}.{key}: port {port} of {table}.host {host!r} "
            f"can't be opened: {cause}"
        ) from None


def freeze_startup_objects():
    """Exclude the objects of the started daemon from garbage collection.

    Otherwise a full collection would traverse all modules and classes and
    free nothing. It takes about 30 ms, during which all calls are paused, and
    causes occasional slow calls. Garbage of calls is still collected, in a
    fraction of a millisecond.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    gc.enable()


def log_failure(supervision):
    """Log why the supervisor ended; return the exit code."""
    error = supervision.exception()
    log.critical("supervised task failed too often: {!r}; exiting", error)
    return 1
