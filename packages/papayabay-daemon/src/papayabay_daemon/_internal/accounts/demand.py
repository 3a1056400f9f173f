"""The demand of rate limit slots, measured by their owner."""

import math

AVERAGING_SECONDS = 1.0
"""Time constant of the moving average of the demand."""
MIN_AGE_SECONDS = 0.25
"""Least age at which the average of a new slot is corrected for its start."""
MAX_OTHERS = 8
"""Most usages of other slots in one reply. In a large fleet a daemon owns few
slots; in a small one each account is asked for often."""
OTHER_USAGE_SECONDS = 0.1
"""How long a computed usage is stated again for another slot."""
MAX_USAGE = 1e6


class DemandRate:
    """Moving average of the requests a second of one slot.

    Parameters
    ----------
    since : float
        Time from which the demand is counted, seconds.
    """

    __slots__ = ("rate", "since", "stated", "stated_until", "updated_at")

    def __init__(self, since):
        self.since = since
        self.updated_at = since
        self.rate = 0.0
        self.stated = 0.0
        self.stated_until = float("-inf")

    def record(self, count, now):
        """Count requests."""
        self.rate = self.decayed(now) + count / AVERAGING_SECONDS
        self.updated_at = now

    def decayed(self, now):
        """Return the average, not corrected for the start."""
        return self.rate * math.exp((self.updated_at - now) / AVERAGING_SECONDS)

    def current(self, now):
        """Return the requests a second; a new slot's demand is scaled up."""
        age = max(MIN_AGE_SECONDS, now - self.since)
        return self.decayed(now) / -math.expm1(-age / AVERAGING_SECONDS)


class SlotDemands:
    """The demand of each slot that this daemon owns.

    Parameters
    ----------
    slot_rate : callable
        Takes an account's name; returns the current limit of each of its
        slots, requests a second, or 0.0 for an account without a limit.
    """

    def __init__(self, slot_rate):
        self.slot_rate = slot_rate
        self.rates = {}
        self.turn = []
        self.position = 0

    def record(self, key, count, now, since):
        """Count requests of a slot.

        Parameters
        ----------
        key : (str, int)
            Account and slot number.
        count : int
        now : float
        since : float
            Since when all reports for the slot have come to this daemon.
        """
        rate = self.rates.get(key)
        if rate is None:
            rate = self.rates[key] = DemandRate(since)
            self.turn.append(key)
        rate.record(count, now)

    def usage(self, key, now):
        """Return the demand as a multiple of the slot's current limit."""
        rate = self.rates.get(key)
        limit = self.slot_rate(key[0])
        if rate is None or not limit:
            return 0.0
        return round(min(MAX_USAGE, rate.current(now) / limit), 4)

    def others(self, key, now):
        """Return account, slot and usage of the next slots in turn.

        An account that sends little through an entry would not be asked for
        there while its usage is fresh. With the usages of the owner's other
        slots, an entry learns them from requests of any account.
        """
        turn = self.turn
        start = self.position
        count = min(MAX_OTHERS, len(turn))
        keys = turn[start : start + count]
        keys += turn[: count - len(keys)]
        self.position = (start + count) % len(turn) if turn else 0
        found = []
        for other in keys:
            if other == key:
                continue
            rate = self.rates[other]
            if now >= rate.stated_until:
                rate.stated = self.usage(other, now)
                rate.stated_until = now + OTHER_USAGE_SECONDS
            found.append((*other, rate.stated))
        return found

    def evict(self, is_owned):
        """Drop the slots that this daemon no longer owns."""
        self.rates = {key: rate for key, rate in self.rates.items() if is_owned(key)}
        self.turn = list(self.rates)
        self.position = 0
