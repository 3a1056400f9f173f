"""Writes values as TOML, which the standard library can only read."""

import json
import re

BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
DELETE = "\x7f"


def to_toml(values):
    """Return a table as TOML text that reads back as the same values.

    Parameters
    ----------
    values : dict
        Of strings, numbers, booleans, lists and dicts; members that are
        None are left out, since TOML has no null.
    """
    return "\n".join(table_lines(values, ())).strip("\n") + "\n"


def table_lines(table, path):
    """Yield the lines of a table: its own keys first, then its tables."""
    plain = {k: v for k, v in table.items() if not isinstance(v, dict)}
    tables = {k: v for k, v in table.items() if isinstance(v, dict)}
    if path and (plain or not tables):
        yield f"\n[{'.'.join(map(write_key, path))}]"
    for key, value in plain.items():
        if value is not None:
            yield f"{write_key(key)} = {write_value(value)}"
    for key, value in tables.items():
        yield from table_lines(value, (*path, key))


def write_key(key):
    """Return a key, quoted where it must be."""
    return key if BARE_KEY.fullmatch(key) else write_string(key)


def write_string(text):
    """Return a basic string; unlike JSON, TOML requires DEL to be escaped."""
    return json.dumps(text, ensure_ascii=False).replace(DELETE, "\\u007f")


def write_value(value):
    """Return a value as TOML in one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return write_string(value)
    if isinstance(value, list):
        return f"[{', '.join(map(write_value, value))}]"
    if isinstance(value, dict):
        pairs = (f"{write_key(k)} = {write_value(v)}" for k, v in value.items())
        return f"{{{', '.join(pairs)}}}"
    return repr(value)
