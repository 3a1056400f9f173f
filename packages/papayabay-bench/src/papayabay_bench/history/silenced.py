"""Runs a daemon that black-holes its open links on a signal.

On `SIGUSR1` every open link stops sending and receiving, as when a firewall
between the two daemons has dropped the connection's state. New links work.
Neither side is notified. When this daemon aborts such a link, its socket is
kept open for a while, so that the peer doesn't see the connection close.
Everything else is the unchanged daemon.
"""

import asyncio
import signal
import sys

from papayabay_daemon import daemon as daemon_module
from papayabay_daemon.main import main

SOCKET_CLOSE_DELAY_SECONDS = 20.0


class SilentTransport:
    """A transport that discards all bytes in both directions.

    Parameters
    ----------
    transport : asyncio.Transport
    protocol : asyncio.Protocol
    """

    def __init__(self, transport, protocol):
        self.transport = transport
        self.protocol = protocol
        self.closed = False
        transport.pause_reading()
        transport.set_protocol(asyncio.Protocol())

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def write(self, frame):
        """Discard the frame."""

    def is_closing(self):
        """Return whether the link has closed or aborted the transport."""
        return self.closed

    def abort(self):
        """Report the connection as lost to this side's protocol only.

        The socket is closed after a delay, so that the peer does not see
        the connection close.
        """
        if self.closed:
            return
        self.closed = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, None)
        loop.call_later(SOCKET_CLOSE_DELAY_SECONDS, self.transport.abort)

    close = abort


class SilencedDaemon(daemon_module.Daemon):
    """A daemon that silences its open links on `SIGUSR1`."""

    async def start(self):
        """Start the daemon and install the signal handler."""
        await super().start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.silence)

    def silence(self):
        """Replace the transport of every open link by a silent one."""
        for link in list(self.links.all_links):
            if not isinstance(link.transport, SilentTransport):
                link.transport = SilentTransport(link.transport, link)


if __name__ == "__main__":
    daemon_module.Daemon = SilencedDaemon
    sys.exit(main())
