"""`accounts list`: lists client accounts, their limits and requests."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("ACCOUNT", "CLASS", "KEYS", "LIMIT", "ALLOWED", "LIMITED", "UNCHECKED")
KEY_OUTCOMES = {
    "missing": "without a key",
    "malformed": "with a malformed key",
    "unknown": "with an unknown key",
    "revoked": "with a key revoked meanwhile",
    "stale": "refused as accounts were outdated",
}
"""Label of each outcome of authentication that refuses a request."""


class AccountsListCommand:
    """Lists client accounts, without their keys or the keys' digests."""

    def run(self, settings=None, json=False):
        """Show all client accounts, their limits and their requests so far.

        Asks the first status URL of the settings that answers; that daemon
        asks all others. ALLOWED counts the requests admitted since the
        daemons started, LIMITED those refused by the account's rate limit,
        UNCHECKED those whose limit could not be checked. Exit codes: 0 shown,
        also when some daemons did not answer, which are listed; 2 wrong usage
        or settings; 5 no daemon answered.

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
            name: account_values(declaration, sums.accounts.get(name, {}))
            for name, declaration in sorted(declared.items())
        }
        not_heard = fleet.get("not_heard", {})
        if json:
            keys = dict(sums.keys)
            print_json({"accounts": accounts, "keys": keys, "not_heard": not_heard})
            return
        print_table(HEADINGS, (account_row(*item) for item in accounts.items()))
        print()
        for name, text in KEY_OUTCOMES.items():
            print(f"requests {text}: {sums.keys.get(name, 0)}")
        print_not_heard(not_heard)


def account_values(declaration, counts):
    """Return an account as a dict, without the digests of its keys."""
    return {
        "importance": declaration.get("importance"),
        "keys": len(declaration.get("key_digests", ())),
        "rate_per_s": declaration.get("rate_per_s", 0),
        "burst": declaration.get("burst", 0),
        **{name: counts.get(name, 0) for name in ("allowed", "limited", "unknown")},
    }


def account_row(name, account):
    """Return the table cells of one account."""
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
