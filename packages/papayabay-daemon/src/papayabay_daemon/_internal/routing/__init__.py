"""Chooses the upstream for each attempt of a call."""

from papayabay_daemon._internal.routing.strategies import RoundRobin, TwoChoices
from papayabay_daemon._internal.routing.table import RoutingTable

__all__ = ["RoundRobin", "RoutingTable", "TwoChoices"]
