"""`quarantine lift`: release a request from quarantine."""


class QuarantineLiftCommand:
    """Releases a quarantined request at all daemons."""

    def run(self, fingerprint, settings=None):
        """Release a request from quarantine, such as after a target's repair.

        Goes to the first status URL of the settings that takes it, from there
        to all daemons. Exit codes: 0 lifted; 2 wrong usage or settings, or
        nothing is held back under that fingerprint; 5 no daemon took it.

        Parameters
        ----------
        fingerprint : str
            As `quarantine list` shows it.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        """
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import lift_request
        from papayabay_cli.errors import UsageError

        # An argument of digits alone comes as a number.
        text = str(fingerprint).strip()
        if not lift_request(load_operator_settings(settings), text):
            raise UsageError(f"{text}: nothing is held back under it")
        print(f"{text} is held back no longer")
