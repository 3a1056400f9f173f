"""Stand-in targets: real HTTP servers with slots, call graphs and faults."""
