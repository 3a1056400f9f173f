"""Retry-After of requests that are refused for load."""

from papayabay_core.importance import Importance

MIN_DELAY_MS = 200
MAX_DELAY_MS = 5_000
SHARE_WEIGHT = 0.03
"""Weight of the latest call in the share of calls that is admitted."""
JITTER = 0.5
"""Largest random change of the delay, as a share of it."""


class RetryDelays:
    """Computes the retry-after time from the chance to be admitted.

    Classes are shut out and admitted again one after another, so each has a
    share of its own. If one in five calls of a class is admitted, a caller
    that repeats its call every `MIN_DELAY_MS` is refused four times on
    average. It is told the whole time instead. Jitter keeps clients from
    retrying in lockstep.

    Attributes
    ----------
    admitted_shares : list of float
        Recent share of the calls that were admitted, by importance class.
    """

    def __init__(self):
        self.admitted_shares = [1.0] * len(Importance)

    def record_admitted(self, importance):
        """Count an admitted call."""
        shares = self.admitted_shares
        shares[importance] += SHARE_WEIGHT * (1.0 - shares[importance])

    def record_refused(self, importance):
        """Count a call that is refused for load."""
        self.admitted_shares[importance] *= 1.0 - SHARE_WEIGHT

    def delay_ms(self, importance, random):
        """Return the time after which a refused call should be repeated."""
        share = max(self.admitted_shares[importance], MIN_DELAY_MS / MAX_DELAY_MS)
        return int(MIN_DELAY_MS / share * random.uniform(1 - JITTER, 1 + JITTER))
