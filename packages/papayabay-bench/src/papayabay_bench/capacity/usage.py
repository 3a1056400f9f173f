"""Memory and processor time of a process, as the kernel accounts them."""

from dataclasses import dataclass
from pathlib import Path

NANOSECONDS = 1e9
KIB = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used.

    Attributes
    ----------
    memory : int
        Resident bytes.
    private : int
        Resident bytes that no other process shares.
    processor : float
        Seconds of processor time since its start.
    """

    memory: int
    private: int
    processor: float


def usage_of(pid):
    """Return what a process has used; by its scheduler, to the nanosecond."""
    root = Path("/proc") / str(pid)
    sizes = parse_sizes((root / "smaps_rollup").read_text())
    private = sizes["Private_Clean"] + sizes["Private_Dirty"]
    return Usage(sizes["Rss"], private, processor_of(root))


def processor_of(root):
    """Return the processor seconds of all threads of a process."""
    threads = (root / "task").iterdir()
    return (
        sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads)
        / NANOSECONDS
    )


def parse_sizes(text):
    """Return the sizes in bytes of a ``smaps_rollup`` file, by name."""
    fields = (line.split() for line in text.splitlines()[1:])
    return {name.rstrip(":"): int(size) * KIB for name, size, *_ in fields}
