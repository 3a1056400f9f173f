"""`quarantine list`: say which requests are held back."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("FINGERPRINT", "TARGETS ENDED", "FOR ANOTHER")


class QuarantineListCommand:
    """Shows the requests under which targets have ended."""

    def run(self, settings=None, json=False):
        """Show the requests that all daemons hold back, and for how long.

        Asks the first status URL of the settings that answers. Which calls
        had a fingerprint stands in the log of the daemon beside the target
        that ended. Exit codes: 0 shown; 2 wrong usage or settings; 5 no
        daemon answered.

        Parameters
        ----------
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the list as JSON instead.
        """
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import query_fleet

        (page,) = query_fleet(load_operator_settings(settings), "/quarantine")
        if json:
            print_json(page)
            return
        rows = (
            (one["fingerprint"], one["targets_ended"], f"{one['held_s']:.0f} s")
            for one in page["held"]
        )
        print_table(HEADINGS, rows)
