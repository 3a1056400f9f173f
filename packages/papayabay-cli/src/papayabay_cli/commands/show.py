"""`show`: print the policy at a version."""

from papayabay_cli.output import print_json


class ShowCommand:
    """Prints a version of the policy."""

    def run(self, version=None, settings=None, json=False):
        """Print the policy of a version as a policy file.

        Exit codes: 0 printed; 2 there is no such version; 5 the store did
        not answer.

        Parameters
        ----------
        version : int
            Default the newest.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print version and values as JSON instead of TOML.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.store import load_version, run_with_log
        from papayabay_cli.toml_writer import to_toml

        number = None if version is None else parse_number(version, "--version")

        async def work(log):
            return await load_version(log, number)

        found = run_with_log(settings, work)
        if json:
            print_json({"version": found.version, "values": found.values})
            return
        print(f"# version {found.version}")
        print(to_toml(found.values), end="")
