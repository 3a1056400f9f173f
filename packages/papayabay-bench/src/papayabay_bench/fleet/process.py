"""Starts, signals and stops the processes of a fleet."""

import asyncio
import ctypes
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

PR_SET_PDEATHSIG = 1
LOG_TAIL_BYTES = 4_000
SAFE_PATH_OPTION = "-P"
"""Keeps the current directory out of `sys.path`, where a module in it could
shadow one of the standard library."""
LIBC = ctypes.CDLL(None)


class StartFailed(Exception):
    """A process exited or timed out before it was ready."""


def die_with_parent():
    """Make the kernel kill this process when its parent dies.

    A bench that gets SIGKILL runs no clean-up. Its daemons would keep
    running and distort later measurements on the same machine.
    """
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A Python process that prints a JSON line when it is ready.

    Parameters
    ----------
    name : str
    arguments : list of str
        Arguments of the Python interpreter.
    log_path : Path
        File that standard error is appended to, and standard output without
        the ready line.

    Attributes
    ----------
    ready : dict
        Values of the ready line; empty before it.
    """

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = Path(log_path)
        self.process = None
        self.output_reader = None
        self.ready = {}

    async def start(self, timeout):
        """Start the process and return the values of its ready line.

        Raises
        ------
        StartFailed
            When the process exits before it is ready, with the end of its
            log, or when it is not ready within the timeout in seconds.
        """
        environment = os.environ | {"UV_USE_IO_URING": "0", "PYTHONUNBUFFERED": "1"}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                SAFE_PATH_OPTION,
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environment,
                preexec_fn=die_with_parent,
            )
        try:
            self.ready = await asyncio.wait_for(self.read_ready(), timeout)
        except TimeoutError:
            raise StartFailed(f"{self.name}: not ready within {timeout} s") from None
        self.output_reader = asyncio.create_task(self.log_output())
        return self.ready

    async def read_ready(self):
        """Return the values of the ready line; log the lines before it."""
        while line := await self.process.stdout.readline():
            with suppress(json.JSONDecodeError):
                values = json.loads(line)
                if isinstance(values, dict) and values.get("ready"):
                    return values
            self.log(line)
        code = await self.process.wait()
        raise StartFailed(
            f"{self.name}: exited with code {code} before it was ready:\n"
            f"{self.log_tail()}"
        )

    async def log_output(self):
        """Append standard output to the log until the process closes it.

        A process whose output pipe is full would block on its next write.
        """
        while chunk := await self.process.stdout.read(65_536):
            self.log(chunk)

    def log(self, output):
        """Append output to the log."""
        with open(self.log_path, "ab") as log:
            log.write(output)

    def log_tail(self):
        """Return the last part of the log, at most `LOG_TAIL_BYTES`."""
        content = self.log_path.read_bytes() if self.log_path.exists() else b""
        return content[-LOG_TAIL_BYTES:].decode(errors="replace")

    @property
    def running(self):
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def send(self, signal_number):
        """Send a signal, if the process is running."""
        if self.running:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    async def wait(self, timeout):
        """Return the exit code, or None if the process is still running.

        Waits up to `timeout` seconds for the process to exit.
        """
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except TimeoutError:
            return None

    async def stop(self, grace_seconds):
        """Stop the process with SIGTERM, then SIGKILL after a grace period.

        SIGCONT goes first, since a stopped process would not handle SIGTERM.
        """
        if not self.running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if await self.wait(grace_seconds) is None:
            self.send(signal.SIGKILL)
            await self.process.wait()
        if self.output_reader:
            await self.output_reader
