"""Parses command line arguments, which arrive as strings."""

import os

from papayabay_cli.errors import UsageError

SETTINGS_VARIABLE = "PAPAYABAY_SETTINGS"
SETTINGS_FILE = "papayabay.toml"
MAX_NUMBER = 10**18


def parse_number(text, name, minimum=0, maximum=MAX_NUMBER):
    """Return the whole number in an argument.

    Raises
    ------
    UsageError
        When the text is no decimal number from `minimum` to `maximum`.
    """
    text = str(text)
    decimal = text.isascii() and text.isdecimal() and len(text) <= len(str(maximum))
    if not (decimal and minimum <= int(text) <= maximum):
        raise UsageError(
            f"{name}: '{text}' is not a whole number from {minimum} to {maximum}"
        )
    return int(text)


def load_operator_settings(path):
    """Return the settings of the command line.

    Parameters
    ----------
    path : str or None
        None for the file that ``PAPAYABAY_SETTINGS`` names, or else the
        default file.

    Raises
    ------
    SettingsError
    """
    from papayabay_core.settings import OperatorSettings, load_settings

    chosen = path or os.environ.get(SETTINGS_VARIABLE) or SETTINGS_FILE
    return load_settings(chosen, OperatorSettings)
