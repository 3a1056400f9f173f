"""`report burn`: reports how fast calls use up error budgets."""

from papayabay_cli.output import print_json, print_note


class ReportBurnCommand:
    """Reports on service-level objectives."""

    def run(self, html=None, from_file=None, settings=None, json=False):
        """Report how fast error budgets burn, and which calls burn them.

        Asks the first status URL of the settings that answers; that daemon
        asks all others. Exit codes: 0 reported, also when some daemons did
        not answer, which are listed; 2 wrong usage, settings or report file;
        5 no daemon answered.

        Parameters
        ----------
        html : str
            Also write the report to this file, as a self-contained HTML page
            with charts.
        from_file : str
            Report on the data in this file, which holds the output of
            `--json`, instead of asking a daemon.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the report and its data as JSON instead.
        """
        from papayabay_cli.burn.report import make_report
        from papayabay_cli.burn.text import print_report

        report = make_report(get_recording(from_file, settings))
        if html is not None:
            write_page(html, report)
        if json:
            print_json(report.values())
        else:
            print_report(report)


def get_recording(from_file, settings):
    """Return the recording in a file, or a new one of the fleet."""
    if from_file is not None:
        from papayabay_cli.burn.recording import load_recording

        return load_recording(from_file)
    from papayabay_cli.arguments import load_operator_settings
    from papayabay_cli.burn.recording import record_fleet
    from papayabay_cli.daemons import query_fleet

    fleet, policy = query_fleet(
        load_operator_settings(settings), "/fleet/burn", "/policy"
    )
    return record_fleet(fleet, policy)


def write_page(path, report):
    """Write the report as an HTML page.

    Raises
    ------
    UsageError
    """
    from pathlib import Path

    from papayabay_cli.burn.page import make_page
    from papayabay_cli.errors import UsageError

    try:
        Path(path).write_text(make_page(report), encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None
    print_note(f"written: {path}")
