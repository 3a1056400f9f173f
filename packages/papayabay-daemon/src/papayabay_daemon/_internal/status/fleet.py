"""Gathers the reports of all live daemons over the links between them."""

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
from papayabay_daemon._internal.status.sums import MALFORMED_ERRORS, SUMS

GATHER_TOPIC = "gather"
REPORT_TIMEOUT_SECONDS = 2.0
"""Timeout of the request for one daemon's report."""
CONCURRENT_GATHERS_MAX = 8
"""Partitions that a daemon gathers for others at the same time."""
DELEGATES_MAX = 2
"""Members that are asked in turn to gather a partition."""
LOCAL_FALLBACKS_MAX = 32
"""Partitions that a daemon gathers itself after their delegates failed."""
FULL_REPORTS_MAX = 200
"""Members in a fleet, or on a page, whose reports are returned in full."""
REQUEST_ERRORS = (CallError, PapayabayError, TimeoutError, OSError, ValueError)


class FleetReports:
    """Gathers one kind of report from all members, or sums of them.

    In a fleet of up to 200 daemons, each is asked directly and its full
    report is returned. In a larger one, sums are gathered: the members are
    split into at most 64 partitions, and one member of each is asked to
    gather its partition in the same way. So no daemon asks more than 64
    others, whatever the size of the fleet.

    Parameters
    ----------
    members : Members
    links : Links
    reports : dict of str to callable
        By topic, a function that returns this daemon's own report as
        JSON-compatible values.
    rng : random.Random, optional
        Picks the members that gather a partition.
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
        """Return the handler of peers' requests for one report."""

        async def answer(payload, peer):
            return json.dumps(self.reports[topic]()).encode()

        return answer

    async def gather(self, topic):
        """Return the reports of all live members, or their sums.

        Returns
        -------
        dict
            ``heard`` maps names to reports; for more than 200 daemons
            ``sums`` holds their sums instead. ``not_heard`` maps the names of
            daemons without a report to the cause.
        """
        names = self.ordered_names()
        if len(names) <= FULL_REPORTS_MAX:
            return await self.request_each(names, topic)
        sums, not_heard = await self.gather_sums(names, topic)
        return {"sums": sums.plain(), "not_heard": not_heard}

    async def gather_page(self, topic, after):
        """Return the full reports of the next 200 members after a name.

        Returns
        -------
        dict
            ``heard`` and ``not_heard`` as from `gather`; ``next`` is the value
            of `after` for the next page, or None on the last page.
        """
        names = sorted(member.name for member in self.members.live())
        names = [name for name in names if name > after]
        page = names[:FULL_REPORTS_MAX]
        reports = await self.request_each(page, topic)
        return {**reports, "next": page[-1] if len(names) > len(page) else None}

    def ordered_names(self):
        """Return the names of all live members, sorted by failure domain."""
        live = self.members.live()
        return [name for _, name in sorted((m.failure_domain, m.name) for m in live)]

    async def answer_gather(self, payload, peer):
        """Gather the reports of a partition on a peer's request."""
        topic, names = read_gather_request(payload)
        if topic not in self.reports or topic not in SUMS:
            raise ProtocolError(f"topic {topic!r:.40} has no sums to gather")
        if self.gathering >= CONCURRENT_GATHERS_MAX:
            # Bounds memory: each gathering holds up to 64 full reports. The
            # peer then asks another member of the same partition.
            raise ProtocolError(f"already gathering {self.gathering} partitions")
        self.gathering += 1
        try:
            sums, not_heard = await self.gather_sums(names, topic)
        finally:
            self.gathering -= 1
        return pack({"sums": sums.plain(), "not_heard": not_heard})

    async def gather_sums(self, names, topic):
        """Return the members' sums, and the causes of missing reports."""
        sums, not_heard = SUMS[topic](), {}
        await Gathering(self, topic, sums, not_heard).add(names)
        return sums, not_heard

    async def request_each(self, names, topic):
        """Return the members' full reports, and the causes of missing ones."""
        slots = asyncio.Semaphore(FAN_OUT)
        results = await asyncio.gather(
            *(self.request_report(name, topic, slots) for name in names)
        )
        pairs = list(zip(names, results, strict=True))
        return {
            "heard": {
                name: result for name, result in pairs if not isinstance(result, str)
            },
            "not_heard": {
                name: result for name, result in pairs if isinstance(result, str)
            },
        }

    async def request_report(self, name, topic, slots):
        """Return a member's report, or a str with the cause if it has none."""
        if name == self.members.local.name:
            return self.reports[topic]()
        member = self.members.get(name)
        if member is None:
            return f"not among the members that {self.members.local.name} knows"
        async with slots:
            try:
                payload = await self.links.request(
                    member, topic, b"", REPORT_TIMEOUT_SECONDS
                )
                report = json.loads(payload)
            except REQUEST_ERRORS as error:
                return describe_error(error)
        return report if isinstance(report, dict) else "its report is no object"


