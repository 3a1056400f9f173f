"""Takes all measurements, one after the other, and prints the tables."""

import json
import sys

from papayabay_bench.capacity.baselines import measure_baselines
from papayabay_bench.capacity.configuration import measure_configuration
from papayabay_bench.capacity.crowd import make_member
from papayabay_bench.capacity.design import MEMBERS, design_rows
from papayabay_bench.capacity.links import measure_links
from papayabay_bench.capacity.membership import DOMAIN_SIZE, measure_members
from papayabay_bench.capacity.results import Results
from papayabay_bench.capacity.spread import measure_spread
from papayabay_bench.capacity.table import lines_of

READER_MEMBERS = 1_000
LINK_PORT = 9_000
GOSSIP_PORT = 9_001


def note(text):
    """Say what is being measured; the tables alone go to standard output."""
    print(text, file=sys.stderr, flush=True)


async def measure(sizes, json_path=""):
    """Measure and print; return the exit code.

    Parameters
    ----------
    sizes : Sizes
    json_path : str
        Where to write the figures too; empty for nowhere.
    """
    results = Results()
    try:
        await take_all(sizes, results)
    finally:
        if json_path:
            with open(json_path, "w") as file:
                json.dump(results.plain(), file, indent=2)
    print_tables(results)
    return 0


def print_tables(results):
    """Print the measured tables and what follows at the design size."""
    rows = design_rows(results, make_member(MEMBERS, LINK_PORT, GOSSIP_PORT))
    for text in lines_of(results, rows):
        print(text)


async def take_all(sizes, results):
    """Take every measurement in turn, so that none disturbs another."""
    results.baselines = await measure_baselines()
    for size in sizes.members:
        note(f"{size} members")
        sample = await measure_members(size, sizes.window, DOMAIN_SIZE if size else 0)
        results.members.append(sample)
    note("a reader of the store")
    results.reader = await measure_members(
        min(READER_MEMBERS, sizes.members[-1]), sizes.short_window, own_domain=False
    )
    for size in sizes.links:
        note(f"{size} links")
        results.links.append(await measure_links(size, sizes.link_window))
    for size in sizes.services:
        note(f"{size} services")
        sample = await measure_configuration(size, sizes.short_window)
        results.configuration.append(sample)
    for size in sizes.daemons:
        note(f"{size} daemons")
        results.spread.append(await measure_spread(size, sizes.short_window))
