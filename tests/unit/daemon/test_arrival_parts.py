"""The parts of all daemons in a service's budget, with as many as known."""

import random

from tests.unit.daemon.budget_support import RATIO, WINDOW_S, BudgetCase


class FleetTests(BudgetCase):
    """Load: all targets of a service turn half of its calls away.

    195 daemons send it 0.7 calls a second each, 11 daemons stand beside its
    targets, and the fleet may repeat 0.2 of the calls and 213 in ten seconds:
    the figures of the largest deployment known. A caller's own part would be
    a seventh of a call a second and 1.1 repeats, of which a tenth is spared.
    """

    CALLERS, TARGETS = 195, 11
    RATE = 0.7
    TURNED_AWAY = 0.55

    def play(self, seconds):
        """Return the share that is served, and all requests and repeats.

        Before it, calls come for two windows, and none is turned away.
        """
        rng = random.Random(11)
        self.sharers = self.TARGETS
        daemons = [self.budget(window_repeats=213) for _ in range(self.TARGETS)]
        firsts, repeats, served = [], [], []
        trouble = self.at + 2 * WINDOW_S
        while self.at < trouble + seconds:
            self.at += rng.expovariate(self.CALLERS * self.RATE)
            firsts.append(self.at)
            away = self.TURNED_AWAY if self.at > trouble else 0.0
            served.append(self.request(rng, daemons, repeats, away))
        in_trouble = sum(at > trouble for at in firsts)
        return sum(served[-in_trouble:]) / in_trouble, firsts, repeats

    def request(self, rng, daemons, repeats, away):
        """Return whether a call is served within four attempts."""
        left = list(daemons)
        rng.shuffle(left)
        for number in range(4):
            daemon = left.pop()
            if number and not self.allow(daemon):
                return False
            if number:
                repeats.append(self.at)
            else:
                self.firsts(daemon, 1)
            if rng.random() >= away:
                return True
        return False

    def test_a_fleet_of_callers_uses_what_their_parts_could_not(self):
        served, _, repeats = self.play(30.0)
        self.assertGreater(len(repeats), 0.8 * 3 * (0.2 * 1_365 + 213))
        self.assertGreater(served, 0.55)

    def test_no_window_exceeds_the_budget(self):
        _, firsts, repeats = self.play(30.0)
        for moment in repeats[:: len(repeats) // 50]:
            inside = [at for at in repeats if moment - WINDOW_S < at <= moment]
            asked = [at for at in firsts if moment - WINDOW_S < at <= moment]
            self.assertLessEqual(len(inside), RATIO * len(asked) + 213)
