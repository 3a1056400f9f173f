"""A stand-in for the platform's table service and object store."""

from papayabay_bench.platform.faults import Faults
from papayabay_bench.platform.server import (
    RunningPlatform,
    run_platform,
    serve_platform,
)

__all__ = ["Faults", "RunningPlatform", "run_platform", "serve_platform"]
