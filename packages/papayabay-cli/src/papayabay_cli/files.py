"""Reads policy and settings files, and detects which of them a file is."""

import tomllib
from enum import Enum
from pathlib import Path

from papayabay_cli.errors import UsageError
from papayabay_core.exceptions import PolicyError


class FileKind(Enum):
    """The kinds of TOML files that operators write."""

    POLICY = "policy"
    DAEMON = "daemon settings"
    OPERATOR = "operator settings"


TOP_LEVEL_KEYS = {
    FileKind.POLICY: {"format", "decisions", "services"},
    FileKind.DAEMON: {
        "vm",
        "cluster",
        "loopback",
        "logs",
        "statsd",
        "limits",
        "timing",
    },
    FileKind.OPERATOR: {"platform", "status_urls", "cluster_secret"},
}
"""A file is of the first kind of which it has a top-level key."""


def read_text(path):
    """Return the text of a UTF-8 file.

    Raises
    ------
    UsageError
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise UsageError(f"{path}: not UTF-8 text") from None


def parse_toml(text, source):
    """Return the values of a TOML document.

    Parameters
    ----------
    text, source : str
        The document, and its name in error messages.

    Raises
    ------
    PolicyError
    """
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PolicyError(f"{source}: not valid TOML: {error}") from None


def detect_kind(values, source):
    """Return the `FileKind` of a file by its top-level keys.

    Raises
    ------
    UsageError
        When the file has no key of any kind.
    """
    for kind, keys in TOP_LEVEL_KEYS.items():
        if keys & values.keys():
            return kind
    raise UsageError(
        f"{source}: (whole file): neither a policy nor settings; a policy has "
        "[services.NAME], a daemon's settings [vm], an operator's [platform]"
    )


def load_policy_values(path):
    """Return the values of a policy file after validating them.

    Raises
    ------
    UsageError, PolicyError
    """
    from papayabay_core.policy.document import validate_policy

    values = parse_toml(read_text(path), path)
    if values and detect_kind(values, path) is not FileKind.POLICY:
        raise UsageError(f"{path}: not a policy file")
    validate_policy(values, path)
    return values
