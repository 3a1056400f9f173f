"""`settle`: finds out whether a patch was stored."""

from papayabay_cli.output import print_json


class SettleCommand:
    """Finds out the outcome of a patch whose `apply` ended as unknown."""

    def run(self, patch_id, base, settings=None, json=False):
        """Find out the outcome of a patch whose `apply` ended as unknown.

        Only reads. Exit codes: 0 the patch was accepted; 3 another patch made
        that version, so this one was not and won't be stored; 4 still
        unknown; 2 wrong usage.

        Parameters
        ----------
        patch_id : str
            The patch's identifier, as `apply` printed it.
        base : int
            The version that the patch was written against.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the result as JSON instead.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.results import result_values, show_result
        from papayabay_cli.store import run_with_log

        number = parse_number(base, "--base")

        async def operation(log):
            return await log.settle(patch_id, number)

        result = run_with_log(settings, operation)
        if json:
            print_json(result_values(result, number))
        return show_result(result, number, quiet=json)
