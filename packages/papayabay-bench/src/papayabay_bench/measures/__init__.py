"""Measures of a run: goodput, recovery, waste, retries, doubled effects."""
