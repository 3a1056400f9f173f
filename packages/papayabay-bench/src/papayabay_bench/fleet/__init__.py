"""Starts and controls a test fleet: platform stand-in, daemons and targets."""

from papayabay_bench.fleet.fleet import Fleet
from papayabay_bench.fleet.plan import FleetPlan, ServicePlan

__all__ = ["Fleet", "FleetPlan", "ServicePlan"]
