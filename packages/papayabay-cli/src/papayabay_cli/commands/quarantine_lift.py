"""`quarantine lift`: releases a request from quarantine."""


class QuarantineLiftCommand:
    """Releases a quarantined request at all daemons."""

    def run(self, fingerprint, settings=None):
        """Release a request from quarantine, such as after a target is fixed.

        Sent to the first status URL of the settings that accepts it; that
        daemon tells all others. Exit codes: 0 released; 2 wrong usage or
        settings, or no request with that fingerprint is quarantined; 5 no
        daemon accepted it.

        Parameters
        ----------
        fingerprint : str
            The request's fingerprint, as `quarantine list` shows it.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        """
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import lift_request
        from papayabay_cli.errors import UsageError

        # A fingerprint may consist of digits only, and be passed as a number.
        text = str(fingerprint).strip()
        if not lift_request(load_operator_settings(settings), text):
            raise UsageError(f"{text}: no request with this fingerprint is quarantined")
        print(f"{text} is held back no longer")
