"""`capacity`: what control costs by size, and at the size to design for."""

import sys

BAD_INPUT = 2


class CapacityCommand:
    """Measures the slopes that the capacity page stands on."""

    def run(self, sizes="", quick=False, json="", recorded=""):
        """Measure and print the tables.

        Parameters
        ----------
        sizes : str
            Numbers of members, such as ``100,1000,13000``.
        quick : bool
            Small sizes and short windows, to see that all of it runs.
        json : str
            Where to write the figures too.
        recorded : str
            A file of such figures, to print the tables of without a run.
        """
        if recorded:
            return print_recorded(recorded)
        import uvloop

        from papayabay_bench.capacity.run import measure
        from papayabay_bench.capacity.sizes import FULL, QUICK, with_members

        chosen = QUICK if quick else FULL
        try:
            if sizes != "":
                chosen = with_members(chosen, numbers(sizes))
        except ValueError as error:
            print(error, file=sys.stderr)
            return BAD_INPUT
        return uvloop.run(measure(chosen, json))


def print_recorded(path):
    """Print the tables of a recorded run; return the exit code."""
    from papayabay_bench.capacity.results import read_results
    from papayabay_bench.capacity.run import print_tables

    try:
        results = read_results(path)
    except (OSError, ValueError, TypeError, KeyError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return BAD_INPUT
    print_tables(results)
    return 0


def numbers(sizes):
    """Return the numbers of the argument, whichever way it was read."""
    texts = str(sizes).strip("()[]").split(",")
    return [int(text) for text in texts if text.strip()]
