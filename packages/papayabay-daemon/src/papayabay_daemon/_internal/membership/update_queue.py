"""Queue and byte budget of the member updates that packets carry."""

import math

EXTRA_TRANSMITS = 11
"""Transmissions of an update beyond the logarithm of the member count."""
BYTES_PER_PERIOD = 1_000
BURST_PERIODS = 3
"""Gossip periods whose unused bytes may accumulate."""


def transmit_limit(members):
    """Return how often each daemon transmits one update.

    With n transmissions per daemon to random receivers, a member misses an
    update with probability e^-n. The logarithm of the member count plus a
    constant keeps the probability that any member misses it the same for
    clusters of every size. Reconciliation delivers what was missed.
    """
    return math.ceil(math.log(members + 1)) + EXTRA_TRANSMITS


class ByteBudget:
    """A token bucket of bytes.

    Parameters
    ----------
    now : float
    rate : float
        Bytes per second.
    burst : float
        Largest number of unused bytes that accumulate.
    """

    def __init__(self, now, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = float(burst)
        self.refilled_at = now

    def available(self, now):
        """Refill the bucket and return the bytes that may be sent."""
        refilled = self.tokens + (now - self.refilled_at) * self.rate
        self.tokens = min(float(self.burst), refilled)
        self.refilled_at = now
        return int(self.tokens)

    def spend(self, size):
        """Subtract sent bytes.

        Updates that must not wait may take the balance below zero, down to
        minus one burst.
        """
        self.tokens = max(self.tokens - size, -float(self.burst))


def update_budget(now, period):
    """Return the byte budget of updates for a gossip period in seconds.

    Probes have a fixed size and number per period and don't count.
    """
    burst = BYTES_PER_PERIOD * BURST_PERIODS
    return ByteBudget(now, BYTES_PER_PERIOD / period, burst)


class UpdateQueue:
    """Names of changed members by how often their updates were transmitted.

    The least transmitted update goes first. So when many members die at
    once, each death is transmitted before any of them is repeated.

    Attributes
    ----------
    levels : list of dict
        Names as keys, at the index of their number of transmissions.
    level_of : dict of str to int
        Number of transmissions by name.
    """

    def __init__(self):
        self.levels = [{}]
        self.level_of = {}

    def __len__(self):
        return len(self.level_of)

    def add(self, name):
        """Queue an update of a member as the next to be transmitted."""
        self.discard(name)
        self.levels[0][name] = None
        self.level_of[name] = 0

    def discard(self, name):
        """Remove the update of a member, if there is one."""
        level = self.level_of.pop(name, None)
        if level is not None:
            del self.levels[level][name]

    def next_updates(self, room, encode, members):
        """Return encoded updates and count them as transmitted.

        Parameters
        ----------
        room : int
            Bytes that the updates may take.
        encode : callable
            Returns the encoded update of a name.
        members : int
            Size of the cluster, which limits the transmissions.
        """
        chosen = self.choose(room, encode)
        limit = transmit_limit(members)
        for name, _ in chosen:
            self.count_transmission(name, limit)
        return [content for _, content in chosen if content]

    def choose(self, room, encode):
        """Return the names and bytes of the next updates that fit.

        The least transmitted come first, and the newest first among those
        with the same number of transmissions.
        """
        chosen = []
        for level in self.levels:
            for name in reversed(level):
                content = encode(name)
                room -= len(content)
                if room < 0:
                    return chosen
                chosen.append((name, content))
        return chosen

    def count_transmission(self, name, limit):
        """Count a transmission of an update; remove it at the limit."""
        sent = self.level_of[name] + 1
        self.discard(name)
        if sent >= limit:
            return
        if sent == len(self.levels):
            self.levels.append({})
        self.levels[sent][name] = None
        self.level_of[name] = sent
