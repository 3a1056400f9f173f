"""Records histories of concurrent runs with faults and checks their rules."""
