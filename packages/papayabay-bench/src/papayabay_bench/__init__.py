"""Stand-ins, scenarios, history checker and load tool; never shipped."""
