"""`explain`: say what a call would get, and why."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("WHAT", "VALUE", "FROM KEY", "SET BY")


class ExplainCommand:
    """Looks a call up in the policy as a daemon would."""

    def run(self, method, path, service, version=None, settings=None, json=False):
        """Show what a call would get, and which patch says so.

        Class, lifetime, bound on retries and limits, each with the key that
        decides it and the patch that set this key last. Exit codes: 0
        shown; 2 wrong usage, no such version or no such service; 5 the
        store did not answer.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request, with or without query.
        service : str
            The service called.
        version : int
            Version of the policy; default the newest.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print it as JSON instead.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.explanation import is_default_rule
        from papayabay_cli.store import run_with_log

        number = None if version is None else parse_number(version, "--version")

        async def work(log):
            return await explain(log, number, service, method.upper(), path)

        found, facts, origins = run_with_log(settings, work)
        if json:
            print_json(explanation_values(found, facts, origins))
            return
        print(f"version {found.version}: {method.upper()} {path} of {service}")
        if is_default_rule(facts):
            print("no declared call path matches; the service's defaults hold")
        print_table(HEADINGS, [fact_row(fact, origins) for fact in facts])


async def explain(log, version, service, method, path):
    """Return configuration, facts, and the origin of each fact's key.

    Raises
    ------
    UsageError, PolicyError, PlatformError
    """
    from papayabay_cli.errors import UsageError
    from papayabay_cli.explanation import explain_call
    from papayabay_cli.provenance import find_origins
    from papayabay_cli.store import load_version

    if not path.startswith("/"):
        raise UsageError(f"path: '{path}' does not begin with '/'")
    found = await load_version(log, version)
    if not found.policy().knows(service):
        raise UsageError(
            f"version {found.version} names no service '{service}': "
            "every call to it is answered 404, not run"
        )
    facts = explain_call(found, service, method, path)
    keys = {fact.key for fact in facts if fact.key}
    return found, facts, await find_origins(log, found.version, keys)


def fact_row(fact, origins):
    """Return the cells of one fact."""
    from papayabay_cli.changes import format_value

    value = fact.value if isinstance(fact.value, str) else format_value(fact.value)
    origin = origins[fact.key].text if fact.key else "default"
    return fact.name, value, fact.key or "-", origin


def explanation_values(found, facts, origins):
    """Return an explanation as plain values."""
    return {
        "version": found.version,
        "facts": {
            fact.name: {
                "value": fact.value,
                "key": fact.key or None,
                "set_by_version": origins[fact.key].version if fact.key else None,
                "author": origins[fact.key].author if fact.key else None,
                "message": origins[fact.key].message if fact.key else None,
            }
            for fact in facts
        },
    }
