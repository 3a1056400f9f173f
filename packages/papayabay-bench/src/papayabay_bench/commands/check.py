"""`check`: record histories of runs with faults and check them."""

import sys
from pathlib import Path

FAILED = 1
UNREADABLE = 2


class CheckCommand:
    """Checks histories of concurrent runs with faults."""

    def run(self, seeds="1..10", faults="", jobs=2, keep="", history=""):
        """Run seeds and check them; exits with 1 on any violation.

        Parameters
        ----------
        seeds : str
            `A..B`, or one number.
        faults : str
            Kinds of fault to draw from, separated by commas; all without.
        jobs : int
            Fleets at a time, each with seven daemons.
        keep : str
            Directory for histories, logs and records.
        history : str
            File of a history that was kept: check it again, run nothing.
        """
        from papayabay_bench.commands.run import seed_numbers
        from papayabay_bench.history.schedule import validate_kinds

        if history:
            return check_file(history)
        try:
            kinds = validate_kinds(listed_names(faults))
            numbers = seed_numbers(0, as_range(seeds))
        except ValueError as error:
            print(error, file=sys.stderr)
            return UNREADABLE
        return run_and_print(numbers, kinds, max(1, int(jobs)), keep)


def listed_names(names):
    """Return the names of an argument such as `a,b`, which fire may split."""
    listed = names.split(",") if isinstance(names, str) else map(str, names)
    return [name.strip() for name in listed if name.strip()]


def as_range(seeds):
    """Return `A..B` for one number too."""
    return f"{seeds}..{seeds}" if str(seeds).isdigit() else str(seeds)


def run_and_print(numbers, kinds, jobs, keep):
    """Run seeds, print what they showed, and return the exit code."""
    from papayabay_bench.history.jobs import run_seeds
    from papayabay_bench.history.summary import summary_lines

    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    results = run_seeds(numbers, kinds, jobs, str(keep))
    print("\n".join(summary_lines(results)), flush=True)
    return FAILED if any(result.violations for result in results) else 0


def check_file(path):
    """Check a kept history, print its violations, return the exit code."""
    from papayabay_bench.history.jobs import report
    from papayabay_bench.history.records import read_history
    from papayabay_bench.history.run import evaluate

    try:
        result = evaluate(read_history(str(path)))
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return UNREADABLE
    report(result)
    return FAILED if result.violations else 0
