"""Reports the outcome of a committed patch to the operator."""

from papayabay_cli import exits
from papayabay_cli.changes import patch_summary
from papayabay_cli.output import format_time, print_note
from papayabay_core.configuration import CommitOutcome

EXIT_CODES = {
    CommitOutcome.ACCEPTED: exits.OK,
    CommitOutcome.STALE: exits.STALE,
    CommitOutcome.UNKNOWN: exits.UNKNOWN,
}


def result_values(result, base):
    """Return a commit's result as a JSON-compatible dict.

    Parameters
    ----------
    result : CommitResult or None
        None when there was nothing to change.
    base : int
        The version that the patch was written against.
    """
    if result is None:
        return {"outcome": "unchanged", "version": base}
    return {
        "outcome": result.outcome.value,
        "patch_id": result.patch_id,
        "base": base,
        "version": result.version or None,
        "changes": [patch_summary(patch) for patch in result.changes],
    }


def show_result(result, base, quiet=False):
    """Print a commit's result and return the exit code.

    Parameters
    ----------
    result : CommitResult or None
    base : int
        The version that the patch was written against.
    quiet : bool
        Print nothing, only return the exit code.
    """
    if result is None:
        if not quiet:
            print(f"nothing to change: version {base} already says this")
        return exits.OK
    if not quiet:
        PRINTERS[result.outcome](result, base)
    return EXIT_CODES[result.outcome]


def print_accepted(result, base):
    """Print the version that the patch made."""
    print(f"accepted: version {result.version} (patch {result.patch_id})")


def print_stale(result, base):
    """Print the patches that were committed since the base version."""
    print_note(
        f"stale: written against version {base}, but {result.version} is current; "
        "nothing was written"
    )
    for patch in result.changes:
        print_note(describe_patch(patch))
    if not result.changes:
        print_note("  the patches since then can't be read; see `papayabay history`")


def describe_patch(patch):
    """Return a patch's author, time, message and changed keys, in lines."""
    summary = patch_summary(patch)
    author = patch.author or "(no author)"
    message = f": {patch.message}" if patch.message else ""
    lines = [
        f"  version {patch.version} by {author}, "
        f"{format_time(patch.committed_at_ms)}{message}"
    ]
    return "\n".join([*lines, *(f"    {key}" for key in summary["keys"])])


def print_unknown(result, base):
    """Print the command that finds out whether the patch was stored."""
    print_note(
        f"unknown: the store did not confirm whether patch {result.patch_id} was "
        f"stored; find out with:\n  papayabay settle {result.patch_id} --base {base}"
    )


PRINTERS = {
    CommitOutcome.ACCEPTED: print_accepted,
    CommitOutcome.STALE: print_stale,
    CommitOutcome.UNKNOWN: print_unknown,
}
