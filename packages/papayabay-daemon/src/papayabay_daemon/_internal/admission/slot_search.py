"""Finds how many slots in use make a target finish the most.

Some targets slow down when they are nearly full: one that takes 1.3 times as
long beyond 95 in 100 of its slots finishes a fifth more with two of 26 slots
left free. No target tells of it, and how full is too full differs. So a daemon
tries: while calls wait, it hands over a little less than all slots allow for a
moment, and keeps to what finished most.
"""

SHARES = (1.0, 0.94, 0.88, 0.8)
"""Parts of the slots that are tried, each from the one beside it. A slow-down
sets in late where there is one; of ten slots a step is about one."""
WINDOW_S = 0.3
"""How long a part is tried, seconds of a full line: 140 calls of 55 ms at 26
slots, 36 of 90 ms at 11."""
SETTLE_S = 0.1
"""Left out at the beginning of a window, where calls of the one before end."""
TRY_AGAIN_S = 4.0
"""Age at which what is known of a neighbour is looked at anew."""
WEIGHT = 0.4
"""Of the latest window. Two or three of them tell a fifth apart from the noise
of 40 calls, whose times differ by half."""
LEAST_GAIN = 1.06
"""How much more a smaller part must finish to be preferred."""
SLACK_S = 0.02
"""Time without anybody waiting that ends a window: slots weren't the bound."""


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
        self.step = self.best = 0
        self.rates = [None] * len(SHARES)
        self.known_at = [0.0] * len(SHARES)
        self.begun_at = None
        self.busy_at = 0.0
        self.done = 0.0

    def forget(self):
        """Start anew, as for another target."""
        self.__init__()

    def slots(self, announced):
        """Return how many of the announced slots may be used."""
        return max(1, int(announced * SHARES[self.step]))

    def finished(self, weight, waiting, now):
        """Note an ended call.

        Parameters
        ----------
        weight : float
            Its usual length, in shares of the usual length of all calls.
        waiting : bool
            Whether others wait for its slot.
        now : float
        """
        if not waiting:
            if now - self.busy_at > SLACK_S:
                self.begun_at = None
            return
        self.busy_at = now
        if self.begun_at is None:
            self.begin(now)
        elif now < self.begun_at + SETTLE_S:
            return
        elif now >= self.begun_at + SETTLE_S + WINDOW_S:
            self.end(now)
        else:
            self.done += weight

    def begin(self, now):
        """Begin a window."""
        self.begun_at = now
        self.done = 0.0

    def end(self, now):
        """Learn from a window, and choose the next part."""
        rate = self.done / (now - self.begun_at - SETTLE_S)
        known = self.rates[self.step]
        self.rates[self.step] = (
            rate if known is None else known + WEIGHT * (rate - known)
        )
        self.known_at[self.step] = now
        self.best = self.better()
        self.step = self.next_step(now)
        self.begin(now)

    def better(self):
        """Return the step that finishes most; a larger part if alike."""
        best = 0
        for step, rate in enumerate(self.rates):
            if rate is not None and rate > LEAST_GAIN * self.rates[best]:
                best = step
        return best

    def next_step(self, now):
        """Return a neighbour of which little is known, else the best."""
        for step in (self.best + 1, self.best - 1):
            if not 0 <= step < len(SHARES):
                continue
            if self.rates[step] is None or now - self.known_at[step] > TRY_AGAIN_S:
                return step
        return self.best
