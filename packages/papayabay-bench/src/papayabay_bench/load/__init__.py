"""The load tool: open-loop arrivals, and clients that retry hard."""

from papayabay_bench.load.generator import Generator
from papayabay_bench.load.results import Attempt, Outcome, Request, read_requests
from papayabay_bench.load.runner import run_load
from papayabay_bench.load.specification import CallMix, LoadSpec, Patience, Phase

__all__ = [
    "Attempt",
    "CallMix",
    "Generator",
    "LoadSpec",
    "Outcome",
    "Patience",
    "Phase",
    "Request",
    "read_requests",
    "run_load",
]
