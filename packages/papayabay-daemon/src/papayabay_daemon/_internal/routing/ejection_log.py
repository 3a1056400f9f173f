"""Log lines on upstreams that are left out, and that answer again."""

import logbook

from papayabay_daemon._internal.aggregated_log import AggregatedLog

log = logbook.Logger("papayabay.routing")


class EjectionLog:
    """Logs from the first ejection to the next answer after the last."""

    def __init__(self):
        self.ejected = AggregatedLog(log.warning, "upstreams left out for failing")
        self.returned = AggregatedLog(log.notice, "upstreams answer again")
