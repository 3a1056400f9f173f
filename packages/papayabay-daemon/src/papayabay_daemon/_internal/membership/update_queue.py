"""Which member updates go into the next packet, and how many bytes."""

import math

EXTRA_TRANSMITS = 11
BYTES_PER_PERIOD = 1_000
BURST_PERIODS = 3


def transmit_limit(members):
    """Return how often each daemon transmits one update.

    With random receivers, a member misses an update with a probability of e
    to the minus this number. The logarithm of the members plus a constant
    keeps the probability that any member does the same at every size.
    Reconciliation delivers what was missed.
    """
    return math.ceil(math.log(members + 1)) + EXTRA_TRANSMITS


class Budget:
    """A token bucket of bytes.

    Parameters
    ----------
    at : float
        Time now.
    rate : float
        Bytes per second.
    burst : float
        Bytes that may gather unused.
    """

    def __init__(self, at, rate, burst):
        self.rate = rate
        self.burst = burst
        self.left = float(burst)
        self.at = at

    def available(self, at):
        """Return the bytes that may be sent now."""
        grown = self.left + (at - self.at) * self.rate
        self.left = min(float(self.burst), grown)
        self.at = at
        return int(self.left)

    def spend(self, size):
        """Note sent bytes; may go below zero for what can't wait."""
        self.left = max(self.left - size, -float(self.burst))


def update_budget(at, period):
    """Return the budget of updates for a gossip period in seconds.

    Probes have a fixed size and number per period and are not part of it.
    """
    burst = BYTES_PER_PERIOD * BURST_PERIODS
    return Budget(at, BYTES_PER_PERIOD / period, burst)


class UpdateQueue:
    """Names of changed members by how often their updates were transmitted.

    The least transmitted update goes first, so that of many deaths at once
    each is transmitted before any is repeated.
    """

    def __init__(self):
        self.levels = [{}]
        self.level_of = {}

    def __len__(self):
        return len(self.level_of)

    def add(self, name):
        """Queue an update of a member in front."""
        self.drop(name)
        self.levels[0][name] = None
        self.level_of[name] = 0

    def drop(self, name):
        """Remove the update of a member."""
        level = self.level_of.pop(name, None)
        if level is not None:
            del self.levels[level][name]

    def take(self, room, encode, members):
        """Return encoded updates, the least transmitted first.

        Parameters
        ----------
        room : int
            Bytes that may be used.
        encode : callable
            Makes bytes of a member.
        members : int
            Size of the cluster, which bounds the repeats.
        """
        chosen = self.choose(room, encode)
        limit = transmit_limit(members)
        for name, _ in chosen:
            self.count(name, limit)
        return [content for _, content in chosen if content]

    def choose(self, room, encode):
        """Return names and their bytes that fit, newest first per level."""
        chosen = []
        for level in self.levels:
            for name in reversed(level):
                content = encode(name)
                room -= len(content)
                if room < 0:
                    return chosen
                chosen.append((name, content))
        return chosen

    def count(self, name, limit):
        """Move an update one level on, or drop it at its limit."""
        sent = self.level_of[name] + 1
        self.drop(name)
        if sent >= limit:
            return
        if sent == len(self.levels):
            self.levels.append({})
        self.levels[sent][name] = None
        self.level_of[name] = sent
