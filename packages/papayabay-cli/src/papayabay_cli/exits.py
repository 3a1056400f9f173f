"""The exit codes of all commands."""

OK = 0
INVALID = 2
"""Wrong usage, or an invalid file."""
STALE = 3
"""The patch was written against a version that is no longer current."""
UNKNOWN = 4
"""It is not known yet whether the patch was stored."""
UNREACHABLE = 5
"""The store or the daemons did not answer; the command wrote nothing."""
INTERRUPTED = 130
