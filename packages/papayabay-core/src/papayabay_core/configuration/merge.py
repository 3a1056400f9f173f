"""JSON merge patches (RFC 7386) over plain values."""

import json


def merge_patch(target, patch):
    """Return the result of applying a merge patch to a target.

    Neither argument is changed. A null member of the patch removes the
    member of the target.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, change in patch.items():
        if change is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), change)
    return merged


def diff_documents(old, new):
    """Return the merge patch that turns one document into another.

    A null member in the new document counts as absent, since a merge patch
    can't set one.
    """
    removed = {key: None for key in old if new.get(key) is None}
    kept = {key: value for key, value in new.items() if value is not None}
    changed = {
        key: diff_values(old.get(key), value)
        for key, value in kept.items()
        if not equal_as_json(old.get(key), value)
    }
    return removed | changed


def diff_values(old, new):
    """Return the merge patch for one member."""
    if isinstance(old, dict) and isinstance(new, dict):
        return diff_documents(old, new)
    return new


def equal_as_json(one, other):
    """Return whether values are equal as JSON; in Python, True equals 1."""
    return json.dumps(one, sort_keys=True) == json.dumps(other, sort_keys=True)


def changed_keys(patch, prefix=""):
    """Return the dotted keys that a merge patch sets or removes."""
    keys = []
    for key, change in patch.items():
        if isinstance(change, dict) and change:
            keys += changed_keys(change, f"{prefix}{key}.")
        else:
            keys.append(f"{prefix}{key}")
    return keys
