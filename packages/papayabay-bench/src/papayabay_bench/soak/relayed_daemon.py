"""Runs a daemon whose links to peers go through a relay.

The environment names the relay and the daemon's program. Everything else is
the unchanged daemon.
"""

import asyncio
import os
import runpy
import sys

from papayabay_daemon._internal.links import peers
from papayabay_daemon._internal.links.dialling import Dialler
from papayabay_daemon._internal.links.link import Link

RELAY_VARIABLE = "SOAK_RELAY"
PROGRAM_VARIABLE = "SOAK_PROGRAM"


class RelayedLink(Link):
    """A link that sends its destination to the relay before the hello."""

    destination = ()

    def connection_made(self, transport):
        """Send the destination, then the hello."""
        host, port = self.destination
        transport.write(f"{host} {port}\n".encode())
        super().connection_made(transport)


class RelayedDialler(Dialler):
    """A dialler that reaches peers through the relay."""

    async def open_connection(self, member):
        """Return a link through the relay, before its handshake."""
        link = RelayedLink(self.links, member.name)
        link.destination = member.host, member.link_port
        host, _, port = os.environ[RELAY_VARIABLE].rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: link, host, int(port))
        return link


if __name__ == "__main__":
    peers.Dialler = RelayedDialler
    program = os.environ[PROGRAM_VARIABLE]
    sys.argv = [program]
    runpy.run_module(program, run_name="__main__")
