"""Fault soak: daemons as processes, faults from outside, rules checked."""
