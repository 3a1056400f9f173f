"""Tests of the metrics in the Prometheus text format."""

import unittest

from papayabay_core.calls import Answer
from papayabay_core.errors import ErrorKind
from papayabay_core.settings import MetricsSettings
from papayabay_daemon._internal.metrics.exposition import MetricsDoor
from papayabay_daemon._internal.metrics.latencies import MAX_SERIES, Latencies
from tests.unit.daemon.door_fakes import exchange, parse, request, settings


class ExpositionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.latencies = Latencies()
        metrics = MetricsSettings(host="127.0.0.1", port=0, path="/own")
        changed = settings().model_copy(update={"metrics": metrics})
        totals = {"calls.entered": 3}
        gauges = {"repeats.allowed": 4.5}
        self.door = MetricsDoor(changed, self.latencies, lambda: totals, lambda: gauges)
        await self.door.start()
        self.addAsyncCleanup(self.door.close)

    async def fetch(self, path="/own"):
        status, _, body = parse(await exchange(self.door.port, request(path)))
        return status, body.decode()

    async def test_counters_and_histograms(self):
        self.latencies.request_ended("svc/read", Answer(200), 0.3)
        refused = Answer(503, kind=ErrorKind.OVERLOADED)
        self.latencies.request_ended("svc/read", refused, 0.001)
        status, text = await self.fetch()
        self.assertEqual(status, 200)
        self.assertIn("papayabay_calls_entered_total 3.0", text)
        series = 'papayabay_request_seconds_bucket{le="0.4",outcome="answered"'
        self.assertIn(f'{series},path="svc/read"}} 1.0', text)
        self.assertIn('outcome="overloaded"', text)

    async def test_gauges_and_counters_precede_histograms(self):
        """A collector that truncates the page must not lose the gauges.

        After a few calls, histograms alone filled the part that it kept.
        Counters followed them, and gauges were not exported at all, so that
        nobody saw how far a retry budget was used.
        """
        self.latencies.request_ended("svc/read", Answer(200), 0.3)
        _, text = await self.fetch()
        gauge = text.index("papayabay_repeats_allowed 4.5")
        counter = text.index("papayabay_calls_entered_total 3.0")
        self.assertLess(gauge, counter)
        self.assertLess(counter, text.index("papayabay_request_seconds_bucket"))

    async def test_other_path_is_not_found(self):
        self.assertEqual((await self.fetch("/else"))[0], 404)

    async def test_series_are_bounded(self):
        for number in range(MAX_SERIES + 5):
            self.latencies.request_ended(f"svc/{number}", Answer(200), 0.1)
        self.assertEqual(self.latencies.left_out, 5)
