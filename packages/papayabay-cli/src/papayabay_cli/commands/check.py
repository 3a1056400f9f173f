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

        Every error is printed with its file and key, and a warning for each
        deprecated key. Exit codes: 0 all are valid; 2 some are not.

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
    """Return the path, kind, errors and warnings of a file as a dict."""
    kind, warnings = None, []
    try:
        values = parse_toml(read_text(path), path)
        kind = detect_kind(values, path)
        warnings = validate(kind, values, path)
    except PapayabayError as error:
        errors = str(error).splitlines()
    else:
        errors = []
    return {
        "file": path,
        "kind": kind and kind.value,
        "errors": errors,
        "warnings": warnings,
    }


def validate(kind, values, path):
    """Return warnings about the values.

    Raises
    ------
    PapayabayError
        With one line per error.
    """
    if kind is FileKind.POLICY:
        from papayabay_core.policy.deprecated import deprecated_keys
        from papayabay_core.policy.document import validate_policy

        return [
            f"{path}: {key} is deprecated and has no effect; remove it"
            for key in deprecated_keys(validate_policy(values, path))
        ]
    from papayabay_core.settings import (
        DaemonSettings,
        OperatorSettings,
        load_settings,
    )

    model = DaemonSettings if kind is FileKind.DAEMON else OperatorSettings
    load_settings(path, model)
    return []


def print_results(results):
    """Print one line per valid file; errors and warnings to standard error."""
    for result in results:
        if result["warnings"]:
            print_note("\n".join(result["warnings"]))
        if result["errors"]:
            print_note("\n".join(result["errors"]))
        else:
            print(f"{result['file']}: valid {result['kind']}")
