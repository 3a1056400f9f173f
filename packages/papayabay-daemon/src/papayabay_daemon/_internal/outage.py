"""Logs outages of the platform's store."""

from papayabay_core.utils.clock import now


class Outage:
    """Logs the beginning and the end of a store outage, once each.

    Callers record the result of each access to the store.

    Parameters
    ----------
    log : logbook.Logger
    subject : str
        What is read from or written to the store; begins the log lines.

    Attributes
    ----------
    active : bool
        Whether the last access failed.
    began_at : float
        Time of the first failure of the outage.
    """

    def __init__(self, log, subject, clock=now):
        self.log = log
        self.subject = subject
        self.clock = clock
        self.active = False
        self.began_at = 0.0

    def seconds(self):
        """Return how long the outage has lasted; 0 without one."""
        return self.clock() - self.began_at if self.active else 0.0

    def record_failure(self, error):
        """Record a failed access; log the first failure of an outage."""
        if not self.active:
            self.active = True
            self.began_at = self.clock()
            self.log.warning("{} can't be reached: {}", self.subject, error)

    def record_success(self):
        """Record a successful access; log the end of an outage."""
        if self.active:
            self.active = False
            self.log.notice(
                "{} can be reached again, after {:.1f} s",
                self.subject,
                self.clock() - self.began_at,
            )
