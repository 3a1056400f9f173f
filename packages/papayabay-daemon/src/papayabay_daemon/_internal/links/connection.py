"""One TCP connection that carries frames once both ends are proven."""

import asyncio

import capnp

from papayabay_core.exceptions import ProtocolError
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.call_frames import (
    is_call_frame,
    read_call_frame,
)
from papayabay_daemon._internal.links.codec import encode_proof, read_frame
from papayabay_daemon._internal.links.framing import FrameCutter, add_prefix
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
    """Handshake, frames in and out, and the end of a connection.

    What the frames mean is up to the class that extends it: it fills
    `receivers` and can have a `begin` and an `end`.

    Parameters
    ----------
    owner : PeerLinks
    expected : str or None
        Name of the daemon that is dialled; None for one that dialled us.

    Attributes
    ----------
    receivers : dict of str or type to callable
        By the name of a Cap'n Proto frame or the type of another, what takes
        it once the handshake is over.
    opened : asyncio.Future of bool
        Whether the handshake succeeded.
    peer_retired : bool
        Whether the peer has said that it wants to close.
    """

    def __init__(self, owner, expected=None):
        self.owner = owner
        self.loop = asyncio.get_running_loop()
        self.counters = owner.counters
        self.dialled = expected is not None
        self.handshake = Handshake(owner.settings.cluster, owner.local, expected)
        self.cutter = FrameCutter(MAX_HANDSHAKE_BYTES)
        self.receivers = {}
        self.opened = self.loop.create_future()
        self.transport = None
        self.peer_name = ""
        self.incarnation = 0
        self.since = 0.0
        self.is_open = False
        self.closed = False
        self.peer_retired = False
        self.paused = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.last_heard = now()
        self.timer = None

    def connection_made(self, transport):
        """Introduce ourselves."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        if not self.owner.link_made(self):
            self.lose("too many unproven links")
            return
        self.timer = self.loop.call_later(HANDSHAKE_SECONDS, self.handshake_overdue)
        self.send(encode_hello(self.handshake.own))

    def data_received(self, data):
        """Handle all frames that are whole now."""
        if self.closed:
            return
        self.last_heard = now()
        self.cutter.feed(data)
        try:
            while not self.closed:
                frame = self.cutter.next_frame()
                if frame is None:
                    return
                self.receive(frame)
        except ProtocolError as error:
            self.refuse(str(error))
        except (capnp.KjException, ValueError) as error:
            # Garbage makes pycapnp raise these at whichever field is read
            # first. It costs the peer this link and nobody anything else.
            self.refuse(f"malformed frame: {str(error)[:100]!r}")
        except Exception as error:
            # A fault in one receiver must not leave the link half read, with
            # later frames cut from the middle of an earlier one.
            self.refuse(f"frame not handled: {error!r:.200}")

    def receive(self, frame):
        """Hand one frame to its receiver."""
        if is_call_frame(frame):
            if not self.is_open:
                raise ProtocolError("a call before the handshake")
            message = read_call_frame(frame)
            self.receivers[type(message)](message)
            return
        with read_frame(frame) as message:
            try:
                name = message.which()
            except capnp.KjException:
                # A member of the union that a later version added. Its
                # sender can't know that we lack it, so the link goes on.
                self.counters.frames_unknown += 1
                return
            if self.is_open:
                receiver = self.receivers.get(name)
                if receiver is None:
                    raise ProtocolError(f"{name} after the handshake")
                receiver(getattr(message, name))
            else:
                self.receive_unproven(name, message)

    def receive_unproven(self, name, message):
        """Take the handshake a step on; nothing else is allowed yet."""
        if name == "hello":
            proof = self.handshake.accept_hello(decode_hello(message.hello))
            self.send(encode_proof(proof))
        elif name == "proof":
            self.handshake.accept_proof(message.proof)
            self.open()
        else:
            raise ProtocolError(f"{name} before the handshake")

    def open(self):
        """Begin to use the link; the peer has proven who it is."""
        self.timer.cancel()
        self.peer_name = self.handshake.peer.daemon
        self.incarnation = self.handshake.peer.incarnation
        self.cutter.max_bytes = MAX_FRAME_BYTES
        self.is_open = True
        self.since = now()
        self.owner.link_opened(self)
        if self.closed:
            return
        self.begin()
        if not self.opened.done():
            self.opened.set_result(True)

    def begin(self):
        """Start what a link does on its own once it is open."""

    def end(self, reason):
        """Answer all that waits on the link, which has ended."""

    def handshake_overdue(self):
        """Give up on a peer that doesn't introduce itself."""
        self.refuse("no handshake in time")

    def refuse(self, reason):
        """Close the link because of what the peer sent."""
        if self.closed:
            return
        if self.is_open:
            self.counters.frames_bad += 1
        else:
            self.counters.links_refused += 1
        address = self.transport.get_extra_info("peername")
        self.owner.limited_log.warn(
            "refused", "Link with {} {} closed: {}", self.peer_name, address, reason
        )
        self.lose(reason)

    def lose(self, reason):
        """Drop the connection at once and answer all that waits on it."""
        if self.closed:
            return
        self.closed = True
        self.transport.abort()
        self.finish(reason)

    def close(self):
        """Close the connection after what was written is sent."""
        if self.closed:
            return
        self.closed = True
        self.transport.close()
        # A peer that stopped reading would keep the socket and its unsent
        # data for ever, and no heartbeat runs on a closed link.
        self.loop.call_later(CLOSE_SECONDS, self.transport.abort)
        self.finish("the link was closed")

    def finish(self, reason):
        """Release everything; called once, whatever ended the link."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.opened.done():
            self.opened.set_result(False)
        self.paused = False
        self.writable.set()
        self.end(reason)
        self.owner.link_closed(self)

    def connection_lost(self, error):
        """Note an end that didn't come from us."""
        if self.closed:
            return
        if self.cutter.buffer:
            self.counters.frames_bad += 1
        self.counters.links_lost += self.is_open and not self.peer_retired
        self.closed = True
        self.finish("the connection was lost")

    def send(self, frame):
        """Write a frame.

        Returns
        -------
        bool
            False when no byte of it was handed to the connection.
        """
        if self.closed or self.transport.is_closing():
            return False
        # Heartbeat answers, windows and refusals are written without waiting.
        # A peer that sends but never reads would pile them up in this
        # process; its memory would show it. Such a link is dropped.
        if self.paused and self.transport.get_write_buffer_size() > WRITE_LIMIT_BYTES:
            self.counters.links_overrun += 1
            self.lose("the peer does not read")
            return False
        self.transport.write(add_prefix(frame))
        return True

    def pause_writing(self):
        """Stop senders that can wait."""
        self.paused = True
        self.writable.clear()

    def resume_writing(self):
        """Let senders go on."""
        self.paused = False
        self.writable.set()

    async def wait_writable(self):
        """Wait until there is room to write, or the link has ended."""
        while self.paused:
            await self.writable.wait()
