"""Logs ejected upstreams, and those that answer again."""

import logbook

from papayabay_daemon._internal.aggregated_log import AggregatedLog

log = logbook.Logger("papayabay.routing")


class EjectionLog:
    """Logs the first of several ejections, and the answer after the last."""

    def __init__(self):
        self.ejected = AggregatedLog(log.warning, "upstreams ejected after failures")
        self.returned = AggregatedLog(log.notice, "upstreams answer again")
