"""Tells other daemons of ends and verdicts, and learns what they know."""

import asyncio

import logbook

from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.membership.drawing import random_peers
from papayabay_daemon._internal.quarantine.messages import (
    TOPIC,
    BookDigest,
    decode,
    describe,
    encode,
    merge,
)

PEER_SECONDS = 1.0
TOLD_AT_ONCE = 32
"""Members that hear at once of what was seen here: all of a small fleet."""
PASSED_TO = 4
"""Members that each of a larger fleet passes news on to."""
PARTNERS = 8
"""Lasting partners with whom knowledge is evened out in turn, so that few
links are made for it."""
GATHER_S = 0.05
"""How long news waits for more, unless it is of an end: the calls that it cut
are sent to other targets within milliseconds."""
EVEN_OUT_S = 1.0
START_S = 1.0
"""How long a daemon that starts waits until it knows whom to ask. A fleet that
starts at once would ask the store once for each daemon."""
CATCH_UP_S = 0.25
log = logbook.Logger("papayabay.quarantine")


class QuarantineSpread:
    """Keeps the books of all daemons alike.

    A daemon that doesn't know that a request is held back would hand it to
    the target beside it. So news goes to all members of a small fleet at once
    and from member to member in a large one; partners even out what was
    missed; and a daemon that has started, or was cut off, asks until one
    answers that has itself caught up.

    Parameters
    ----------
    book : QuarantineBook
    members : Membership
        Besides `Members`: `silence`.
    links : Links
    rows : QuarantineRows
        Read where no peer can be asked.
    readers : Readers
        Tells who reads the store, and is asked first.
    random : random.Random
    clock : callable
        Seconds.
    """

    def __init__(self, book, members, links, rows, readers, random, clock=now):
        self.book = book
        self.members = members
        self.links = links
        self.rows = rows
        self.readers = readers
        self.random = random
        self.clock = clock
        self.digest = BookDigest(book)
        self.due = asyncio.Event()
        self.urgent = asyncio.Event()
        self.partners = []
        self.caught_up = False
        self.was_cut = False
        self.group = None
        self.service = ""
        self.counters = {"told": 0, "heard": 0, "evened_out": 0, "peer_errors": 0}
        book.listeners.append(self.note_news)
        links.handle_requests(TOPIC, self.answer)

    async def run(self):
        """Tell, even out and catch up until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            group.create_task(self.rows.run())
            group.create_task(self.run_telling())
            group.create_task(self.run_evening_out())

    # What peers ask and tell.

    async def answer(self, payload, peer):
        """Take in what a peer tells; answer with what it may lack."""
        message = decode(payload)
        known = self.digest.current()
        self.take(message)
        own = self.digest.current()
        return self.message(() if message.digest in (own, known) else None)

    def message(self, names):
        """Return what is known, or a part of it, as bytes for a peer."""
        own, era = self.digest.current(), self.rows.table.era.current
        return encode(describe(self.book, own, self.caught_up, names, era or 0))

    async def exchange(self, peer, names=()):
        """Tell a peer some of what is known, and take in what it answers.

        Returns
        -------
        BookMessage or None
            None when the peer could not be asked.
        """
        request = self.message(names)
        try:
            answer = decode(
                await self.links.request(peer, TOPIC, request, PEER_SECONDS)
            )
        except (ProtocolError, OSError, TimeoutError) as error:
            self.counters["peer_errors"] += 1
            log.info("{} could not be asked: {!r}", peer.name, error)
            return None
        self.take(answer)
        return answer

    def take(self, message):
        """Take in what a peer knows, and pass on what is new of it.

        What was seen here meanwhile is left to be told to all.
        """
        seen = self.book.take_news()
        merge(self.book, message)
        heard = self.book.take_news()
        self.book.news |= seen
        self.counters["heard"] += bool(heard)
        self.pass_on(heard)
        self.rows.hear_era(message.era)

    # Telling.

    def note_service(self, service):
        """Note whose targets end here: the daemons beside them come first."""
        self.service = service

    def note_news(self, urgent):
        """Note that something was seen here that others should know."""
        self.due.set()
        if urgent:
            self.urgent.set()

    async def gather_news(self):
        """Wait until there is news, and for more if that is not urgent."""
        await self.due.wait()
        try:
            async with asyncio.timeout(GATHER_S):
                await self.urgent.wait()
        except TimeoutError:
            pass
        self.due.clear()
        self.urgent.clear()

    async def run_telling(self):
        """Tell others what was seen here, soon after."""
        while True:
            await self.gather_news()
            news = self.book.take_news()
            for peer in self.first_told():
                self.group.create_task(self.tell(peer, news))

    def first_told(self):
        """Return the members that hear of news at once."""
        beside = self.members.upstreams(self.service) if self.service else []
        beside = beside[: TOLD_AT_ONCE // 2]
        drawn = random_peers(self.members, TOLD_AT_ONCE, self.random)
        told = {peer.name: peer for peer in [*beside, *drawn]}
        told.pop(self.members.local.name, None)
        return list(told.values())[:TOLD_AT_ONCE]

    async def tell(self, peer, news):
        """Tell a peer some news."""
        self.counters["told"] += 1
        await self.exchange(peer, news)

    def pass_on(self, news):
        """Tell some members what was heard; in a small fleet all have."""
        if not news:
            return
        self.rows.wanted.set()
        if self.group is None or len(self.members.live()) <= TOLD_AT_ONCE:
            return
        for peer in random_peers(self.members, PASSED_TO, self.random):
            self.group.create_task(self.tell(peer, news))

    # Evening out.

    async def run_evening_out(self):
        """Catch up, then compare with one partner after the other."""
        await asyncio.sleep(START_S)
        pause = CATCH_UP_S
        while True:
            self.look_for_cut()
            if self.caught_up:
                pause = CATCH_UP_S
                await self.even_out_once()
                await asyncio.sleep(EVEN_OUT_S * self.random.uniform(0.8, 1.2))
                continue
            self.caught_up = await self.catch_up()
            await asyncio.sleep(pause)
            pause = min(EVEN_OUT_S, pause * 1.5)

    async def even_out_once(self):
        """Compare with the next partner, while anything is known at all."""
        if self.book.is_empty:
            return
        self.rows.forget()
        self.rows.wanted.set()
        peer = self.next_partner()
        if peer is not None:
            self.counters["evened_out"] += 1
            await self.even_out(peer)

    async def even_out(self, peer):
        """Bring a peer and this daemon to the same knowledge."""
        answer = await self.exchange(peer)
        if answer is not None and answer.digest != self.digest.current():
            await self.exchange(peer, None)

    def next_partner(self):
        """Return the partner whose turn it is, or None without any."""
        kept = [name for name in self.partners if self.members.get(name)]
        if len(kept) < PARTNERS:
            drawn = random_peers(self.members, PARTNERS, self.random)
            kept += [peer.name for peer in drawn if peer.name not in kept]
        if not kept:
            return None
        name, *others = kept[:PARTNERS]
        self.partners = [*others, name]
        return self.members.get(name)

    # Catching up.

    async def catch_up(self):
        """Ask a peer or the store; return whether all is known by that."""
        peer = self.draw_informed()
        if peer is not None:
            answer = await self.exchange(peer)
            if answer is not None and answer.complete:
                return True
        if not self.readers.must_read() or not await self.rows.read():
            return False
        self.book.changed(urgent=True)
        return True

    def look_for_cut(self):
        """Note that something was missed, once others are heard again."""
        if self.members.silence() > self.readers.longest_silence:
            self.was_cut = True
        elif self.was_cut:
            self.was_cut = self.caught_up = False

    def draw_informed(self):
        """Return a reader of the store or any member, by turns of chance."""
        local = self.members.local
        readers = [peer for peer in self.readers.current() if peer is not local]
        if readers and self.random.random() < 0.5:
            return self.random.choice(readers)
        drawn = random_peers(self.members, 1, self.random)
        return drawn[0] if drawn else None
