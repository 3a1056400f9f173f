"""`run`: run scenarios and judge their expectations."""

import asyncio
import sys

FAILED = 1
UNREADABLE = 2
BROKEN = 3


class RunCommand:
    """Runs scenario files."""

    def run(
        self,
        *files,
        seed=0,
        seeds="",
        policy="",
        baseline="",
        compare="",
        json="",
        keep="",
    ):
        """Run scenarios; exits with 1 when an expectation fails.

        Faulty files or options exit with 2, and a run that the bench could
        not carry out with 3.

        Parameters
        ----------
        files : str
            Scenario files.
        seed : int
        seeds : str
            `A..B`: one run with each seed from A to B.
        policy, baseline : str
            Name of the policy; without one `ranked`.
        compare : str
            Policies, separated by commas, that run side by side. Only the
            first one's expectations decide on the exit code.
        json : str
            File for the results, for the report.
        keep : str
            Directory for logs and records of every run.
        """
        from papayabay_bench.scenarios.errors import ScenarioError
        from papayabay_bench.scenarios.parser import load_scenario
        from papayabay_bench.scenarios.policies import UnknownPolicy

        try:
            scenarios = [load_scenario(str(path)) for path in files]
            policies = policy_names(policy or baseline, compare)
            numbers = seed_numbers(seed, seeds)
        except (ScenarioError, UnknownPolicy, ValueError) as error:
            print(error, file=sys.stderr)
            return UNREADABLE
        if not scenarios:
            print("no scenario file given", file=sys.stderr)
            return UNREADABLE
        results, broken = asyncio.run(run_all(scenarios, policies, numbers, keep, json))
        if broken:
            return BROKEN
        judged = [result for result in results if result.policy == policies[0]]
        return 0 if all(result.holds for result in judged) else FAILED


def policy_names(policy, compare):
    """Return the policies to run, checked.

    Raises
    ------
    UnknownPolicy
    """
    from papayabay_bench.scenarios.policies import DEFAULT_POLICY, decisions_of

    listed = compare.split(",") if isinstance(compare, str) else map(str, compare)
    names = [name.strip() for name in listed if name.strip()]
    names = names or [policy or DEFAULT_POLICY]
    for name in names:
        decisions_of(name)
    return names


def seed_numbers(seed, seeds):
    """Return the seeds to run.

    Raises
    ------
    ValueError
        When `seeds` is not `A..B`.
    """
    if not seeds:
        return [int(seed)]
    first, dots, last = str(seeds).partition("..")
    if not (dots and first.isdigit() and last.isdigit() and int(first) <= int(last)):
        raise ValueError(f"seeds are written A..B, not {seeds}")
    return list(range(int(first), int(last) + 1))


async def run_all(scenarios, policies, seeds, keep, json):
    """Run everything, one run after another, and print it.

    Returns
    -------
    results : list of RunResult
    broken : int
        Runs in which the bench itself could not do its work.
    """
    from papayabay_bench.scenarios.result import write_results
    from papayabay_bench.scenarios.tables import table_lines

    results, broken = [], 0
    for scenario in scenarios:
        runs = [
            await run_one(scenario, policy, seed, keep)
            for seed in seeds
            for policy in policies
        ]
        own = [result for result in runs if result is not None]
        broken += len(runs) - len(own)
        results += own
        print("\n".join(table_lines(own)), flush=True)
        if json:
            write_results(results, json)
    return results, broken


async def run_one(scenario, policy, seed, keep):
    """Run a scenario once and print its verdicts.

    A run that the bench could not carry out gives None, so that a long
    comparison does not lose the runs before and after it.
    """
    from papayabay_bench.fleet.fleet import ControlRefused
    from papayabay_bench.fleet.process import StartFailed
    from papayabay_bench.load.runner import LoadFailed
    from papayabay_bench.scenarios.runner import run_scenario
    from papayabay_bench.scenarios.tables import run_lines

    place = f"{keep}/{scenario.name}-{policy}-{seed}" if keep else None
    result = None
    try:
        result = await run_scenario(scenario, policy, seed, place)
    except* (StartFailed, LoadFailed, ControlRefused, OSError) as failures:
        title = f"{scenario.name}, {policy}, seed {seed}"
        causes = "; ".join(map(brief, failures.exceptions))
        print(f"{title}: could not be run: {causes}", flush=True)
    if result is not None:
        print("\n".join(run_lines(result)), flush=True)
    return result


def brief(failure):
    """Return the first and the last line of a failure's text."""
    if isinstance(failure, BaseExceptionGroup):
        return "; ".join(map(brief, failure.exceptions))
    lines = [line for line in str(failure).splitlines() if line.strip()]
    return " … ".join(lines[:1] + lines[1:][-1:]) or repr(failure)
