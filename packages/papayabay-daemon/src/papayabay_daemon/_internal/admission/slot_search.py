"""Finds the share of a target's slots with the highest throughput.

Some targets slow down when they are nearly full, and do not report it. While
calls are queued, a daemon tries concurrency limits somewhat below all slots
for a while, and keeps the one with the highest throughput. The length of a
trial is counted in finished calls, so that it fits slow and fast targets
alike.
"""

SHARES = (1.0, 0.94, 0.88, 0.8)
"""Shares of the slots that are tried, each after one next to it."""
TRIAL_CALLS = 100
"""Calls finished in a trial; enough that random variation stays below
`MIN_GAIN`."""
SETTLE_CALL_TIMES = 2.0
"""Mean durations of a call that are ignored at the beginning of a trial, while
calls of the one before finish."""
RETRY_TRIALS = 12
"""Trials after which the result of a neighbouring share is re-evaluated."""
RATE_WEIGHT = 0.4
"""Weight of the latest trial in the mean rate of a share."""
MIN_GAIN = 1.06
"""Factor by which the rate of a smaller share must be higher to be chosen."""
MAX_IDLE_CALL_TIMES = 0.3
"""Time without queued calls, in mean durations of a call, that ends a trial:
the slots did not limit the throughput."""


class SlotSearch:
    """Compares the throughput of a target at several shares of its slots.

    Attributes
    ----------
    step : int
        Index in `SHARES` of the share in use.
    best : int
        Index of the share with the highest throughput so far.
    rates : list of float or None
        Finished calls per second at each share, weighted by the mean duration
        of calls on their path. None before the first trial.
    """

    def __init__(self):
        self.reset()

    def reset(self):
        """Discard all results, as for another target."""
        self.step = self.best = 0
        self.rates = [None] * len(SHARES)
        self.tried_at = [0.0] * len(SHARES)
        self.started_at = None
        self.last_queued_at = 0.0
        self.finished_weight = 0.0
        self.calls = 0

    def slots(self, announced):
        """Return how many of the announced slots may be used."""
        return max(1, int(announced * SHARES[self.step]))

    def finished(self, weight, queued, mean_s, now):
        """Record a finished call.

        Parameters
        ----------
        weight : float
            Mean duration of calls on its path, relative to that of all calls.
        queued : bool
            Whether other calls are queued for its slot.
        mean_s : float
            Mean duration of all calls, in seconds.
        now : float
        """
        if not queued:
            if now - self.last_queued_at > MAX_IDLE_CALL_TIMES * mean_s:
                self.started_at = None
            return
        self.last_queued_at = now
        if self.started_at is None:
            self.start_trial(now, mean_s)
        elif now >= self.started_at:
            self.finished_weight += weight
            self.calls += 1
            if self.calls >= TRIAL_CALLS:
                self.end_trial(now, mean_s)

    def start_trial(self, now, mean_s):
        """Start a trial once the calls of the previous one have finished."""
        self.started_at = now + SETTLE_CALL_TIMES * mean_s
        self.finished_weight = 0.0
        self.calls = 0

    def end_trial(self, now, mean_s):
        """Store the result of a trial, and choose the next share."""
        duration_s = now - self.started_at
        rate = self.finished_weight / duration_s
        known = self.rates[self.step]
        self.rates[self.step] = (
            rate if known is None else known + RATE_WEIGHT * (rate - known)
        )
        self.tried_at[self.step] = now
        self.best = self.find_best()
        stale_before = now - RETRY_TRIALS * (duration_s + SETTLE_CALL_TIMES * mean_s)
        self.step = self.next_step(stale_before)
        self.start_trial(now, mean_s)

    def find_best(self):
        """Return the index of the best rate, a larger share if similar."""
        best = 0
        for step, rate in enumerate(self.rates):
            if rate is not None and rate > MIN_GAIN * self.rates[best]:
                best = step
        return best

    def next_step(self, stale_before):
        """Return a neighbour not tried since a time, else the best index."""
        for step in (self.best + 1, self.best - 1):
            if not 0 <= step < len(SHARES):
                continue
            if self.rates[step] is None or self.tried_at[step] < stale_before:
                return step
        return self.best
