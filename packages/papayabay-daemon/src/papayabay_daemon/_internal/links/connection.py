"""A TCP connection that exchanges frames after a mutual handshake."""

import asyncio

import capnp

from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.call_frames import (
    FIRST_ARRAY_BYTE,
    is_call_frame,
    read_call_frame,
)
from papayabay_daemon._internal.links.codec import encode_proof, read_frame
from papayabay_daemon._internal.links.framing import FrameDecoder, pack_length
from papayabay_daemon._internal.links.handshake import (
    Handshake,
    decode_hello,
    encode_hello,
)
from papayabay_daemon._internal.links.limits import (
    CLOSE_SECONDS,
    HANDSHAKE_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    WRITE_HIGH_BYTES,
    WRITE_LIMIT_BYTES,
)


class Connection(asyncio.Protocol):
    """Performs the handshake, sends and receives frames, and closes.

    A subclass handles the frames: it fills `receivers` and may override
    `on_opened` and `on_closed`.

    Parameters
    ----------
    owner : PeerLinks
    expected : str or None
        Name of the daemon that is dialled; None for an accepted connection.

    Attributes
    ----------
    receivers : dict of str or type to callable
        Handlers of frames after the handshake, by the name of a Cap'n Proto
        frame or the type of a MessagePack frame.
    opened : asyncio.Future of bool
        Whether the handshake succeeded.
    is_open : bool
        Whether the handshake is complete.
    peer_retired : bool
        Whether the peer has announced that it sends no new calls here.
    unresponsive : bool
        Whether new calls should go to other peers for now.
    paused : bool
        Whether the write buffer is full.
    last_received : float
        When data was last received, on `clock.now()`.
    """

    def __init__(self, owner, expected=None):
        self.owner = owner
        self.loop = asyncio.get_running_loop()
        self.counters = owner.counters
        self.dialled = expected is not None
        self.handshake = Handshake(owner.settings.cluster, owner.local, expected)
        self.decoder = FrameDecoder(MAX_HANDSHAKE_BYTES)
        self.receivers = {}
        self.opened = self.loop.create_future()
        self.transport = None
        self.peer_name = ""
        self.incarnation = 0
        self.since = 0.0
        self.is_open = False
        self.closed = False
        self.peer_retired = False
        self.unresponsive = False
        self.paused = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.last_received = now()
        self.timer = None

    def connection_made(self, transport):
        """Send the hello; close the connection if there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        if not self.owner.accept_link(self):
            self.abort("too many unauthenticated links")
            return
        self.timer = self.loop.call_later(HANDSHAKE_SECONDS, self.handshake_timed_out)
        self.send(encode_hello(self.handshake.local_hello))

    def data_received(self, data):
        """Handle all frames that are complete now.

        Any data shows that the peer responds.
        """
        if self.unresponsive:
            self.set_unresponsive(False)
        if self.closed:
            return
        self.last_received = now()
        try:
            for frame in self.decoder.split(data):
                # Calls and answers are most of the frames; they are handled
                # here, as each function call costs every one of them.
                if frame[0] >= FIRST_ARRAY_BYTE and self.is_open:
                    message = read_call_frame(frame)
                    self.receivers[type(message)](message)
                else:
                    self.receive(frame)
                if self.closed:
                    return
        except ProtocolError as error:
            self.reject(str(error))
        except (capnp.KjException, ValueError) as error:
            # pycapnp raises these at the first field that is read of a
            # malformed message. Only this link is closed.
            self.reject(f"malformed frame: {str(error)[:100]!r}")
        except Exception as error:
            # After an error in a handler the link must not be left half read:
            # later frames could be split in the middle of an earlier one.
            self.reject(f"frame not handled: {error!r:.200}")

    def receive(self, frame):
        """Pass one frame that is no call or answer to its handler."""
        if is_call_frame(frame):
            raise ProtocolError("the peer sent a call before the handshake")
        with read_frame(frame) as message:
            try:
                name = message.which()
            except capnp.KjException:
                # A frame type that a later version added. The sender can't
                # know that this version lacks it, so the link stays open.
                self.counters.frames_unknown += 1
                return
            if self.is_open:
                receiver = self.receivers.get(name)
                if receiver is None:
                    raise ProtocolError(f"{name} after the handshake")
                receiver(getattr(message, name))
            else:
                self.receive_handshake(name, message)

    def receive_handshake(self, name, message):
        """Handle a handshake frame; other frames are not allowed yet."""
        if name == "hello":
            proof = self.handshake.accept_hello(decode_hello(message.hello))
            self.send(encode_proof(proof))
        elif name == "proof":
            self.handshake.accept_proof(message.proof)
            self.open()
        else:
            raise ProtocolError(f"the peer sent {name!r} before the handshake")

    def open(self):
        """Open the link: the peer is authenticated."""
        self.timer.cancel()
        self.peer_name = self.handshake.peer.daemon
        self.incarnation = self.handshake.peer.incarnation
        self.decoder.max_bytes = MAX_FRAME_BYTES
        self.is_open = True
        self.since = now()
        self.owner.link_opened(self)
        if self.closed:
            return
        self.on_opened()
        if not self.opened.done():
            self.opened.set_result(True)

    def on_opened(self):
        """Start what a subclass does on an open link."""

    def on_closed(self, reason):
        """Release what a subclass holds; the link is closed or lost."""

    def handshake_timed_out(self):
        """Close the connection of a peer that did not authenticate in time."""
        self.reject(f"no handshake within {HANDSHAKE_SECONDS} s")

    def reject(self, reason):
        """Log the reason and close the link, because of what the peer sent."""
        if self.closed:
            return
        if self.is_open:
            self.counters.frames_bad += 1
        else:
            self.counters.links_refused += 1
        address = self.transport.get_extra_info("peername")
        self.owner.rate_limited_log.warn(
            "refused",
            "Closed the link with peer {!r} at {}: {}",
            self.peer_name,
            address,
            reason,
        )
        self.abort(reason)

    def abort(self, reason):
        """Close the connection at once; unsent data is dropped."""
        if self.closed:
            return
        self.closed = True
        self.transport.abort()
        self.release(reason)

    def close(self):
        """Close the connection after the buffered data is sent."""
        if self.closed:
            return
        self.closed = True
        self.transport.close()
        # A peer that stopped reading would keep the socket and its unsent
        # data forever, since closed links are not checked for liveness.
        self.loop.call_later(CLOSE_SECONDS, self.transport.abort)
        self.release("the link was closed")

    def release(self, reason):
        """Release all resources; called once, however the link ended."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.opened.done():
            self.opened.set_result(False)
        self.paused = False
        self.writable.set()
        self.on_closed(reason)
        self.owner.link_closed(self)

    def connection_lost(self, error):
        """Count and handle a connection that this end did not close."""
        if self.closed:
            return
        if self.decoder.buffer:
            self.counters.frames_bad += 1
        self.counters.links_lost += self.is_open and not self.peer_retired
        self.closed = True
        self.release("the connection was lost")

    def send(self, frame):
        """Write a frame.

        Returns
        -------
        bool
            False if no byte of it was passed to the transport.
        """
        if self.closed or self.transport.is_closing():
            return False
        # Heartbeat answers, windows and error answers are written without
        # waiting for the buffer to drain. A peer that sends but never reads
        # would make it grow without bound, so such a link is closed.
        if self.paused and self.transport.get_write_buffer_size() > WRITE_LIMIT_BYTES:
            self.counters.links_overrun += 1
            self.abort("the peer does not read")
            return False
        self.transport.write(pack_length(len(frame)) + frame)
        return True

    def set_unresponsive(self, unresponsive):
        """Set whether the peer is unresponsive; report a change."""
        if unresponsive != self.unresponsive:
            self.unresponsive = unresponsive
            self.owner.notify_unresponsive(self.peer_name, unresponsive)

    def pause_writing(self):
        """Block senders that use `wait_writable`."""
        self.paused = True
        self.writable.clear()

    def resume_writing(self):
        """Unblock senders."""
        self.paused = False
        self.writable.set()

    async def wait_writable(self):
        """Wait until the write buffer has drained or the link is closed."""
        while self.paused:
            await self.writable.wait()
