"""`status`: shows the state of all daemons."""

from papayabay_cli.output import print_json


class StatusCommand:
    """Shows the state of every daemon that answers."""

    def run(self, settings=None, json=False, all=False):
        """Show every daemon's version in force, limits, load and refusals.

        Asks the first status URL of the settings that answers; that daemon
        asks all others. With more than 200 daemons it shows counts, and the
        rows of a few outliers. Exit codes: 0 shown, also when some daemons
        did not answer, which are listed; 2 wrong usage or settings; 5 no
        daemon answered.

        Parameters
        ----------
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the daemons' reports as JSON instead.
        all : bool
            Show a row for every daemon, however many there are.
        """
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import query_all_daemons, query_fleet
        from papayabay_cli.fleet_status import print_fleet

        operator = load_operator_settings(settings)
        if all:
            fleet = query_all_daemons(operator)
        else:
            (fleet,) = query_fleet(operator, "/fleet/status")
        if json:
            print_json(fleet)
        else:
            print_fleet(fleet)
