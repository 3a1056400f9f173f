"""`target`: host stand-in targets."""


class TargetCommand:
    """Hosts the stand-in targets that a JSON file describes."""

    def run(self, path):
        """Host targets until SIGTERM; prints their addresses."""
        from papayabay_bench.targets.host import run_targets

        run_targets(path)
