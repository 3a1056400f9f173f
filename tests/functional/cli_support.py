"""Runs the command line as a process, against a stand-in for the platform."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from papayabay_bench.platform import Faults, serve_platform

EXAMPLES = Path(__file__).parents[2] / "examples"
COMMAND = [sys.executable, "-P", "-m", "papayabay_cli"]
TIMEOUT_S = 60.0
POLICY = """
[services.orders]
deadline_ms = {deadline_ms}

[services.orders.calls.confirm]
methods = ["POST"]
path = "/orders/{{order}}/confirm"
importance = "critical"
"""


@dataclass
class Run:
    """Exit code and output of a finished command."""

    code: int
    out: str
    err: str

    @property
    def values(self):
        return json.loads(self.out)


class CliCase(unittest.IsolatedAsyncioTestCase):
    """Serves a stand-in for the platform, and writes settings that name it."""

    async def asyncSetUp(self):
        self.platform = await serve_platform(seed=5)
        self.addAsyncCleanup(self.platform.close)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.write_settings([])

    def write_settings(self, status_urls):
        self.settings = self.write(
            "papayabay.toml",
            f"status_urls = {json.dumps(status_urls)}\n[platform]\n"
            f'table_url = "{self.platform.table_url}"\n'
            f'object_url = "{self.platform.object_url}"\n',
        )

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def policy_file(self, deadline_ms, name="policy.toml"):
        return self.write(name, POLICY.format(deadline_ms=deadline_ms))

    def fail_with(self, **faults):
        self.platform.stand_in.faults.set(Faults(**faults))

    async def run_cli(self, *arguments):
        return await self.finish(await self.start_cli(*arguments))

    async def start_cli(self, *arguments):
        environment = os.environ | {"PAPAYABAY_SETTINGS": self.settings}
        return await asyncio.create_subprocess_exec(
            *COMMAND,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
        )

    async def finish(self, process):
        """Wait until a command has finished, and return its `Run`."""
        try:
            out, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        finally:
            if process.returncode is None:
                process.kill()
        run = Run(process.returncode, out.decode(), err.decode())
        self.assertNotIn("Traceback", run.err)
        return run

    async def apply(self, deadline_ms, expect, *more):
        """Apply a policy file with a deadline, against version `expect`."""
        file = self.policy_file(deadline_ms, f"policy-{deadline_ms}.toml")
        return await self.run_cli("apply", file, "--expect", str(expect), *more)
