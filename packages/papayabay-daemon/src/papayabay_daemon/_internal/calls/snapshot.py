"""Asks a neighbour for its figures of work when this daemon starts.

Without them a daemon would admit requests by rank alone, and pass on what
the services below refuse, until its own calls have brought figures.
"""

import asyncio

import logbook

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.calls.snapshot_messages import (
    TOPIC,
    PathCounts,
    Snapshot,
    decode,
    encode,
)
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.routing.figures import adopt_figures, read_figures

ANSWER_TIMEOUT_S = 0.5
"""Includes the time to open a link, which other requests do not count."""
MAX_ASKED = 2
"""Neighbours that are asked, one after the other."""
CHECK_INTERVAL_S = 0.05
MAX_WAIT_S = 5.0
"""How long to wait for a policy and a neighbour after the start. By then the
daemon's own calls have brought figures."""
ADOPTED_RUNS = 16
"""Most runs as which a peer's counts are taken, so that own runs soon outweigh
them."""
log = logbook.Logger("papayabay.work")


class SnapshotExchange:
    """Answers the neighbours' requests for figures, and asks once itself.

    Parameters
    ----------
    members : Members
    links : Links
    policy_source : callable
        Returns the `Policy` in force.
    run_counts : RunCounts
    router : RoutingTable
    random : random.Random

    Attributes
    ----------
    counters : dict of str to int
        Snapshots sent and taken over, and requests without an answer.
    """

    def __init__(self, members, links, policy_source, run_counts, router, random):
        self.members = members
        self.links = links
        self.policy_source = policy_source
        self.run_counts = run_counts
        self.router = router
        self.random = random
        self.counters = dict.fromkeys(
            ("snapshots_sent", "snapshots_adopted", "snapshots_unanswered"), 0
        )
        links.handle_requests(TOPIC, self.handle_request)

    async def handle_request(self, payload, peer):
        """Return this daemon's encoded figures."""
        self.counters["snapshots_sent"] += 1
        paths = self.run_counts.paths.items()
        by_runs = sorted(paths, key=lambda item: -item[1].complete_runs)
        counts = [
            PathCounts(path_key, path.complete_runs, path.calls)
            for path_key, path in by_runs
            if path.calls
        ]
        return encode(Snapshot(counts, read_figures(self.router)))

    async def run(self):
        """Ask the neighbours once, as soon as there are any."""
        if not await self.wait_until_ready():
            return
        for peer in self.neighbours():
            if await self.ask(peer):
                return

    async def wait_until_ready(self):
        """Wait for a policy and a neighbour; return whether to ask it."""
        for _ in range(round(MAX_WAIT_S / CHECK_INTERVAL_S)):
            policy = self.policy_source()
            if policy.version > 0:
                if policy.decisions.equals != "work":
                    return False
                if self.neighbours():
                    return True
            await asyncio.sleep(CHECK_INTERVAL_S)
        return False

    def neighbours(self):
        """Return the members to ask, the best one first.

        Those that serve the same service know the counts of its paths, and
        those of the same failure domain answer soonest.
        """
        local = self.members.local
        others = [
            member
            for member in self.members.live()
            if member is not local and member.state is MemberState.ALIVE
        ]
        self.random.shuffle(others)
        others.sort(
            key=lambda member: (
                not local.service or member.service != local.service,
                member.failure_domain != local.failure_domain,
            )
        )
        return others[:MAX_ASKED]

    async def ask(self, peer):
        """Take over a peer's figures; return whether it answered."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self.links.request(peer, TOPIC, b"", ANSWER_TIMEOUT_S)
            snapshot = decode(answer)
        except (ProtocolError, OSError, TimeoutError) as error:
            self.counters["snapshots_unanswered"] += 1
            log.notice("no figures of work from {}: {!r}", peer.name, error)
            return False
        self.adopt(snapshot, peer)
        return True

    def adopt(self, snapshot, peer):
        """Take over the figures that this daemon does not have yet."""
        for path in snapshot.counts:
            self.run_counts.adopt(path.path_key, *scaled_counts(path))
        paths = sum(adopt_figures(self.router, one) for one in snapshot.services)
        self.counters["snapshots_adopted"] += 1
        log.notice(
            "took over figures of work from {}: {} call trees, {} paths",
            peer.name,
            len(snapshot.counts),
            paths,
        )


def scaled_counts(path):
    """Return a peer's runs and calls, as of at most `ADOPTED_RUNS` runs."""
    runs = min(path.runs, ADOPTED_RUNS)
    calls = {child: count * runs // path.runs for child, count in path.calls.items()}
    return runs, calls
