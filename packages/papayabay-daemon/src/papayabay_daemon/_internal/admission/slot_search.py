"""Finds how many slots in use make a target finish the most.

Some targets slow down when they are nearly full, and do not report it. While
calls are queued, a daemon tries concurrency limits somewhat below all slots
for a while, and keeps the one with the highest throughput. The length of a
trial is counted in finished calls, so that it fits slow and fast targets
alike.
"""

SHARES = (1.0, 0.94, 0.88, 0.8)
"""Shares of the slots that are tried, each from its neighbour."""
WINDOW_CALLS = 100
"""Calls finished in a trial; enough that random variation stays below
`LEAST_GAIN`."""
SETTLE_LENGTHS = 2.0
"""Mean durations of a call that are ignored at the beginning of a trial, while
calls of the one before finish."""
TRY_AGAIN_WINDOWS = 12
"""Trials after which the result of a neighbouring share is re-evaluated."""
WEIGHT = 0.4
"""Of the latest window."""
LEAST_GAIN = 1.06
"""How much more a smaller part must finish to be preferred."""
SLACK_LENGTHS = 0.3
"""Time without anybody waiting, in usual lengths of a call, that ends a
window: slots weren't the bound."""


class SlotSearch:
    """Rates of finished calls at several parts of the slots.

    Attributes
    ----------
    step : int
        Place in `SHARES` that holds now.
    best : int
        The one to return to after a try.
    rates : list of float or None
        Calls finished a second at each, weighed by their usual length.
    """

    def __init__(self):
        self.forget()

    def forget(self):
        """Start anew, as for another target."""
        self.step = self.best = 0
        self.rates = [None] * len(SHARES)
        self.known_at = [0.0] * len(SHARES)
        self.begun_at = None
        self.busy_at = 0.0
        self.done = 0.0
        self.calls = 0

    def slots(self, announced):
        """Return how many of the announced slots may be used."""
        return max(1, int(announced * SHARES[self.step]))

    def finished(self, weight, waiting, mean_s, now):
        """Note an ended call.

        Parameters
        ----------
        weight : float
            Its usual length, in shares of the usual length of all calls.
        waiting : bool
            Whether others wait for its slot.
        usual_s : float
            The usual length of all calls, seconds.
        now : float
        """
        if not waiting:
            if now - self.busy_at > SLACK_LENGTHS * mean_s:
                self.begun_at = None
            return
        self.busy_at = now
        if self.begun_at is None:
            self.begin(now, mean_s)
        elif now >= self.begun_at:
            self.done += weight
            self.calls += 1
            if self.calls >= WINDOW_CALLS:
                self.end(now, mean_s)

    def begin(self, now, mean_s):
        """Begin a window, once the calls of the one before have ended."""
        self.begun_at = now + SETTLE_LENGTHS * mean_s
        self.done = 0.0
        self.calls = 0

    def end(self, now, mean_s):
        """Learn from a window, and choose the next part."""
        length_s = now - self.begun_at
        rate = self.done / length_s
        known = self.rates[self.step]
        self.rates[self.step] = (
            rate if known is None else known + WEIGHT * (rate - known)
        )
        self.known_at[self.step] = now
        self.best = self.better()
        old_at = now - TRY_AGAIN_WINDOWS * (length_s + SETTLE_LENGTHS * mean_s)
        self.step = self.next_step(old_at)
        self.begin(now, mean_s)

    def better(self):
        """Return the step that finishes most; a larger part if alike."""
        best = 0
        for step, rate in enumerate(self.rates):
            if rate is not None and rate > LEAST_GAIN * self.rates[best]:
                best = step
        return best

    def next_step(self, old_at):
        """Return a neighbour not looked at since a time, else the best."""
        for step in (self.best + 1, self.best - 1):
            if not 0 <= step < len(SHARES):
                continue
            if self.rates[step] is None or self.known_at[step] < old_at:
                return step
        return self.best
