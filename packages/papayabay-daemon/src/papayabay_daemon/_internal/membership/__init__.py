"""Cluster membership by gossip over UDP, with seeds stored in a table."""

from papayabay_daemon._internal.membership.membership import Membership

__all__ = ["Membership"]
