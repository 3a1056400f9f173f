"""`quarantine list`: lists the quarantined requests."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("FINGERPRINT", "TARGETS ENDED", "FOR ANOTHER")


class QuarantineListCommand:
    """Lists quarantined requests, which repeatedly crashed their targets."""

    def run(self, settings=None, json=False):
        """Show the quarantined requests, and for how much longer they stay so.

        Asks the first status URL of the settings that answers. The log of the
        daemon beside a crashed target names the calls of each fingerprint.
        Exit codes: 0 shown; 2 wrong usage or settings; 5 no daemon answered.

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
