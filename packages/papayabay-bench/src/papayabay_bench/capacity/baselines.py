"""What a process weighs before any control state is in it."""

import tempfile
from dataclasses import dataclass
from pathlib import Path

from papayabay_bench.capacity.usage import usage_of
from papayabay_bench.fleet.process import ManagedProcess

READY = "import time; print('{\"ready\": true}', flush=True); time.sleep(600)"
PROGRAMS = {
    "bare interpreter": READY,
    "imports of the daemon": f"import uvloop, papayabay_daemon.daemon; {READY}",
}
START_SECONDS = 30.0
GRACE_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Baseline:
    """Resident bytes of one kind of process."""

    name: str
    memory: int
    private: int


async def measure_baselines():
    """Return the baselines, the smallest first."""
    with tempfile.TemporaryDirectory(prefix="bench-") as directory:
        return [
            await measure_program(name, program, Path(directory) / "log")
            for name, program in PROGRAMS.items()
        ]


async def measure_program(name, program, log_path):
    """Return the baseline of one program."""
    process = ManagedProcess(name, ["-c", program], log_path)
    try:
        await process.start(START_SECONDS)
        usage = usage_of(process.process.pid)
    finally:
        await process.stop(GRACE_SECONDS)
    return Baseline(name, usage.memory, usage.private)
