"""`accounts list`: say what client accounts may do, and did."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("ACCOUNT", "CLASS", "KEYS", "LIMIT", "ALLOWED", "LIMITED", "UNCHECKED")
REFUSALS = {
    "missing": "without a key",
    "malformed": "with a malformed key",
    "unknown": "with an unknown key",
    "revoked": "with a key revoked meanwhile",
    "stale": "refused as accounts were outdated",
}


class AccountsListCommand:
    """Shows client accounts; never a key, nor its digest."""

    def run(self, settings=None, json=False):
        """Show all client accounts, their limits and their requests so far.

        Asks the first status URL of the settings that answers; that daemon
        asks all others. ALLOWED are requests let in since the daemons
        started, LIMITED those beyond the account's limit, UNCHECKED those
        whose limit could not be checked. Exit codes: 0 shown, also when some
        daemons could not be heard, which are named; 2 wrong usage or
        settings; 5 no daemon answered.

        Parameters
        ----------
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the list as JSON instead.
        """
        from papayabay_cli.account_sums import sum_accounts
        from papayabay_cli.arguments import load_operator_settings
        from papayabay_cli.daemons import query_fleet
        from papayabay_cli.fleet_status import print_not_heard

        paths = "/fleet/accounts", "/policy"
        fleet, policy = query_fleet(load_operator_settings(settings), *paths)
        declared = policy["values"].get("accounts", {})
        sums = sum_accounts(fleet)
        accounts = {
            name: describe(declaration, sums.accounts.get(name, {}))
            for name, declaration in sorted(declared.items())
        }
        not_heard = fleet.get("not_heard", {})
        if json:
            keys = dict(sums.keys)
            print_json({"accounts": accounts, "keys": keys, "not_heard": not_heard})
            return
        print_table(HEADINGS, (row_of(*item) for item in accounts.items()))
        print()
        for name, text in REFUSALS.items():
            print(f"requests {text}: {sums.keys.get(name, 0)}")
        print_not_heard(not_heard)


def describe(declaration, counts):
    """Return an account as plain values, without digests of its keys."""
    return {
        "importance": declaration.get("importance"),
        "keys": len(declaration.get("key_digests", ())),
        "rate_per_s": declaration.get("rate_per_s", 0),
        "burst": declaration.get("burst", 0),
        **{name: counts.get(name, 0) for name in ("allowed", "limited", "unknown")},
    }


def row_of(name, account):
    """Return the cells of one account."""
    limit = "none"
    if account["rate_per_s"]:
        limit = f"{account['rate_per_s']:g}/s + {account['burst']}"
    return (
        name,
        account["importance"] or "of the path",
        account["keys"],
        limit,
        account["allowed"],
        account["limited"],
        account["unknown"],
    )
