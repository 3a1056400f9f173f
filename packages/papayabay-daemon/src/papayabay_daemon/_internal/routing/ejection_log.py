"""Logs ejected upstreams, and those that answer again."""

import logbook

from papayabay_daemon._internal.summed_lines import SummedLine

log = logbook.Logger("papayabay.routing")


class EjectionLog:
    """Logs the first of several ejections, and the answer after the last."""

    def __init__(self):
        self.ejected = SummedLine(log.warning, "upstreams ejected after failures")
        self.returned = SummedLine(log.notice, "upstreams answer again")
