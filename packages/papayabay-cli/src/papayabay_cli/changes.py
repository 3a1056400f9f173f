"""Lists what differs between two policies, key by key."""

import json
from dataclasses import dataclass

from papayabay_core.configuration import changed_keys

NOT_SET = "(not set)"


@dataclass(frozen=True, slots=True)
class Change:
    """One key that differs between two policy documents.

    Attributes
    ----------
    key : str
        Dotted path of the key.
    old, new : object
        JSON-compatible values; None where the key is not set.
    """

    key: str
    old: object
    new: object

    def __str__(self):
        return f"{self.key}: {format_value(self.old)} → {format_value(self.new)}"

    def values(self):
        """Return the change as a JSON-compatible dict."""
        return {"key": self.key, "old": self.old, "new": self.new}


def list_changes(old, new, patch):
    """Return the changes that a merge patch makes, in the patch's order."""
    return [
        Change(key, value_at(old, key), value_at(new, key))
        for key in changed_keys(patch)
    ]


def value_at(values, dotted):
    """Return the value at a dotted key, or None."""
    for name in dotted.split("."):
        if not isinstance(values, dict):
            return None
        values = values.get(name)
    return values


def format_value(value):
    """Return a value as JSON text, or a note that it is not set."""
    return NOT_SET if value is None else json.dumps(value, ensure_ascii=False)


def patch_summary(patch):
    """Return a patch's author, time and changed keys as a dict."""
    return {
        "version": patch.version,
        "patch_id": patch.patch_id,
        "author": patch.author,
        "message": patch.message,
        "committed_at_ms": patch.committed_at_ms,
        "keys": changed_keys(patch.patch),
    }
