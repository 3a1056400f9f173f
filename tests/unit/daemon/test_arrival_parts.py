"""The retry budget of a service with many callers and several daemons."""

import random

from tests.unit.daemon.budget_support import RATIO, WINDOW_S, BudgetCase


class FleetTests(BudgetCase):
    """Load: all targets of a service reject half of their calls.

    195 daemons send 0.7 calls a second each, and there are 11 daemons beside
    the targets. The budget is 0.2 of the calls and 213 retries in ten seconds.
    These are the figures of the largest known deployment. If callers enforced
    the budget, the share of each would be a seventh of a call a second and 1.1
    retries, of which a tenth is left unused.
    """

    CALLERS, TARGETS = 195, 11
    RATE = 0.7
    REJECTION_SHARE = 0.55

    def run_fault(self, seconds):
        """Return the share of calls that succeed, first attempts and retries.

        The fault follows two windows in which no call is rejected.
        """
        rng = random.Random(11)
        self.sharers = self.TARGETS
        daemons = [self.budget(window_repeats=213) for _ in range(self.TARGETS)]
        firsts, retries, served = [], [], []
        fault_at = self.at + 2 * WINDOW_S
        while self.at < fault_at + seconds:
            self.at += rng.expovariate(self.CALLERS * self.RATE)
            firsts.append(self.at)
            rejected = self.REJECTION_SHARE if self.at > fault_at else 0.0
            served.append(self.request(rng, daemons, retries, rejected))
        in_fault = sum(at > fault_at for at in firsts)
        return sum(served[-in_fault:]) / in_fault, firsts, retries

    def request(self, rng, daemons, retries, rejected):
        """Return whether a call succeeds within four attempts."""
        left = list(daemons)
        rng.shuffle(left)
        for number in range(4):
            daemon = left.pop()
            if number and not self.admit(daemon):
                return False
            if number:
                retries.append(self.at)
            else:
                self.send_first_attempts(daemon, 1)
            if rng.random() >= rejected:
                return True
        return False

    def test_budget_beside_targets_admits_more_than_shares_of_callers(self):
        served, _, retries = self.run_fault(30.0)
        self.assertGreater(len(retries), 0.8 * 3 * (0.2 * 1_365 + 213))
        self.assertGreater(served, 0.55)

    def test_no_window_exceeds_the_budget(self):
        _, firsts, retries = self.run_fault(30.0)
        for moment in retries[:: len(retries) // 50]:
            inside = [at for at in retries if moment - WINDOW_S < at <= moment]
            first = [at for at in firsts if moment - WINDOW_S < at <= moment]
            self.assertLessEqual(len(inside), RATIO * len(first) + 213)
