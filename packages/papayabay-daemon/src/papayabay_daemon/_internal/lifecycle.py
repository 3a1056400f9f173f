"""The life of the daemon's process: start, drain and close."""

import asyncio
import gc
import json
import os
import signal
from contextlib import contextmanager

import logbook

from papayabay_core.exceptions import SettingsError

CLOSE_SECONDS = 0.6
"""Longest time for closing, after everything was drained: two thirds of what
the platform leaves of the time until it kills."""
COLLECT_AFTER = 20_000
"""Objects that are made, beyond those freed, before the youngest are searched
for cycles. A call makes some hundred, and nearly all are freed without: with
Python's 700 it was searched at every few calls."""
log = logbook.Logger("papayabay.daemon")


class Lifecycle:
    """Opens the parts of a daemon, and closes them in the right order.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.stopping = asyncio.Event()

    async def run(self):
        """Run until SIGTERM, then drain; return the exit code."""
        daemon = self.daemon
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, daemon.reload, "SIGHUP")
        try:
            await daemon.start()
        except SettingsError:
            await daemon.close()
            raise
        settle_memory()
        supervision = asyncio.create_task(daemon.supervisor.run())
        stopping = asyncio.create_task(self.stopping.wait())
        print(json.dumps(self.ready_line()), flush=True)
        await asyncio.wait({supervision, stopping}, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if supervision.done():
            await daemon.close()
            return report_failure(supervision)
        await self.drain()
        await self.close_soon(supervision)
        return 0

    async def start(self):
        """Open every port; gossip starts once the others are known."""
        daemon = self.daemon
        vm, loopback = daemon.settings.vm, daemon.settings.loopback
        with opening("vm", vm.host, "link_port", vm.link_port):
            await daemon.links.start()
        with opening("loopback", loopback.host, "status_port", loopback.status_port):
            await daemon.status_door.start()
        daemon.membership.set_ports(
            daemon.membership.local.link_port, daemon.status_door.port
        )
        with opening("vm", vm.host, "gossip_port", vm.gossip_port):
            await daemon.membership.start()
        for listener in daemon.listeners:
            with opening("loopback", listener.host, "target_port", listener.port):
                await listener.start()
        with opening("vm", vm.host, "caller_port", vm.caller_port):
            await daemon.caller_door.start()

    def ready_line(self):
        """Return what is printed once every port is open."""
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
        """Leave without cutting a request.

        First callers that ask whether this daemon is ready learn that it is
        not, and need time for it. Nothing is refused meanwhile: the target
        beside it is well, and this daemon the only way to it. Then new work
        is refused at once, `not run`, so that it goes elsewhere even while
        nobody has heard the gossip. Requests that entered here, and calls
        that the target is running, go on to their ends; the target's
        outgoing calls too.
        """
        daemon = self.daemon
        daemon.stopping = True
        limits = daemon.settings.limits
        log.notice("stopping: not ready any more")
        try:
            async with asyncio.timeout(limits.drain_ms / 1000):
                await asyncio.sleep(limits.leaving_accept_ms / 1000)
                await self.leave(limits)
                await daemon.admission.wait_until_idle()
                await daemon.flow.idle.wait()
        except TimeoutError:
            log.warning("drain took too long; {} calls cut", len(daemon.tree.live))
        log.notice("drained")

    async def leave(self, limits):
        """Take no new work, and let all others know."""
        daemon = self.daemon
        log.notice("leaving: no new work, draining")
        daemon.leaving = True
        daemon.limit_owner.is_leaving = True
        daemon.admission.stop_admitting()
        await daemon.links.announce_leaving()
        await asyncio.gather(self.end_entry(limits), daemon.membership.leave())

    async def end_entry(self, limits):
        """Take no more requests of callers.

        Where the target's own calls come by the same door, it stays open for
        them to the end.
        """
        daemon = self.daemon
        daemon.caller_door.disable_keep_alive()
        if not daemon.settings.calls.infer_parents:
            await daemon.caller_door.stop_accepting()
        await asyncio.sleep(limits.leaving_grace_ms / 1000)
        daemon.flow.draining = True

    async def close_soon(self, supervision):
        """End and close all parts, if that takes no longer than it may.

        Parts that are still busy each wait a little for what they cancel.
        Together that can last until the process is killed, which its platform
        takes for a fault; nothing is left by then that is worth waiting for.
        """
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                supervision.cancel()
                await asyncio.gather(supervision, return_exceptions=True)
                await self.daemon.close()
        except TimeoutError:
            log.warning("parts were still busy after {} s", CLOSE_SECONDS)
        log.notice("stopped")

    async def close(self):
        """Close every part."""
        daemon = self.daemon
        await daemon.gate.close()
        await daemon.caller_door.close()
        for listener in daemon.listeners:
            await listener.close()
        await daemon.status_door.close()
        await daemon.target.close()
        await daemon.links.close()
        daemon.admission.close()
        await daemon.environment.close()


@contextmanager
def opening(table, host, key, port):
    """Name the setting to mend when a port can't be opened.

    Raises
    ------
    SettingsError
        In place of the `OSError`.
    """
    try:
        yield
    except OSError as error:
        cause = os.strerror(error.errno) if error.errno else str(error)
        raise SettingsError(
            f"{table}.{key}: port {port} of {table}.host {host!r} "
            f"can't be opened: {cause}"
        ) from None


def settle_memory():
    """Take what a started daemon consists of out of the collector's sight.

    A full collection would look at all modules and classes again and find
    nothing: some 30 ms in which no call goes on, which shows as a few
    very slow calls now and then. What calls leave behind is collected as
    before, in a fraction of a millisecond.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)


def report_failure(supervision):
    """Log why the supervisor gave up; return the exit code."""
    error = supervision.exception()
    log.critical("a part failed for good: {!r}", error)
    return 1
