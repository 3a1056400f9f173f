"""HTTP listener for collectors that scrape the daemon's metrics."""

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.protocol import Door

CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class MetricsDoor(Door):
    """Serves all metrics in the Prometheus text format.

    Parameters
    ----------
    settings : DaemonSettings
        With a `metrics.host`.
    latencies : Latencies
    totals : callable
        Returns the counters by dotted name.
    gauges : callable
        Returns the gauges by dotted name.
    """

    def __init__(self, settings, latencies, totals, gauges):
        metrics = settings.metrics
        super().__init__(metrics.host, metrics.port, settings.limits)
        self.path = metrics.path
        self.latencies = latencies
        self.totals = totals
        self.gauges = gauges

    async def answer(self, request):
        """Return the metrics; raises `CallError` for another path."""
        if request.method != "GET" or request.path != self.path:
            raise CallError(ErrorKind.UNKNOWN_SERVICE, "only the metrics are here")
        # Loads the Prometheus library only in daemons that are scraped.
        from papayabay_daemon._internal.metrics.text import exposition

        text = exposition(self.latencies, self.totals, self.gauges)
        return Answer(200, [CONTENT_TYPE], Body(text))
