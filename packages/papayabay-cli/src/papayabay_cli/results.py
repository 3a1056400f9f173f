"""Tells the operator what became of a patch."""

from papayabay_cli import exits
from papayabay_cli.changes import patch_summary
from papayabay_cli.output import format_time, print_note
from papayabay_core.configuration import CommitOutcome

CODES = {
    CommitOutcome.ACCEPTED: exits.OK,
    CommitOutcome.STALE: exits.STALE,
    CommitOutcome.UNKNOWN: exits.UNKNOWN,
}


def result_values(result, base):
    """Return a commit's result as plain values.

    Parameters
    ----------
    result : CommitResult or None
        None when there was nothing to change.
    base : int
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
    quiet : bool
        Only return the code.
    """
    if result is None:
        if not quiet:
            print(f"nothing to change: version {base} already says this")
        return exits.OK
    if not quiet:
        PRINTERS[result.outcome](result, base)
    return CODES[result.outcome]


def print_accepted(result, base):
    """Say which version a patch made."""
    print(f"accepted: version {result.version} (patch {result.patch_id})")


def print_stale(result, base):
    """Say what was committed since the base, and by whom."""
    print_note(
        f"stale: written against version {base}, but {result.version} is current; "
        "nothing was written"
    )
    for patch in result.changes:
        print_note(describe_patch(patch))
    if not result.changes:
        print_note("  what changed since could not be read; see `papayabay history`")


def describe_patch(patch):
    """Return a few lines on a patch."""
    summary = patch_summary(patch)
    who = patch.author or "(no author)"
    why = f": {patch.message}" if patch.message else ""
    lines = [
        f"  version {patch.version} by {who}, {format_time(patch.committed_at_ms)}{why}"
    ]
    return "\n".join([*lines, *(f"    {key}" for key in summary["keys"])])


def print_unknown(result, base):
    """Say how to ask again."""
    print_note(
        f"unknown: the store did not say whether patch {result.patch_id} was stored; "
        f"ask again:\n  papayabay settle {result.patch_id} --base {base}"
    )


PRINTERS = {
    CommitOutcome.ACCEPTED: print_accepted,
    CommitOutcome.STALE: print_stale,
    CommitOutcome.UNKNOWN: print_unknown,
}
