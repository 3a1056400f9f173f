"""Measures what control costs by size, and works out the design size."""