class Gathering:
    """Adds up reports on one daemon, directly or through other members.

    Parameters
    ----------
    fleet : FleetReports
    topic : str
    sums : StatusSums, BurnSums or AccountSums
        Receives the reports.
    not_heard : dict of str to str
        Receives the cause of each missing report, by the member's name.
    """

    def __init__(self, fleet, topic, sums, not_heard):
        self.fleet = fleet
        self.members = fleet.members
        self.topic = topic
        self.sums = sums
        self.not_heard = not_heard
        self.fallbacks_left = LOCAL_FALLBACKS_MAX

    async def add(self, names):
        """Add members' reports; more than `FAN_OUT` of them by partitions."""
        local = self.members.local.name
        if len(names) > FAN_OUT and local in names:
            names = [name for name in names if name != local]
            await self.add_directly([local])
        if len(names) <= FAN_OUT:
            await self.add_directly(names)
            return
        async with asyncio.TaskGroup() as group:
            for partition in split(names):
                group.create_task(self.add_partition(partition))

    async def add_directly(self, names):
        """Request and add the reports of members without a delegate."""
        reports = await self.fleet.request_each(names, self.topic)
        errors = self.sums.add_reports(reports["heard"])
        self.not_heard.update({**reports["not_heard"], **errors})

    async def add_partition(self, names):
        """Have one of the partition's members gather it, and add the sums.

        A delegate that fails stays among the names: the next one requests
        its report too and gets the cause of its silence. After two failures
        this daemon gathers the partition itself. When a whole failure domain
        has just died, that can happen to many partitions, so their number is
        limited to `LOCAL_FALLBACKS_MAX`.
        """
        causes = []
        known = [name for name in names if self.members.get(name) is not None]
        for delegate in self.fleet.random.sample(known, min(DELEGATES_MAX, len(known))):
            try:
                missing = await self.request_partition(delegate, names)
            except (*REQUEST_ERRORS, *MALFORMED_ERRORS) as error:
                causes.append(f"{delegate}: {describe_error(error)}")
            else:
                self.not_heard.update(missing)
                return
        if self.fallbacks_left:
            self.fallbacks_left -= 1
            await self.add(names)
            return
        cause = f"not asked, as its part was not gathered: {'; '.join(causes)}"
        self.not_heard.update(dict.fromkeys(names, cause))

    async def request_partition(self, delegate, names):
        """Add the sums that a delegate gathers of a partition.

        Returns
        -------
        dict of str to str
            The cause of each missing report, by the member's name.
        """
        member = self.members.get(delegate)
        if member is None:
            raise ProtocolError("it has just left")
        request = pack({"topic": self.topic, "names": names})
        timeout = gather_timeout(len(names))
        links = self.fleet.links
        answer = await links.request(member, GATHER_TOPIC, request, timeout)
        values = unpack(answer)
        missing = {str(key): str(cause) for key, cause in values["not_heard"].items()}
        if not missing.keys() <= set(names):
            raise ProtocolError("it names daemons that it was not asked for")
        self.sums.merge(values["sums"])
        return missing


def describe_error(error):
    """Return the cause of a missing report, from an error."""
    return f"{type(error).__name__}: {error!s:.200}"
