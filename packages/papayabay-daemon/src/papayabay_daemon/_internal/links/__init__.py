"""Links: TCP connections between daemons that carry framed messages."""

from papayabay_daemon._internal.links.peers import PeerLinks

__all__ = ["PeerLinks"]
