"""`explain`: shows which policy settings apply to a call, and why."""

from papayabay_cli.output import print_json, print_table

HEADINGS = ("WHAT", "VALUE", "FROM KEY", "SET BY")


class ExplainCommand:
    """Looks up a call in the policy, as a daemon does."""

    def run(self, method, path, service, version=None, settings=None, json=False):
        """Show the policy settings that apply to a call, and their origin.

        Shows class, lifetime, retry credits and limits, each with the policy
        key that sets it and the patch that last set this key. Exit codes: 0
        shown; 2 wrong usage, no such version or no such service; 5 the
        store did not answer.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request, with or without a query.
        service : str
            The service called.
        version : int
            Version of the policy; default the newest.
        settings : str
            Settings file; default papayabay.toml, or $PAPAYABAY_SETTINGS.
        json : bool
            Print the explanation as JSON instead.
        """
        from papayabay_cli.arguments import parse_number
        from papayabay_cli.explanation import is_default_rule
        from papayabay_cli.store import run_with_log

        number = None if version is None else parse_number(version, "--version")

        async def operation(log):
            return await explain(log, number, service, method.upper(), path)

        configuration, facts, origins = run_with_log(settings, operation)
        if json:
            print_json(explanation_values(configuration, facts, origins))
            return
        print(f"version {configuration.version}: {method.upper()} {path} of {service}")
        if is_default_rule(facts):
            print("no declared call path matches; the service's defaults hold")
        print_table(HEADINGS, [fact_row(fact, origins) for fact in facts])


async def explain(log, version, service, method, path):
    """Return the configuration, the facts, and the `Origin` of each key.

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
    configuration = await load_version(log, version)
    if not configuration.policy().has_service(service):
        raise UsageError(
            f"version {configuration.version} names no service '{service}': "
            "daemons answer calls to it with 404 and do not run them"
        )
    facts = explain_call(configuration, service, method, path)
    keys = {fact.key for fact in facts if fact.key}
    return configuration, facts, await find_origins(log, configuration.version, keys)


def fact_row(fact, origins):
    """Return the table cells of one fact."""
    from papayabay_cli.changes import format_value

    value = fact.value if isinstance(fact.value, str) else format_value(fact.value)
    origin = origins[fact.key].text if fact.key else "default"
    return fact.name, value, fact.key or "-", origin


def explanation_values(configuration, facts, origins):
    """Return an explanation as a JSON-compatible dict."""
    return {
        "version": configuration.version,
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
