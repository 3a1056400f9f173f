"""One link to another daemon: its calls, its heartbeats and its end."""

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.call_frames import AnswerFrame, CallFrame
from papayabay_daemon._internal.links.codec import (
    encode_leaving,
    encode_number,
    encode_retire,
)
from papayabay_daemon._internal.links.connection import Connection
from papayabay_daemon._internal.links.incoming import IncomingCalls
from papayabay_daemon._internal.links.lifetime import ClockOffset, now_us
from papayabay_daemon._internal.links.limits import (
    ACCEPTED_GRACE_SECONDS,
    CALLER_SECONDS,
    IDLE_SECONDS,
    QUIET_SECONDS,
    RARE_STAMP_SECONDS,
    STAMP_SECONDS,
)
from papayabay_daemon._internal.links.outgoing import OutgoingCalls


class Link(Connection):
    """A connection and what is in flight on it, in both directions.

    Parameters
    ----------
    owner : PeerLinks
    expected : str or None
        Name of the daemon that is dialled; None for one that dialled us.
    """

    def __init__(self, owner, expected=None):
        super().__init__(owner, expected)
        inline_bytes = owner.settings.limits.inline_body_bytes
        self.outgoing = OutgoingCalls(self, inline_bytes)
        self.incoming = IncomingCalls(self, owner.handlers, inline_bytes)
        self.offset = ClockOffset()
        self.retired = False
        self.doubted = False
        self.member = None
        self.last_call = self.loop.time()
        self.stamped = False
        self.stamped_at = self.last_heard
        self.calling_until = self.last_heard
        self.ping_us = None
        self.round_trip_ms = None
        self.heart = None
        self.clear_at = self.last_heard
        self.receivers = {
            CallFrame: self.incoming.receive_call,
            AnswerFrame: self.outgoing.receive_answer,
            "bodyPart": self.receive_part,
            "window": self.receive_window,
            "cancel": self.incoming.receive_cancel,
            "ping": self.receive_ping,
            "pong": self.receive_pong,
            "leaving": self.receive_leaving,
            "request": self.incoming.receive_request,
            "reply": self.outgoing.receive_reply,
            "retire": self.receive_retire,
        }

    def begin(self):
        """Show our clock, and watch for silence from now on."""
        self.send_ping()
        self.clear_at = now()
        self.heart = self.loop.create_future()
        self.owner.beats.add(self)

    def end(self, reason):
        """End the heartbeat; answer all calls in flight.

        A doubt outlasts its link: see `PeerLinks.seek`.
        """
        if self.heart is not None:
            self.heart.cancel()
        self.outgoing.lost(reason)
        self.incoming.lost()

    # Frames that concern the link itself or both directions.

    def receive_part(self, message):
        """Take a part of a body in."""
        side = self.outgoing if message.ofAnswer else self.incoming
        side.receive_part(message)

    def receive_window(self, message):
        """Let a body go on."""
        side = self.incoming if message.ofAnswer else self.outgoing
        side.receive_window(message)

    def receive_ping(self, stamp_us):
        """Answer a heartbeat, whose content is the sender's clock."""
        self.offset.observe(now_us(), stamp_us)
        self.send(encode_number("pong", stamp_us))

    def receive_pong(self, stamp_us):
        """Measure the round trip of our own heartbeat."""
        if stamp_us == self.ping_us:
            self.round_trip_ms = (now_us() - stamp_us) / 1000
            self.ping_us = None

    def receive_leaving(self, message):
        """Pass on that the peer takes no new work."""
        self.owner.peer_leaving(self.peer_name)

    def receive_retire(self, message):
        """Stop using a link that the peer wants to close."""
        self.peer_retired = True
        self.retire()
        self.call_ended()

    def send_leaving(self):
        """Tell the peer that this daemon takes no new work."""
        self.send(encode_leaving())

    def retire(self):
        """Take no new calls; close when nothing is in flight.

        Closing at once could cut off a call that the peer just sent, which
        its caller would have to take for `unknown`. Frames keep their order,
        so after both ends said that they send no more calls, none is on the
        way.
        """
        if not self.retired and not self.closed:
            self.retired = True
            self.owner.link_retired(self)
            self.send(encode_retire())

    def note_call(self, stamped=False):
        """Note that the link is in use."""
        self.last_call = self.loop.time()
        if stamped:
            self.stamped = True

    def call_ended(self):
        """Close a retired link with its last call."""
        if self.retired and self.peer_retired and not self.in_flight:
            self.close()

    @property
    def in_flight(self):
        """Calls and questions that haven't ended, in both directions."""
        return len(self.outgoing) + len(self.incoming)

    # Heartbeats.

    def send_ping(self):
        """Send a heartbeat with our clock in it."""
        self.ping_us = now_us()
        self.send(encode_number("ping", self.ping_us))

    def beat(self, watch, moment):
        """Find out, once per heartbeat period, that the link went silent.

        A middlebox can forget a connection, or a cable be cut: writes go on
        to succeed, nothing comes back, and TCP tells of it after minutes.
        Calls would hang that long. Heartbeats make sure that something is
        owed whenever nothing was heard, and so silence means loss.

        Parameters
        ----------
        watch : SilenceWatch
        moment : float
            Now, the same for all links.
        """
        if not self.is_owed():
            self.clear_at = moment
        heard_at = max(self.last_heard, self.clear_at)
        if watch.is_silent(moment, heard_at):
            self.counters.links_silent += 1
            self.owner.limited_log.warn(
                "silent", "Link with {} went silent", self.peer_name
            )
            self.lose("the link went silent")
            return
        # After a pause of this process nothing is known anew. Taken back, a
        # doubt would send calls to a dark machine until the next beat.
        if not watch.is_late:
            self.set_doubt(watch.is_doubtful(moment, heard_at))
        quiet = moment - self.last_heard
        if self.stamp_due(moment) or quiet >= self.patience(watch):
            self.send_ping()
            self.stamped_at = moment
        if self.dialled and self.idle():
            self.counters.links_idle += not self.retired
            self.retire()

    def data_received(self, data):
        """Take bytes in; whatever they are, the peer is there."""
        self.set_doubt(False)
        super().data_received(data)

    def set_doubt(self, doubted):
        """Tell, on a change, whether new calls had better not go here."""
        if doubted != self.doubted:
            self.doubted = doubted
            self.owner.peer_doubted(self.peer_name, doubted)

    def is_owed(self):
        """Whether the peer has to answer something."""
        return self.ping_us is not None or len(self.outgoing) > 0

    def patience(self, watch):
        """Return for how many seconds nothing need be heard.

        A daemon has a hundred links and few calls on each. Heartbeats on
        all of them, twice a second, would take forty times the traffic that
        control may use; so they are only sent while they decide something.
        """
        if self.is_owed():
            return min(watch.doubt, watch.bound) / 2
        if len(self.incoming):
            return watch.bound
        return QUIET_SECONDS + (0 if self.dialled else ACCEPTED_GRACE_SECONDS)

    def stamp_due(self, moment):
        """Return whether the peer has to see our clock again.

        It uses it to judge how long our calls were on their way. Calls carry
        stamps themselves, and most links carry calls in one direction only.
        """
        if self.stamped:
            self.stamped = False
            self.stamped_at = moment
            self.calling_until = moment + CALLER_SECONDS
        calling = moment < self.calling_until
        pause = STAMP_SECONDS if calling else RARE_STAMP_SECONDS
        return moment - self.stamped_at >= pause

    def idle(self):
        """Whether the link has had no use for long."""
        unused = self.loop.time() - self.last_call
        return unused > IDLE_SECONDS and not self.in_flight

    def status(self):
        """Return what the status door shows of this link."""
        offset = self.offset.smallest
        return {
            "peer": self.peer_name,
            "incarnation": self.incarnation,
            "dialled": self.dialled,
            "retired": self.retired,
            "since": self.since,
            "in_flight": self.in_flight,
            "round_trip_ms": self.round_trip_ms,
            "offset_ms": None if offset is None else offset / 1000,
        }
