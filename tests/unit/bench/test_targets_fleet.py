import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from papayabay_bench.fleet.plan import FleetPlan, ServicePlan, daemon_names
from papayabay_bench.fleet.process import ManagedProcess, StartFailed
from papayabay_bench.fleet.settings import daemon_settings, to_toml
from papayabay_bench.targets.specification import CallPath
from papayabay_core.settings import load_settings

READY = 'print(\'{"ready": true, "number": 7}\', flush=True); '
WAIT = "import signal; signal.pause()"
DEAF = "import signal; signal.signal(15, signal.SIG_IGN); "
PLAN = FleetPlan(
    services=[ServicePlan(name="a", paths=[CallPath(prefix="/")], upstreams=3)],
    timing={"gossip_period_ms": 200},
    entries=1,
)


class SettingsTests(unittest.TestCase):
    def test_settings_are_valid_and_keep_ports(self):
        ports = {"caller_port": 4_001, "status_port": 4_002}
        tables = daemon_settings(PLAN, "a-1", "http://127.0.0.1:1", ports)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "a.toml")
            path.write_text(to_toml(tables))
            settings = load_settings(path)
        self.assertEqual(settings.vm.caller_port, 4_001)
        self.assertEqual(settings.loopback.status_port, 4_002)
        self.assertEqual(settings.vm.failure_domain, "domain-1")
        self.assertEqual(settings.timing.gossip_period_ms, 200)

    def test_a_daemon_for_each_target(self):
        self.assertEqual(daemon_names(PLAN), ["a-0", "a-1", "a-2", "entry-0"])


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log = Path(directory.name, "log")

    def process(self, code):
        return ManagedProcess("p", ["-c", code], self.log)

    async def test_ready_line_is_returned(self):
        process = self.process("print('noise', flush=True); " + READY + WAIT)
        self.assertEqual((await process.start(10))["number"], 7)
        await process.stop(10)
        self.assertIn("noise", process.log_tail())

    async def test_end_before_ready_shows_the_log(self):
        process = self.process("import sys; sys.exit('broken settings')")
        with self.assertRaisesRegex(StartFailed, "broken settings"):
            await process.start(10)

    async def test_silent_process_is_ended(self):
        process = self.process(WAIT)
        with self.assertRaisesRegex(StartFailed, "not ready"):
            await process.start(0.2)
        await process.stop(10)
        self.assertFalse(process.running)

    async def test_deaf_process_is_killed(self):
        process = self.process(DEAF + READY + WAIT)
        await process.start(10)
        await process.stop(0.1)
        self.assertEqual(process.process.returncode, -9)

    async def test_children_die_with_a_killed_bench(self):
        """A killed bench leaves no daemon behind.

        Symptom: later measurements are slow. Sequence: the bench gets
        SIGKILL, its clean-up never runs, its daemons go on. Cause: nothing
        but the bench itself ended them.
        """
        bench = self.process(
            "import asyncio, json; "
            "from papayabay_bench.fleet.process import ManagedProcess\n"
            "async def main():\n"
            f"    child = ManagedProcess('c', ['-c', {READY + WAIT!r}], "
            f"{str(self.log)!r})\n"
            "    await child.start(10)\n"
            "    line = {'ready': True, 'pid': child.process.pid}\n"
            "    print(json.dumps(line), flush=True)\n"
            "    await asyncio.Event().wait()\n"
            "asyncio.run(main())"
        )
        child = (await bench.start(10))["pid"]
        bench.send(9)
        await bench.wait(10)
        async with asyncio.timeout(10):
            while is_alive(child):
                await asyncio.sleep(0.01)


def is_alive(pid):
    """Return whether a process runs; a zombie doesn't."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state not in "ZX" and os.path.exists(f"/proc/{pid}")


if __name__ == "__main__":
    unittest.main()
