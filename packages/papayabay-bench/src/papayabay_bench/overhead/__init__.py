"""What the daemons add to a call's latency and cost in processor time."""
