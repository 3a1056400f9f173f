"""`soak`: run daemons as processes under faults and check the rules."""

import asyncio
import sys
from pathlib import Path

FAILED = 1
UNREADABLE = 2
SECONDS_PER_MINUTE = 60.0


class SoakCommand:
    """Runs daemons as processes under random faults and checks the rules."""

    def run(
        self,
        seed="1",
        minutes=0.5,
        faults="",
        vms=3,
        rate=100.0,
        packages="",
        keep="",
        list=False,
    ):
        """Run seeds one after the other; exit with 1 on any violation.

        Parameters
        ----------
        seed : str
            `A..B`, or one number. A seed always has the same schedule.
        minutes : float
            How long clients send requests, for each seed.
        faults : str
            Kinds of fault to draw from, separated by commas; all without.
        vms : int
            Daemons for each of the three services.
        rate : float
            Requests per second.
        packages : str
            Folder from which the daemons import papayabay, such as another
            build's; without, the packages that are installed.
        keep : str
            Folder for the records and logs of seeds with a violation.
        list : bool
            Print the kinds of fault and run nothing.
        """
        from papayabay_bench.commands.check import as_range, listed_names
        from papayabay_bench.commands.run import seed_numbers
        from papayabay_bench.soak.schedule import KINDS, validate_kinds
        from papayabay_bench.soak.settings import SoakSettings

        if list:
            print("\n".join(KINDS))
            return 0
        try:
            kinds = validate_kinds(listed_names(faults))
            seeds = seed_numbers(0, as_range(seed))
        except ValueError as error:
            print(error, file=sys.stderr)
            return UNREADABLE
        return run_seeds(
            SoakSettings(
                number,
                float(minutes) * SECONDS_PER_MINUTE,
                kinds,
                int(vms),
                float(rate),
                str(packages and Path(packages).resolve()),
                str(keep),
            )
            for number in seeds
        )


def run_seeds(all_settings):
    """Run seeds, print the result of each, and return the exit code."""
    from papayabay_bench.soak.run import run_seed

    code = 0
    for settings in all_settings:
        result = asyncio.run(run_seed(settings))
        counts = ", ".join(f"{name} {n}" for name, n in sorted(result.counts.items()))
        print(f"seed {result.seed}: {counts}")
        for violation in result.violations:
            print(f"seed {result.seed}: {violation}")
        print(f"seed {result.seed}: {len(result.violations)} violations", flush=True)
        code = code or (FAILED if result.violations else 0)
    return code
