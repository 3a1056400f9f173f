"""One VM of a soak: a daemon's process and the upstream beside it."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

from papayabay_bench.fleet.process import die_with_parent
from papayabay_bench.soak.relayed_daemon import PROGRAM_VARIABLE, RELAY_VARIABLE
from platform_standins.deployment import (
    COMMAND,
    GRACE_SECONDS,
    Place,
    daemon_environment,
)
from platform_standins.messages import BrokenMessage, encode_request, exchange

RELAYED_COMMAND = ("-P", "-m", "papayabay_bench.soak.relayed_daemon")
PORTS = ("app", "outbound", "ready", "control")
INTERNAL_PORTS = 3
"""Ports of the internal range that a daemon opens, the last on 127.0.0.1."""
MAX_RANGE_TRIALS = 200
POLL_SECONDS = 0.02
READY_TIMEOUT_SECONDS = 1.0


class Vm:
    """A daemon as a process, which is signalled, ended and started again.

    Parameters
    ----------
    place : Place
    store : (str, int)
    folder : Path
        Of the settings file and the log.
    relay : (str, int)
        Through which the daemon dials its peers.
    packages : str
        See `SoakSettings`.
    """

    def __init__(self, place, store, folder, relay, packages):
        self.place = place
        self.relay = relay
        self.packages = packages
        self.settings_path = Path(folder) / f"{place.name}.toml"
        self.log_path = Path(folder) / f"{place.name}.log"
        self.settings_path.write_text(place.boot_text(store))
        self.process = None
        self.is_held_down = False
        self.pauses = 0

    def start(self):
        """Start the daemon with the deployed command and its settings."""
        changed = daemon_environment(self.settings_path) | {
            RELAY_VARIABLE: f"{self.relay[0]}:{self.relay[1]}",
            PROGRAM_VARIABLE: COMMAND[-1],
            "UV_USE_IO_URING": "0",
        }
        if self.packages:
            changed["PYTHONPATH"] = self.packages
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *RELAYED_COMMAND],
                env=os.environ | changed,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.pauses = 0

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, signal_number):
        """Send a signal, if the process is running."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def pause(self):
        """Suspend the process; pauses may overlap."""
        self.pauses += 1
        self.send(signal.SIGSTOP)

    def resume(self):
        """End one pause; the process continues after the last one."""
        if self.pauses:
            self.pauses -= 1
            if not self.pauses:
                self.send(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def terminate(self):
        """Send SIGTERM, and SIGKILL after the grace.

        Returns
        -------
        bool
            Whether the process ended by itself, or was suspended meanwhile.
        """
        process, was_paused = self.process, False
        self.send(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        until = loop.time() + GRACE_SECONDS
        while process.poll() is None:
            was_paused = was_paused or self.pauses > 0
            if loop.time() > until:
                process.kill()
                process.wait()
                return was_paused
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def is_ready(self):
        """Return the result of the platform's readiness check."""
        request = encode_request("GET", "/ready", {"Host": "ready"})
        address = self.place.address("ready")
        try:
            answer = await exchange(address, request, READY_TIMEOUT_SECONDS)
        except (BrokenMessage, OSError, TimeoutError):
            return False
        return answer.status == 200


def reserve(stack, host, port):
    """Return a socket that keeps a port reserved until the stack is closed."""
    return stack.enter_context(socket.create_server((host, port)))


def reserve_range(stack, host):
    """Return the first of `INTERNAL_PORTS` free ports in a row."""
    for _ in range(MAX_RANGE_TRIALS):
        with ExitStack() as trial:
            first = reserve(trial, host, 0).getsockname()[1]
            try:
                for port in range(first + 1, first + INTERNAL_PORTS):
                    reserve(trial, host, port)
                reserve(trial, "127.0.0.1", first + INTERNAL_PORTS - 1)
            except (OSError, OverflowError):
                continue
            stack.push(trial.pop_all())
            return first
    raise OSError(f"no {INTERNAL_PORTS} free ports in a row on {host}")


def free_places(names, network):
    """Return a `Place` with free ports for each VM.

    Parameters
    ----------
    names : iterable of (str, str)
        Name and service of each VM.
    network : str
        First three numbers of the VMs' addresses.
    """
    with ExitStack() as stack:
        places = []
        for number, (name, service) in enumerate(names, start=2):
            host = f"{network}.{number}"
            ports = {
                port: reserve(stack, host, 0).getsockname()[1] for port in PORTS
            } | {"internal": reserve_range(stack, host)}
            places.append(Place(name, f"zone-{number % 2}", service, host, ports))
        return places
