"""Sends the increments of the daemon's counters to statsd."""

import asyncio


def flatten(counters, prefix=""):
    """Return nested counters as one dict with dotted names.

    Parameters
    ----------
    counters : dict
        Values other than numbers and dicts are left out.
    """
    flat = {}
    for name, value in counters.items():
        dotted = f"{prefix}{name}"
        if isinstance(value, dict):
            flat.update(flatten(value, f"{dotted}."))
        elif isinstance(value, int | float):
            flat[dotted] = value
    return flat


class MetricsSender:
    """Sends counter increments to statsd over UDP, once per period.

    Parameters
    ----------
    settings : StatsdSettings
    sources : dict of str to callable
        By the name of each component, a function that returns its counters.
    """

    def __init__(self, settings, sources):
        self.settings = settings
        self.sources = sources
        self.sent = {}

    def totals(self):
        """Return all counters by dotted name."""
        return flatten({name: counts() for name, counts in self.sources.items()})

    async def run(self):
        """Send increments until cancelled; return at once without a host."""
        if self.settings.host is None:
            return
        # Only daemons that send metrics need the module.
        import statsd

        client = statsd.StatsClient(
            self.settings.host, self.settings.port, self.settings.prefix
        )
        while True:
            await asyncio.sleep(self.settings.period_ms / 1000)
            self.send(client)

    def send(self, client):
        """Send the counters' increments since the last call."""
        totals = self.totals()
        with client.pipeline() as pipeline:
            for name, value in totals.items():
                increment = value - self.sent.get(name, 0)
                if increment:
                    pipeline.incr(name, increment)
        self.sent = totals
