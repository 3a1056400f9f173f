"""Exchange of full member lists and of their differences over links."""

import struct
from functools import reduce
from operator import xor

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.membership.packets import (
    decode_updates,
    encode_full,
    encode_short,
)
from papayabay_daemon._internal.membership.table import BUCKETS, fingerprint

TOPIC = "members"
PAGE_BYTES = 16_384
"""Size at which a page of records ends. The last bucket or record of a page
may exceed it."""
REQUEST_BYTES_MAX = 262_144
TIMEOUT_SECONDS = 2.0
GOSSIPED_MAX = 32
"""Records of one message up to which they are gossiped on."""
FINGERPRINTS_MAX = 512
"""Fingerprints per request, unless a single bucket has more."""
GROUPS = 32
GROUP_BUCKETS = BUCKETS // GROUPS
PAGE_REQUEST = 1
RECORDS_PUSH = 3
DIGESTS_REQUEST = 4
RECORDS_REQUEST = 5
NUMBER = struct.Struct("!H")
PAIR = struct.Struct("!HH")
FINGERPRINT = struct.Struct("!I")
GROUP_DIGESTS = struct.Struct(f"!{GROUPS}I")
GROUP = struct.Struct(f"!B{GROUP_BUCKETS}I")


class Exchange:
    """Requests member records from peers, and answers their requests.

    Parameters
    ----------
    table : MemberTable
    links : Links
    apply : callable
        Called with each update from a peer and whether to gossip it on.
    """

    def __init__(self, table, links, apply):
        self.table = table
        self.links = links
        self.apply = apply
        links.handle_requests(TOPIC, self.answer)

    async def answer(self, payload, peer):
        """Answer a peer's request."""
        if not 0 < len(payload) <= REQUEST_BYTES_MAX:
            raise ProtocolError(
                f"member request has {len(payload)} bytes; 1 to "
                f"{REQUEST_BYTES_MAX} are allowed"
            )
        kind, rest = payload[0], payload[1:]
        try:
            if kind == PAGE_REQUEST:
                return self.answer_page(rest)
            if kind == DIGESTS_REQUEST:
                return self.answer_digests(rest)
            if kind == RECORDS_REQUEST:
                return self.answer_records(rest)
        except struct.error as error:
            raise ProtocolError(f"malformed member request: {error}") from None
        if kind != RECORDS_PUSH:
            raise ProtocolError(f"member request is of unknown kind {kind}")
        self.apply_records(rest)
        return b""

    def apply_records(self, content, offset=0, complete=True):
        """Apply encoded records and return the updates by name.

        A few records are gossiped on. Other members know most of a long list
        already: gossiping all of it on would fill the update queue of a
        daemon that joins 13,000 others for a quarter of an hour, and delay
        new updates. So the pages of a long list are not gossiped on, not
        even a short last page.

        Parameters
        ----------
        content : bytes
        offset : int
            Where the records start.
        complete : bool
            Whether these are all records of the answer, not one of its pages.
        """
        updates = decode_updates(content, offset)
        gossip = complete and len(updates) <= GOSSIPED_MAX
        for update in updates:
            self.apply(update, gossip)
        return {update.name: update for update in updates}

    def answer_page(self, rest):
        """Return a page of records, prefixed with the next bucket to fetch."""
        (start,) = NUMBER.unpack_from(rest)
        self.apply_records(rest, NUMBER.size)
        buckets, records = self.page_of_buckets(range(start, BUCKETS))
        return NUMBER.pack(start + len(buckets)) + records

    def answer_digests(self, rest):
        """Return the bucket digests of the groups whose digests differ."""
        pairs = zip(GROUP_DIGESTS.unpack(rest), self.group_digests(), strict=True)
        return b"".join(
            GROUP.pack(group, *self.bucket_digests(group))
            for group, (theirs, own) in enumerate(pairs)
            if theirs != own
        )

    def group_digests(self):
        """Return one digest per group of buckets."""
        return [reduce(xor, self.bucket_digests(group)) for group in range(GROUPS)]

    def bucket_digests(self, group):
        """Return the digests of the buckets of a group."""
        start = group * GROUP_BUCKETS
        return self.table.digests[start : start + GROUP_BUCKETS]

    def answer_records(self, rest):
        """Return the differences to the fingerprints in a request.

        The answer holds the number of compared buckets, the positions in the
        request of the fingerprints that are unknown here, and the records
        that the peer lacks. Dead members are included only for buckets with
        an unknown fingerprint, as that member may be dead here.
        """
        position, size, compared = 0, 0, 0
        unknown, pages = [], []
        for bucket, theirs in decode_fingerprints(rest):
            own = self.live_by_fingerprint(bucket)
            missing = [index for index, key in enumerate(theirs) if key not in own]
            records = self.missing_records(bucket, own, set(theirs), bool(missing))
            size += len(records)
            if compared and size > PAGE_BYTES:
                break
            compared += 1
            pages.append(records)
            unknown += [position + index for index in missing]
            position += len(theirs)
        numbers = map(NUMBER.pack, unknown)
        return b"".join((PAIR.pack(compared, len(unknown)), *numbers, *pages))

    def live_by_fingerprint(self, bucket):
        """Return the live members of a bucket by fingerprint."""
        return {
            fingerprint(member): member
            for member in self.table.buckets[bucket].values()
            if member.state is not MemberState.DEAD
        }

    def missing_records(self, bucket, own, theirs, with_dead):
        """Return the encoded records of a bucket that a peer lacks."""
        records = [encode_full(own[key]) for key in own.keys() - theirs]
        if with_dead:
            records += [
                encode_short(member)
                for member in self.table.buckets[bucket].values()
                if member.state is MemberState.DEAD
            ]
        return b"".join(records)

    def page_of_buckets(self, buckets):
        """Return the buckets that fit on a page, and their encoded records."""
        fitting, pages, size = [], [], 0
        for bucket in buckets:
            members = self.table.buckets[bucket].values()
            records = b"".join(encode_full(member) for member in members)
            size += len(records)
            if fitting and size > PAGE_BYTES:
                break
            fitting.append(bucket)
            pages.append(records)
        return fitting, b"".join(pages)

    async def join(self, peer):
        """Fetch all members from a peer.

        Each request carries the record of this daemon, so that the peer
        learns of it.
        """
        bucket = 0
        local = encode_full(self.table.local)
        while bucket < BUCKETS:
            request = bytes((PAGE_REQUEST,)) + NUMBER.pack(bucket) + local
            answer = await self.links.request(peer, TOPIC, request, TIMEOUT_SECONDS)
            bucket = self.apply_page(answer, bucket)

    def apply_page(self, answer, start):
        """Apply one page and return the next bucket to fetch."""
        if len(answer) < NUMBER.size:
            raise ProtocolError("member page has no bucket number")
        (bucket,) = NUMBER.unpack_from(answer)
        if bucket <= start:
            raise ProtocolError(
                f"member page from bucket {start} on continues at bucket {bucket}"
            )
        complete = start == 0 and bucket == BUCKETS
        self.apply_records(answer, NUMBER.size, complete)
        return bucket

    async def reconcile(self, peer):
        """Exchange the records that differ between this daemon and a peer.

        Digests of groups are compared first, then the digests of the buckets
        in groups that differ, then the fingerprints of single members. In a
        cluster of 13,000, some update is nearly always still propagating,
        and sending whole buckets made up most of the traffic of
        reconciliation.

        All differences are exchanged at once, in as many pages as needed.
        After a partition between regions nearly all records differ; with one
        page each half minute, daemons would lack most upstreams for minutes.
        """
        buckets = await self.differing_buckets(peer)
        while buckets:
            compared = await self.reconcile_page(peer, buckets)
            buckets = buckets[compared:]

    async def differing_buckets(self, peer):
        """Return the buckets whose digests differ from a peer's."""
        request = bytes((DIGESTS_REQUEST,)) + GROUP_DIGESTS.pack(*self.group_digests())
        answer = await self.links.request(peer, TOPIC, request, TIMEOUT_SECONDS)
        try:
            groups = {group: theirs for group, *theirs in GROUP.iter_unpack(answer)}
        except struct.error as error:
            raise ProtocolError(f"malformed member digests: {error}") from None
        if any(group >= GROUPS for group in groups):
            raise ProtocolError(
                f"member digests of group {max(groups)}; there are {GROUPS} groups"
            )
        return [
            group * GROUP_BUCKETS + index
            for group, theirs in sorted(groups.items())
            for index, own in enumerate(self.bucket_digests(group))
            if own != theirs[index]
        ]

    async def reconcile_page(self, peer, buckets):
        """Reconcile the first of some buckets; return how many they were."""
        requested, members, fields = 0, [], []
        for bucket in buckets:
            own = self.live_by_fingerprint(bucket)
            if requested and len(members) + len(own) > FINGERPRINTS_MAX:
                break
            requested += 1
            members += own.values()
            fields.append(PAIR.pack(bucket, len(own)))
            fields += map(FINGERPRINT.pack, own)
        request = b"".join((bytes((RECORDS_REQUEST,)), *fields))
        answer = await self.links.request(peer, TOPIC, request, TIMEOUT_SECONDS)
        compared, unknown, theirs = self.apply_difference(answer)
        if not 0 < compared <= requested or any(
            index >= len(members) for index in unknown
        ):
            raise ProtocolError(
                f"member difference over {compared} of {requested} requested "
                f"buckets, or beyond the {len(members)} members in the request"
            )
        lacking = (members[index] for index in unknown)
        await self.send_records(
            peer, [m for m in lacking if is_newer(m, theirs.get(m.name))]
        )
        return compared

    def apply_difference(self, answer):
        """Apply the records in a peer's answer to a records request.

        Returns
        -------
        (int, tuple of int, dict of str to Update)
            The number of buckets that the peer compared, the positions of
            the fingerprints that it does not know, and the updates by name.
        """
        try:
            compared, count = PAIR.unpack_from(answer)
            unknown = struct.unpack_from(f"!{count}H", answer, PAIR.size)
        except struct.error as error:
            raise ProtocolError(f"malformed member difference: {error}") from None
        start = PAIR.size + count * NUMBER.size
        return compared, unknown, self.apply_records(answer, start)

    async def send_records(self, peer, members):
        """Send records to a peer, a page at a time."""
        records = map(encode_full, members)
        while page := next_page(records):
            request = bytes((RECORDS_PUSH,)) + page
            await self.links.request(peer, TOPIC, request, TIMEOUT_SECONDS)


def next_page(records):
    """Return the next page from an iterator of encoded records."""
    page, size = [], 0
    for record in records:
        page.append(record)
        size += len(record)
        if size >= PAGE_BYTES:
            break
    return b"".join(page)


def decode_fingerprints(content):
    """Return pairs of a bucket and the fingerprints of its members.

    Raises
    ------
    ProtocolError
        When a bucket number is too high.
    struct.error
        When the content is truncated.
    """
    pairs, offset = [], 0
    while offset < len(content):
        bucket, count = PAIR.unpack_from(content, offset)
        if bucket >= BUCKETS:
            raise ProtocolError(
                f"fingerprints of bucket {bucket}; there are {BUCKETS} buckets"
            )
        fingerprints = struct.unpack_from(f"!{count}I", content, offset + PAIR.size)
        pairs.append((bucket, fingerprints))
        offset += PAIR.size + count * FINGERPRINT.size
    return pairs


def is_newer(member, update):
    """Return whether a member's record is newer than a peer's update."""
    if update is None:
        return True
    own = (member.incarnation, member.state)
    return own > (update.incarnation, update.state)
