"""Counters of the links, and a rate-limited logger."""

from dataclasses import asdict, dataclass

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import LOG_PERIOD_SECONDS


@dataclass(slots=True)
class LinkCounters:
    """Totals since the daemon started.

    `links_refused` counts connections that were closed before the end of
    their handshake, `links_doubted` the times that a peer became
    unresponsive.
    """

    links_opened: int = 0
    links_lost: int = 0
    links_silent: int = 0
    links_doubted: int = 0
    links_refused: int = 0
    links_replaced: int = 0
    links_overrun: int = 0
    links_idle: int = 0
    dials_failed: int = 0
    frames_bad: int = 0
    frames_unknown: int = 0
    late_answers: int = 0
    late_parts: int = 0
    calls_sent: int = 0
    calls_received: int = 0
    calls_cancelled: int = 0
    calls_lost: int = 0
    calls_unsent: int = 0
    handler_faults: int = 0

    def as_dict(self):
        """Return the counts by name."""
        return asdict(self)


class RateLimitedLog:
    """Logs at most one line of each kind per `LOG_PERIOD_SECONDS`.

    A misconfigured peer redials for as long as it runs. Without a limit, its
    rejected handshakes would fill the log; the counters still count them all.

    Parameters
    ----------
    log : logbook.Logger
    """

    def __init__(self, log):
        self.log = log
        self.last = {}

    def warn(self, kind, message, *values, exc_info=False):
        """Log a warning unless one of its kind was logged in this period."""
        moment = now()
        if moment - self.last.get(kind, -LOG_PERIOD_SECONDS) >= LOG_PERIOD_SECONDS:
            self.last[kind] = moment
            self.log.warn(message, *values, exc_info=exc_info)
