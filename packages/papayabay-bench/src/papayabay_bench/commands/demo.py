"""`demo`: a three-deep chain through an overload and back, in a minute."""

import asyncio


class DemoCommand:
    """Shows a short overload and the way back."""

    def run(self, seed=1):
        """Run the demo; exit code 1 when nothing was served or doubled."""
        from papayabay_bench.demo.run import run_demo

        return asyncio.run(run_demo(seed))
