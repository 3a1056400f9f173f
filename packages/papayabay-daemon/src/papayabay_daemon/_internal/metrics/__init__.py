"""Counters, gauges and latencies of the daemon, and their export."""
