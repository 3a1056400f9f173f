"""Everything that one run measured."""

import json
from dataclasses import asdict, dataclass, field

from papayabay_bench.capacity.baselines import Baseline
from papayabay_bench.capacity.configuration import ConfigurationSample
from papayabay_bench.capacity.links import LinkSample
from papayabay_bench.capacity.membership import MembershipSample
from papayabay_bench.capacity.spread import SpreadSample

KINDS = {
    "baselines": Baseline,
    "members": MembershipSample,
    "links": LinkSample,
    "configuration": ConfigurationSample,
    "spread": SpreadSample,
}


@dataclass(slots=True)
class Results:
    """All samples, each list from the smallest size to the largest.

    Attributes
    ----------
    reader : MembershipSample or None
        A daemon that reads the store, to set against one that does not.
    """

    baselines: list = field(default_factory=list)
    members: list = field(default_factory=list)
    reader: object | None = None
    links: list = field(default_factory=list)
    configuration: list = field(default_factory=list)
    spread: list = field(default_factory=list)

    def plain(self):
        """Return plain values for JSON."""
        return asdict(self)


def read_results(path):
    """Return the results that a run wrote.

    Raises
    ------
    OSError, ValueError, TypeError
        When the file is not there or is no such file.
    """
    with open(path) as file:
        values = json.load(file)
    samples = {
        name: [kind(**sample) for sample in values[name]]
        for name, kind in KINDS.items()
    }
    reader = values["reader"] and MembershipSample(**values["reader"])
    return Results(**samples, reader=reader)
