"""Logs outages of the platform's store."""


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
    """

    def __init__(self, log, subject):
        self.log = log
        self.subject = subject
        self.active = False

    def record_failure(self, error):
        """Record a failed access; log the first failure of an outage."""
        if not self.active:
            self.active = True
            self.log.warning("{} can't be reached: {}", self.subject, error)

    def record_success(self):
        """Record a successful access; log the end of an outage."""
        if self.active:
            self.active = False
            self.log.notice("{} can be reached again", self.subject)
