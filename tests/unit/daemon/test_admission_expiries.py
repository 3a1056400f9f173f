import unittest

from papayabay_daemon._internal.admission.expiries import SLACK, Expiries
from papayabay_daemon._internal.admission.waiting import WaitingCall
from tests.unit.daemon.admission_support import make_call


class ExpiriesTest(unittest.TestCase):
    def test_a_rescheduled_call_is_rechecked_once(self):
        """Calls were rechecked before the time they were rescheduled for.

        Many calls are due at once, and each is scheduled again. One of these
        additions compacts the heap. The iteration continued with the old
        heap, while the new one still held the entries of calls already due.
        """
        expiries = Expiries(lambda: None)
        for number in range(2 * SLACK):
            call = make_call(lambda: 0.0)
            waiting = WaitingCall(call, None, 0.0, 1.0, number, queued=True)
            expiries.add(waiting, 2 * SLACK)
        rechecked = []
        for waiting in expiries.pop_due(2.0):
            rechecked.append(waiting.number)
            waiting.recheck_at = 5.0
            expiries.add(waiting, 0)
        self.assertEqual(sorted(rechecked), list(range(2 * SLACK)))
        left = sorted(recheck_at for recheck_at, _, _ in expiries.heap)
        self.assertEqual(left, [5.0] * (2 * SLACK))


if __name__ == "__main__":
    unittest.main()
