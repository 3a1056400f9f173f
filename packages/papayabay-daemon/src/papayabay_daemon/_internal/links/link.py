"""One link to another daemon: calls, heartbeats and retirement."""

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.call_frames import AnswerFrame, CallFrame
from papayabay_daemon._internal.links.clock_offset import ClockOffset, now_us
from papayabay_daemon._internal.links.codec import (
    encode_leaving,
    encode_number,
    encode_retire,
)
from papayabay_daemon._internal.links.connection import Connection
from papayabay_daemon._internal.links.incoming import IncomingCalls
from papayabay_daemon._internal.links.limits import (
    ACCEPTED_GRACE_SECONDS,
    CALLER_SECONDS,
    IDLE_SECONDS,
    KEEPALIVE_SECONDS,
    RARE_STAMP_SECONDS,
    STAMP_SECONDS,
)
from papayabay_daemon._internal.links.outgoing import OutgoingCalls


class Link(Connection):
    """A connection with its calls in flight in both directions.

    Parameters
    ----------
    owner : PeerLinks
    expected : str or None
        Name of the daemon that is dialled; None for an accepted connection.

    Attributes
    ----------
    retired : bool
        Whether this end sends no new calls.
    member : Member or None
        The peer as of the last call to it.
    used : bool
        Whether a call was sent or received since the last check.
    last_used : float
        When the checks last found that a call had been sent or received, on
        the loop's clock.
    stamped : bool
        Whether a call with a clock stamp was sent since the last check.
    last_stamp : float
        When a stamp was last sent, as far as the checks know.
    caller_until : float
        Until when this end counts as one that sends calls.
    pending_ping_us : int or None
        Stamp of the heartbeat that was not answered yet.
    expecting_since : float
        When the peer last had nothing to answer.
    heartbeats_ended : asyncio.Future or None
        Done when the link is no longer checked for liveness.
    """

    def __init__(self, owner, expected=None):
        super().__init__(owner, expected)
        inline_bytes = owner.settings.limits.inline_body_bytes
        self.outgoing = OutgoingCalls(self, inline_bytes)
        self.incoming = IncomingCalls(self, owner.handlers, inline_bytes)
        self.offset = ClockOffset()
        self.retired = False
        self.member = None
        self.used = False
        self.last_used = self.loop.time()
        self.stamped = False
        self.last_stamp = self.last_received
        self.caller_until = self.last_received
        self.pending_ping_us = None
        self.round_trip_ms = None
        self.heartbeats_ended = None
        self.expecting_since = self.last_received
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

    def on_opened(self):
        """Send the first clock stamp and start the liveness checks."""
        self.send_ping()
        self.expecting_since = now()
        self.heartbeats_ended = self.loop.create_future()
        self.owner.heartbeats.add(self)

    def on_closed(self, reason):
        """Stop the liveness checks and fail all calls in flight.

        An unresponsive peer stays marked as such; see `Dialler.reconnect`.
        """
        if self.heartbeats_ended is not None:
            self.heartbeats_ended.cancel()
        self.outgoing.fail_all(reason)
        self.incoming.cancel_all()

    # Frames of the link itself or of both directions.

    def receive_part(self, message):
        """Pass on a part of a body."""
        side = self.outgoing if message.ofAnswer else self.incoming
        side.receive_part(message)

    def receive_window(self, message):
        """Extend the window of a body."""
        side = self.incoming if message.ofAnswer else self.outgoing
        side.receive_window(message)

    def receive_ping(self, stamp_us):
        """Answer a heartbeat, which contains the sender's clock."""
        self.offset.observe(now_us(), stamp_us)
        self.send(encode_number("pong", stamp_us))

    def receive_pong(self, stamp_us):
        """Measure the round trip of a heartbeat that this end sent."""
        if stamp_us == self.pending_ping_us:
            self.round_trip_ms = (now_us() - stamp_us) / 1000
            self.pending_ping_us = None

    def receive_leaving(self, message):
        """Report that the peer is leaving."""
        self.owner.notify_leaving(self.peer_name)

    def receive_retire(self, message):
        """Retire a link that the peer has retired."""
        self.peer_retired = True
        self.retire()
        self.close_if_drained()

    def send_leaving(self):
        """Tell the peer that this daemon is leaving."""
        self.send(encode_leaving())

    def retire(self):
        """Send no new calls; the link closes when nothing is in flight.

        Closing at once could lose a call that the peer has just sent, whose
        effect would then be `unknown` to its caller. Frames arrive in order,
        so no call is in transit once both ends have sent a retire frame.
        """
        if not self.retired and not self.closed:
            self.retired = True
            self.owner.link_retired(self)
            self.send(encode_retire())

    def close_if_drained(self):
        """Close a link that both ends retired once nothing is in flight."""
        if self.retired and self.peer_retired and not self.in_flight:
            self.close()

    @property
    def in_flight(self):
        """Number of calls and control requests in both directions."""
        return len(self.outgoing) + len(self.incoming)

    # Heartbeats.

    def send_ping(self):
        """Send a heartbeat with this end's clock."""
        self.pending_ping_us = now_us()
        self.send(encode_number("ping", self.pending_ping_us))

    def check_liveness(self, detector, moment):
        """Check the peer's liveness; called once per heartbeat period.

        A middlebox can drop the state of a connection, or a cable can be cut:
        writes still succeed, nothing is received, and TCP reports the loss
        only after minutes. Calls would hang that long. A heartbeat is sent
        whenever nothing was received for a while, so that the peer has
        something to answer and silence means that the link is lost.

        Parameters
        ----------
        detector : LivenessDetector
        moment : float
            Now, the same for all links.
        """
        if not self.expects_answer():
            self.expecting_since = moment
        last_received = self.last_received
        last_alive = self.expecting_since
        if last_alive < last_received:
            last_alive = last_received
        if detector.has_timed_out(moment, last_alive):
            self.counters.links_silent += 1
            self.owner.rate_limited_log.warn(
                "silent",
                "Peer {!r} did not answer within the silence limit; closing the link",
                self.peer_name,
            )
            self.abort("the link went silent")
            return
        # A check that is late because this process paused shows nothing about
        # the peer. Clearing the state then would send calls to a machine that
        # is down until the next check.
        if not detector.is_delayed:
            # A link times out late, since closing it leaves the outcome of its
            # calls unknown. A peer counts as unresponsive earlier, since new
            # calls lose nothing by going elsewhere.
            unresponsive = moment - last_alive >= detector.unresponsive_after
            if unresponsive != self.unresponsive:
                self.set_unresponsive(unresponsive)
        quiet = moment - last_received
        if self.stamp_due(moment) or quiet >= self.heartbeat_interval(detector):
            self.send_ping()
            self.last_stamp = moment
        if self.dialled and self.idle():
            self.counters.links_idle += not self.retired
            self.retire()

    def expects_answer(self):
        """Return whether the peer has a heartbeat or a call to answer."""
        outgoing = self.outgoing
        return bool(
            self.pending_ping_us is not None or outgoing.calls or outgoing.requests
        )

    def heartbeat_interval(self, detector):
        """Return the seconds without received data before a heartbeat is due.

        A daemon has about a hundred links with few calls on each. Heartbeats
        twice a second on all of them would take forty times the traffic
        allowed for control, so idle links send them rarely.
        """
        if self.expects_answer():
            return detector.busy_interval
        incoming = self.incoming
        if incoming.calls or incoming.requests:
            return detector.timeout
        return KEEPALIVE_SECONDS + (0 if self.dialled else ACCEPTED_GRACE_SECONDS)

    def stamp_due(self, moment):
        """Return whether to send the peer another stamp of this end's clock.

        The peer uses stamps to estimate how long calls of this end were
        delayed. Calls contain stamps themselves, and on most links only one
        end sends calls, so the other end sends its stamps rarely.
        """
        if self.stamped:
            self.stamped = False
            self.last_stamp = moment
            self.caller_until = moment + CALLER_SECONDS
        calling = moment < self.caller_until
        pause = STAMP_SECONDS if calling else RARE_STAMP_SECONDS
        return moment - self.last_stamp >= pause

    def idle(self):
        """Return whether the link was unused for `IDLE_SECONDS`.

        Calls only set a flag, and the clock is read once per check.
        """
        at = self.loop.time()
        if self.used:
            self.used = False
            self.last_used = at
        return at - self.last_used > IDLE_SECONDS and not self.in_flight

    def status(self):
        """Return the link's entry on the status page."""
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
