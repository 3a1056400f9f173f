"""Private modules of the daemon."""
