"""`diff`: shows what applying a policy file would change."""

from papayabay_cli.output import print_json


class DiffCommand:
    """Compares a policy file with the newest version of the policy."""

    def run(self, file, settings=None, json=False):
        """Show the differences between the newest version and a policy file.

        Exit codes: 0 compared; 2 the file is not valid; 5 the store did not
        answer.

        Parameters
        ----------
        file : str
            The policy file.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the version and the changes as JSON instead.
        """
        from papayabay_cli.changes import list_changes
        from papayabay_cli.files import load_policy_values
        from papayabay_cli.store import load_version, run_with_log
        from papayabay_core.configuration import diff_documents

        new = load_policy_values(file)
        current = run_with_log(settings, load_version)
        changes = list_changes(current.values, new, diff_documents(current.values, new))
        if json:
            print_json(
                {
                    "version": current.version,
                    "confirmed": current.confirmed,
                    "changes": [change.values() for change in changes],
                }
            )
            return
        print(f"against version {current.version}:")
        for change in changes:
            print(f"  {change}")
        if not changes:
            print("  nothing differs")
