"""The size to design for, and what the measured slopes make of it."""

import math
from dataclasses import dataclass
from statistics import mean

from papayabay_bench.capacity.configuration import small_change
from papayabay_bench.capacity.crowd import SEGMENT_OVERHEAD, news_sends
from papayabay_bench.capacity.slopes import fit
from papayabay_core.configuration import encode_patches, new_patch
from papayabay_daemon._internal.configuration.messages import (
    OFFER_TOPIC,
    TAIL,
    TAIL_TOPIC,
    Offer,
    encode_version,
)
from papayabay_daemon._internal.configuration.pushing import FAN_OUT, PARTNERS
from papayabay_daemon._internal.links.codec import encode_reply, encode_request
from papayabay_daemon._internal.membership.packets import encode_full, encode_short

DAY = 86_400
PREFIX_BYTES = 4
MEMBERS = 13_000
SERVICES = 490
DOMAINS = 20
READERS_PER_DOMAIN = 2
CONFIGURATION_CHANGES = 11_000
RESTARTS = 4_100
FAILURES = 50
LINKS_OUT = 36
"""A target that calls three services, twelve upstreams of each."""
LINKS_IN = 36
PARTNER_LINKS = 2 * PARTNERS
"""To those that versions are pushed to, and from those that push here."""
RECONCILE_LINKS = 4
LINKS = LINKS_OUT + LINKS_IN + PARTNER_LINKS + RECONCILE_LINKS
FULL_RECORDS = 2
SHORT_RECORDS = 2
"""News of a restart: leaving and dead, short; back and announced, full."""
MIB = 1024 * 1024
LIMIT_MEMORY = 32 * MIB
LIMIT_PROCESSOR = 0.029
LIMIT_BYTES = 2_048
LIMIT_SPREAD = 6.0


@dataclass(frozen=True, slots=True)
class Row:
    """One figure at the design size.

    Attributes
    ----------
    what, how : str
        The figure, and what it was worked out from.
    value : float
    unit : str
    limit : float or None
    """

    what: str
    value: float
    unit: str
    how: str
    limit: float | None = None

    @property
    def met(self):
        """Whether the limit holds; None without one."""
        return None if self.limit is None else self.value <= self.limit


def news_bytes(member):
    """Return the bytes of all news of one restart, told once."""
    full, short = len(encode_full(member)), len(encode_short(member))
    return FULL_RECORDS * full + SHORT_RECORDS * short


def churn_bytes(member):
    """Return bytes per second, in and out, of news of an ordinary day."""
    restarts = (RESTARTS + FAILURES) / DAY
    return 2 * restarts * news_sends(MEMBERS) * news_bytes(member)


def news_rate():
    """Return records that change per second."""
    return (RESTARTS + FAILURES) * (FULL_RECORDS + SHORT_RECORDS) / DAY


def change_rate():
    """Return configuration changes per second."""
    return CONFIGURATION_CHANGES / DAY


def change_bytes(spread):
    """Return the bytes of one change at one daemon, both directions.

    Each message is sent by one daemon and taken by another, so that a
    daemon has twice as many as it sends.
    """
    pushes = max((sample.pushes for sample in spread), default=FAN_OUT)
    pulls = max((sample.pulls for sample in spread), default=1.0)
    patch = encode_patches([new_patch(0, small_change(0), "capacity")])
    offer = Offer(1, 1.0).encode()
    push = exchange_bytes(OFFER_TOPIC, offer, offer)
    pull = exchange_bytes(TAIL_TOPIC, encode_version(0), offer + TAIL + patch)
    return 2 * (pushes * push + pulls * pull)


def exchange_bytes(topic, question, answer):
    """Return the bytes of a question on a link and its answer."""
    frames = encode_request(1, topic, question), encode_reply(1, True, answer)
    return sum(len(frame) + PREFIX_BYTES + SEGMENT_OVERHEAD for frame in frames)


def line(samples, name):
    """Return the line of one field over the samples' sizes."""
    return fit((sample.size, getattr(sample, name)) for sample in samples)


