"""`apply`: makes a policy file the next version of the policy."""

import asyncio

from papayabay_cli.output import print_json


class ApplyCommand:
    """Submits a policy file as a patch against a numbered version."""

    def run(self, file, expect, author="", message="", settings=None, json=False):
        """Make a policy file the next version of the policy.

        Commits the differences from version EXPECT as a patch. Exit codes: 0
        accepted, or nothing to change; 2 not valid; 3 stale, EXPECT is no
        longer the newest version and nothing was written; 4 unknown, also
        when interrupted: find out with `settle`; 5 the store did not answer
        and nothing was written.

        Parameters
        ----------
        file : str
            The policy file; it replaces the whole policy.
        expect : int
            The version that the file was written against.
        author : str
            Who makes the change; default the user's name.
        message : str
            The reason for the change.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the result as JSON instead.
        """
        from papayabay_cli.arguments import load_operator_settings, parse_number
        from papayabay_cli.files import load_policy_values
        from papayabay_cli.results import result_values, show_result
        from papayabay_cli.store import run_with_log

        base = parse_number(expect, "--expect")
        values = load_policy_values(file)
        author = author or user_name()

        operator = load_operator_settings(settings)

        async def operation(log):
            return await submit(log, base, values, author, message, operator)

        result = run_with_log(settings, operation)
        if json:
            print_json(result_values(result, base))
        return show_result(result, base, quiet=json)


async def submit(log, base, values, author, message, operator):
    """Commit the differences between a version and a policy as a patch.

    An accepted patch is also sent to a daemon at once, so that it takes
    effect even if the store fails right after the commit.

    Returns
    -------
    CommitResult or None
        None when nothing differs.

    Raises
    ------
    UsageError, PolicyError, PlatformError
    """
    from papayabay_cli.daemons import post_patch
    from papayabay_cli.store import load_version
    from papayabay_core.configuration import (
        CommitOutcome,
        CommitResult,
        diff_documents,
        new_patch,
    )

    before = await load_version(log, base)
    changes = diff_documents(before.values, values)
    if not changes and await log.head() == base:
        return None
    patch = new_patch(base, changes, author, message)
    try:
        result = await log.commit(patch)
        if result.outcome is CommitOutcome.ACCEPTED and operator.status_urls:
            await post_patch(operator.status_urls, patch, operator.cluster_secret)
        return result
    except asyncio.CancelledError:
        # The operator may interrupt this after the write was sent. The result
        # has the patch's identifier, without which `settle` could not find
        # out whether the patch was stored.
        return CommitResult(CommitOutcome.UNKNOWN, patch.patch_id)


def user_name():
    """Return the name of the user who runs the command; empty if unknown."""
    import getpass

    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
