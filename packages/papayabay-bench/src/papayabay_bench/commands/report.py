"""`report`: pictures and a page of results."""

import sys

UNREADABLE = 2


class ReportCommand:
    """Turns result files into pictures and one HTML page."""

    def run(self, *results, out="report"):
        """Write a report.

        Parameters
        ----------
        results : str
            Result files of `run --json`.
        out : str
            Directory for the pictures and `index.html`.
        """
        from papayabay_bench.report.page import write_report
        from papayabay_bench.scenarios.result import read_results

        try:
            found = read_results(results)
        except (OSError, ValueError) as error:
            print(error, file=sys.stderr)
            return UNREADABLE
        if not found:
            print("no results given", file=sys.stderr)
            return UNREADABLE
        print(write_report(found, out))
        return 0
