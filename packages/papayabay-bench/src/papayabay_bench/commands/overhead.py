"""`overhead`: latency direct, through relays and through daemons."""


class OverheadCommand:
    """Measures what the daemons add to a call."""

    def run(self, rounds=6, calls=200, rate=100, json=""):
        """Measure in interleaved rounds and print p50 and p99."""
        import uvloop

        from papayabay_bench.overhead.run import measure

        return uvloop.run(measure(rounds, calls, rate, json))
