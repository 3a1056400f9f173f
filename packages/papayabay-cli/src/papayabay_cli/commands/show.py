"""`show`: prints a version of the policy."""

from papayabay_cli.output import print_json


class ShowCommand:
    """Prints a version of the policy."""

    def run(self, version=None, settings=None, json=False):
        """Print a version of the policy as a policy file.

        Exit codes: 0 printed; 2 there is no such version; 5 the store did
        not answer.

        Parameters
        ----------
        version : int
            Version of the policy; default the newest.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the version and its values as JSON instead of TOML.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.store import load_version, run_with_log
        from papayabay_cli.toml_writer import to_toml

        number = None if version is None else parse_number(version, "--version")

        async def operation(log):
            return await load_version(log, number)

        configuration = run_with_log(settings, operation)
        if json:
            print_json(
                {"version": configuration.version, "values": configuration.values}
            )
            return
        print(f"# version {configuration.version}")
        print(to_toml(configuration.values), end="")
