"""`history`: lists the newest patches."""

from papayabay_cli.output import format_time, print_json, print_table

HEADINGS = ("VERSION", "COMMITTED (UTC)", "AUTHOR", "CHANGED", "MESSAGE")
MAX_KEYS_SHOWN = 3
MAX_LIMIT = 1_000


class HistoryCommand:
    """Lists patches, the newest first."""

    def run(self, limit=20, settings=None, json=False):
        """List the newest patches: who changed which keys, when and why.

        Exit codes: 0 listed; 2 wrong usage; 5 the store did not answer.

        Parameters
        ----------
        limit : int
            Maximum number of patches listed, up to 1000.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the patches as JSON instead, with all changed keys.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.changes import patch_summary
        from papayabay_cli.store import run_with_log

        count = parse_number(limit, "--limit", minimum=1, maximum=MAX_LIMIT)

        async def operation(log):
            return await log.patches_after(max(0, await log.head() - count), count)

        patches = reversed(run_with_log(settings, operation))
        summaries = [patch_summary(patch) for patch in patches]
        if json:
            print_json(summaries)
        elif summaries:
            print_table(HEADINGS, map(history_row, summaries))
        else:
            print("no patch yet: version 0, every setting has its default")


def history_row(summary):
    """Return the table cells of one patch."""
    keys = summary["keys"]
    more = len(keys) - MAX_KEYS_SHOWN
    shown = ", ".join(keys[:MAX_KEYS_SHOWN]) + (f" and {more} more" if more > 0 else "")
    return (
        summary["version"],
        format_time(summary["committed_at_ms"]),
        summary["author"] or "-",
        shown or "-",
        (summary["message"].splitlines() or ["-"])[0],
    )