def memory_rows(results):
    """Return the rows on memory."""
    members = line(results.members, "private").per_item * MEMBERS
    links = line(results.links, "private").per_item * LINKS
    policy = line(results.configuration, "memory").at(SERVICES)
    control = members + links + policy
    alone = results.members[0].memory
    return [
        Row("memory, member table", members / MIB, "MB", f"{MEMBERS:,} members"),
        Row("memory, policy", policy / MIB, "MB", f"{SERVICES} services"),
        Row("memory, links", links / MIB, "MB", f"{LINKS} links"),
        Row(
            "memory of control",
            control / MIB,
            "MB",
            "sum of the three",
            LIMIT_MEMORY / MIB,
        ),
        Row(
            "memory of the whole process",
            (alone + control) / MIB,
            "MB",
            "a daemon that knows nobody, and control",
        ),
    ]


def byte_rows(results, member):
    """Return the rows on traffic, both directions."""
    quiet = max(sample.packet_bytes for sample in results.members)
    churn = churn_bytes(member)
    links = line(results.links, "bytes").per_item * (LINKS - RECONCILE_LINKS)
    links = max(0.0, links)
    reconcile = mean(s.link_bytes for s in results.members if s.size)
    changes = change_rate() * change_bytes(results.spread)
    total = quiet + churn + links + reconcile + changes
    return [
        Row(
            "probes", quiet, "B/s", "gossip packets of a quiet time, the costliest size"
        ),
        Row(
            "news of restarts and failures",
            churn,
            "B/s",
            f"{news_sends(MEMBERS)} sends",
        ),
        Row(
            "heartbeats of idle links", links, "B/s", f"{LINKS - RECONCILE_LINKS} links"
        ),
        Row(
            "reconciling",
            reconcile,
            "B/s",
            "link frames of a quiet time, mean of all sizes",
        ),
        Row("configuration", changes, "B/s", f"{CONFIGURATION_CHANGES:,} a day"),
        Row("traffic of control", total, "B/s", "sum of the five", LIMIT_BYTES),
    ]


def processor_rows(results):
    """Return the rows on processor time, as shares of one core."""
    quiet = max(sample.processor for sample in results.members)
    links = line(results.links, "processor").per_item * LINKS
    per_change = max(sample.daemon_seconds for sample in results.configuration)
    changes = change_rate() * per_change
    news = max(sample.news_processor for sample in results.members) * news_rate()
    total = quiet + links + changes + news
    return [
        Row("news of restarts and failures", 100 * news, "% core", "a record each"),
        Row("membership, quiet", 100 * quiet, "% core", "the costliest size"),
        Row("idle links", 100 * links, "% core", f"{LINKS} links"),
        Row(
            "configuration", 100 * changes, "% core", f"{per_change * 1e3:.1f} ms each"
        ),
        Row(
            "processor time of control",
            100 * total,
            "% core",
            "sum of the four",
            100 * LIMIT_PROCESSOR,
        ),
    ]


def spread_rows(results):
    """Return the rows on the spread of a version."""
    if len(results.spread) < 2:
        return []
    points = [(math.log2(s.size), s.up_seconds) for s in results.spread]
    reached = fit(points).at(math.log2(MEMBERS))
    worst = max(reached, *(sample.up_seconds for sample in results.spread))
    reads = READERS_PER_DOMAIN * DOMAINS
    return [
        Row(
            "a change in force everywhere",
            worst,
            "s",
            "by the doublings of the fleet",
            LIMIT_SPREAD,
        ),
        Row("store reads of all readers", reads, "1/s", "one poll a second each"),
    ]


def stall_rows(results):
    """Return the longest hold-up of the event loop by a patch."""
    worst = 1_000 * max(sample.apply_worst for sample in results.configuration)
    return [Row("event loop held up by a patch", worst, "ms", "the longest of all")]


def design_rows(results, member):
    """Return all rows.

    Parameters
    ----------
    results : Results
    member : Member
        One of the usual size, for the bytes of its news.
    """
    return [
        *memory_rows(results),
        *byte_rows(results, member),
        *processor_rows(results),
        *stall_rows(results),
        *spread_rows(results),
    ]
