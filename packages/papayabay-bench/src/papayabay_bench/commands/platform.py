"""`platform`: serve the platform stand-in."""


class PlatformCommand:
    """Serves the stand-in for the platform's table and object store."""

    def run(self, port=0, seed=0):
        """Serve the platform stand-in until SIGTERM; prints its URL."""
        from papayabay_bench.platform import run_platform

        run_platform(port, seed)
