"""`relay`: a bare HTTP relay, the baseline of `overhead`."""


class RelayCommand:
    """Relays every request to one URL, deciding nothing."""

    def run(self, upstream):
        """Relay until SIGTERM; prints the URL."""
        import uvloop

        from papayabay_bench.overhead.relay import serve

        uvloop.run(serve(upstream))
