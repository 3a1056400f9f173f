"""Outages of the platform's store."""


class Outage:
    """Logs that the store went out of reach or came back, each once.

    Parameters
    ----------
    log : logbook.Logger
    subject : str
        What can't be reached, for the log.

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
        """Note a failure."""
        if not self.active:
            self.active = True
            self.log.warning("{} can't be reached: {}", self.subject, error)

    def record_success(self):
        """Note a success."""
        if self.active:
            self.active = False
            self.log.notice("{} can be reached again", self.subject)
