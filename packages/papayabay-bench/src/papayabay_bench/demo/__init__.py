"""The demonstration: the brief's chain at a tenth of its size."""
