"""Errors of the command line itself, and the exit code of each error."""

from papayabay_cli import exits
from papayabay_core.exceptions import (
    PapayabayError,
    PlatformError,
    StaleVersion,
)


class UsageError(PapayabayError):
    """An argument, or a file that it names, is not valid."""


class DaemonsUnreachable(PapayabayError):
    """No daemon answered at any of the status URLs."""


EXIT_CODES = (
    (StaleVersion, exits.STALE),
    (PlatformError, exits.UNREACHABLE),
    (DaemonsUnreachable, exits.UNREACHABLE),
    (PapayabayError, exits.INVALID),
)
"""Error classes and their exit codes; the first class that matches decides."""


def exit_code_of(error):
    """Return the exit code for an error that is reported to the operator."""
    return next(code for cls, code in EXIT_CODES if isinstance(error, cls))
