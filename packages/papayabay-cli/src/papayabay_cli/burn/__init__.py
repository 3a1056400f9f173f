"""The burn report: how fast the calls of a fleet use up error budgets."""
