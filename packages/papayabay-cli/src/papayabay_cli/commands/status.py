"""`status`: say how all daemons are."""

from papayabay_cli.output import print_json


class StatusCommand:
    """Shows the state of every daemon that could be heard."""

    def run(self, settings=None, json=False, all=False):
        """Show every daemon's version in force, limits, load and refusals.

        Asks the first status URL of the settings that answers; that daemon
        asks all others. Of more than 200 daemons it shows counts, and in
        full a few that need attention. Exit codes: 0 shown, also when some
        daemons could not be heard, which are named; 2 wrong usage or
        settings; 5 no daemon answered.

        Parameters
        ----------
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the daemons' whole reports as JSON instead.
        all : bool
            Show every daemon in full, however many they are.
        """
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import query_all_daemons, query_fleet
        from papayabay_cli.fleet_status import print_fleet

        chosen = load_operator_settings(settings)
        if all:
            fleet = query_all_daemons(chosen)
        else:
            (fleet,) = query_fleet(chosen, "/fleet/status")
        if json:
            print_json(fleet)
        else:
            print_fleet(fleet)
