"""`check`: validates settings and policy files."""

from papayabay_cli import exits
from papayabay_cli.errors import UsageError
from papayabay_cli.files import FileKind, detect_kind, parse_toml, read_text
from papayabay_cli.output import print_json, print_note
from papayabay_core.exceptions import PapayabayError


class CheckCommand:
    """Validates files, without network access."""

    def run(self, *files, json=False):
        """Check settings and policy files, offline.

        Every error is printed with its file and key. Exit codes: 0 all are
        valid; 2 some are not.

        Parameters
        ----------
        files : str
            TOML files; the kind of each is detected from its keys.
        json : bool
            Print the results as JSON instead.
        """
        if not files:
            raise UsageError("check: name at least one file")
        results = [check_file(path) for path in files]
        if json:
            print_json(results)
        else:
            print_results(results)
        failed = any(result["errors"] for result in results)
        return exits.INVALID if failed else exits.OK


def check_file(path):
    """Return the path, kind and errors of a file as a dict."""
    kind = None
    try:
        values = parse_toml(read_text(path), path)
        kind = detect_kind(values, path)
        validate(kind, values, path)
    except PapayabayError as error:
        errors = str(error).splitlines()
    else:
        errors = []
    return {"file": path, "kind": kind and kind.value, "errors": errors}


def validate(kind, values, path):
    """Raise a `PapayabayError` with one line per error in the values."""
    if kind is FileKind.POLICY:
        from papayabay_core.policy.document import validate_policy

        validate_policy(values, path)
        return
    from papayabay_core.settings import (
        DaemonSettings,
        OperatorSettings,
        load_settings,
    )

    model = DaemonSettings if kind is FileKind.DAEMON else OperatorSettings
    load_settings(path, model)


def print_results(results):
    """Print one line per valid file, and errors to standard error."""
    for result in results:
        if result["errors"]:
            print_note("\n".join(result["errors"]))
        else:
            print(f"{result['file']}: valid {result['kind']}")
