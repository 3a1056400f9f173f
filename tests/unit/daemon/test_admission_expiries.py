import unittest

from papayabay_daemon._internal.admission.expiries import SLACK, Expiries
from papayabay_daemon._internal.admission.waiting import WaitingCall
from tests.unit.daemon.admission_support import make_call


class ExpiriesTest(unittest.TestCase):
    def test_a_call_that_is_noted_again_is_looked_at_once(self):
        """Calls were looked at sooner than they had been put off to.

        Sequence: many calls fall due together; each is noted again, and one
        of these puts a compacted heap in the old one's place. Cause: the old
        one was gone through to its end, and the new one kept its entries.
        """
        expiries = Expiries(lambda: None)
        for number in range(2 * SLACK):
            call = make_call(lambda: 0.0)
            waiting = WaitingCall(call, None, 0.0, 1.0, number, queued=True)
            expiries.add(waiting, 2 * SLACK)
        looked_at = []
        for waiting in expiries.pop_due(2.0):
            looked_at.append(waiting.number)
            waiting.recheck_at = 5.0
            expiries.add(waiting, 0)
        self.assertEqual(sorted(looked_at), list(range(2 * SLACK)))
        left = sorted(recheck_at for recheck_at, _, _ in expiries.heap)
        self.assertEqual(left, [5.0] * (2 * SLACK))


if __name__ == "__main__":
    unittest.main()
