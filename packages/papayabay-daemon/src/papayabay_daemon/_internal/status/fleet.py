"""Gathers a report from every live daemon over the links."""

import asyncio
import json
import random

from papayabay_core.errors import CallError
from papayabay_core.exceptions import PapayabayError, ProtocolError
from papayabay_daemon._internal.status.partitions import (
    FAN_OUT,
    gather_timeout,
    pack,
    read_gather_request,
    split,
    unpack,
)
from papayabay_daemon._internal.status.sums import FAULTS, SUMS

GATHER_TOPIC = "gather"
ANSWER_SECONDS = 2.0
GATHERS_AT_ONCE = 8
TRIES = 2
TAKEN_OVER_MAX = 32
WHOLE_MAX = 200
FAILURES = (CallError, PapayabayError, TimeoutError, OSError, ValueError)


class FleetReports:
    """Asks all members the same question and says who did not answer.

    Up to 200 daemons are asked one by one and their reports kept whole. Of
    more, sums are gathered: the members are split into at most 64 parts,
    and one daemon of each is asked to gather its part in the same way. So
    no daemon asks more than 64 others, whatever the size of the fleet.

    Parameters
    ----------
    members : Members
    links : Links
    reports : dict of str to callable
        This daemon's own reports by topic; each returns plain values.
    rng : random.Random, optional
        Picks who gathers a part.
    """

    def __init__(self, members, links, reports, rng=None):
        self.members = members
        self.links = links
        self.reports = reports
        self.random = rng or random.Random()
        self.gathering = 0
        for topic in reports:
            links.handle_requests(topic, self.handler(topic))
        links.handle_requests(GATHER_TOPIC, self.answer_gather)

    def handler(self, topic):
        """Return what answers a peer's request for one report."""

        async def answer(payload, peer):
            return json.dumps(self.reports[topic]()).encode()

        return answer

    async def gather(self, topic):
        """Return the reports of all live members, or their sums.

        Returns
        -------
        dict
            ``heard`` maps names to reports, or of more than 200 daemons
            ``sums`` has what they come to; ``not_heard`` maps names to the
            cause. A report is never made up for a silent daemon.
        """
        names = self.ordered_names()
        if len(names) <= WHOLE_MAX:
            return await self.ask_each(names, topic)
        sums, not_heard = await self.gather_sums(names, topic)
        return {"sums": sums.plain(), "not_heard": not_heard}

    async def gather_page(self, topic, after):
        """Return whole reports of the 200 members that follow a name.

        Returns
        -------
        dict
            As from `gather`; ``next`` is the name to go on after, or None.
        """
        names = sorted(member.name for member in self.members.live())
        names = [name for name in names if name > after]
        page = names[:WHOLE_MAX]
        reports = await self.ask_each(page, topic)
        return {**reports, "next": page[-1] if len(names) > len(page) else None}

    def ordered_names(self):
        """Return the names of all live members, by failure domain."""
        live = self.members.live()
        return [name for _, name in sorted((m.failure_domain, m.name) for m in live)]

    async def answer_gather(self, payload, peer):
        """Gather a part for a peer."""
        topic, names = read_gather_request(payload)
        if topic not in self.reports or topic not in SUMS:
            raise ProtocolError("no sums of such a report")
        if self.gathering >= GATHERS_AT_ONCE:
            # Each holds up to 64 whole reports. Whoever asks tries another
            # daemon of the same part.
            raise ProtocolError("gathering too many reports already")
        self.gathering += 1
        try:
            sums, not_heard = await self.gather_sums(names, topic)
        finally:
            self.gathering -= 1
        return pack({"sums": sums.plain(), "not_heard": not_heard})

    async def gather_sums(self, names, topic):
        """Return the sums of some members, and those not heard."""
        sums, not_heard = SUMS[topic](), {}
        await Gathering(self, topic, sums, not_heard).add(names)
        return sums, not_heard

    async def ask_each(self, names, topic):
        """Return the whole reports of some members, and those not heard."""
        gate = asyncio.Semaphore(FAN_OUT)
        answers = await asyncio.gather(*(self.ask(name, topic, gate) for name in names))
        pairs = list(zip(names, answers, strict=True))
        return {
            "heard": {name: got for name, got in pairs if not isinstance(got, str)},
            "not_heard": {name: got for name, got in pairs if isinstance(got, str)},
        }

    async def ask(self, name, topic, gate):
        """Return one member's report, or the cause why there is none."""
        if name == self.members.local.name:
            return self.reports[topic]()
        member = self.members.get(name)
        if member is None:
            return f"not among the members that {self.members.local.name} knows"
        async with gate:
            try:
                payload = await self.links.request(member, topic, b"", ANSWER_SECONDS)
                report = json.loads(payload)
            except FAILURES as error:
                return explain(error)
        return report if isinstance(report, dict) else "its report is no object"


class Gathering:
    """One daemon's share of adding up reports.

    Parameters
    ----------
    fleet : FleetReports
    topic : str
    sums : StatusSums or BurnSums
    not_heard : dict of str to str
        Both are added to.
    """

    def __init__(self, fleet, topic, sums, not_heard):
        self.fleet = fleet
        self.members = fleet.members
        self.topic = topic
        self.sums = sums
        self.not_heard = not_heard
        self.left_to_take_over = TAKEN_OVER_MAX

    async def add(self, names):
        """Add some members, through others if they are many."""
        local = self.members.local.name
        if len(names) > FAN_OUT and local in names:
            names = [name for name in names if name != local]
            await self.add_each([local])
        if len(names) <= FAN_OUT:
            await self.add_each(names)
            return
        async with asyncio.TaskGroup() as group:
            for part in split(names):
                group.create_task(self.add_part(part))

    async def add_each(self, names):
        """Add members that this daemon asks itself."""
        reports = await self.fleet.ask_each(names, self.topic)
        faults = self.sums.add_reports(reports["heard"])
        self.not_heard.update({**reports["not_heard"], **faults})

    async def add_part(self, names):
        """Add a part that another daemon gathers.

        One that fails stays among the names: whoever gathers instead asks
        it like all others, and says why it is silent. After two failures
        this daemon does it. When a whole domain has just died that may be
        many parts, so there is a bound to it.
        """
        causes = []
        known = [name for name in names if self.members.get(name) is not None]
        for head in self.fleet.random.sample(known, min(TRIES, len(known))):
            try:
                unheard = await self.ask_part(head, names)
            except (*FAILURES, *FAULTS) as error:
                causes.append(f"{head}: {explain(error)}")
            else:
                self.not_heard.update(unheard)
                return
        if self.left_to_take_over:
            self.left_to_take_over -= 1
            await self.add(names)
            return
        cause = f"not asked, as its part was not gathered: {'; '.join(causes)}"
        self.not_heard.update(dict.fromkeys(names, cause))

    async def ask_part(self, head, names):
        """Add what one daemon gathers of a part; return who was not heard."""
        member = self.members.get(head)
        if member is None:
            raise ProtocolError("it has just left")
        question = pack({"topic": self.topic, "names": names})
        seconds = gather_timeout(len(names))
        links = self.fleet.links
        answer = await links.request(member, GATHER_TOPIC, question, seconds)
        values = unpack(answer)
        unheard = {str(key): str(cause) for key, cause in values["not_heard"].items()}
        if not unheard.keys() <= set(names):
            raise ProtocolError("it names daemons that it was not asked for")
        self.sums.merge(values["sums"])
        return unheard


def explain(error):
    """Return a failure as the cause of a silence."""
    return f"{type(error).__name__}: {error!s:.200}"
