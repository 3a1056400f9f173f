"""Checks that policy patches are applied one by one, and none is lost.

Exactly one patch makes each version, and it is based on the version before.
"""

from collections import defaultdict

from papayabay_bench.history.records import (
    Document,
    PatchOutcome,
    PatchStored,
    PatchSubmitted,
)
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "configuration"
ACCEPTED = "accepted"
STALE = "stale"


def violations(history, limits):
    """Yield patches and versions whose outcome contradicts what is stored."""
    stored = {patch.version: patch for patch in history.of_type(PatchStored)}
    yield from duplicate_versions(history)
    yield from wrong_outcomes(history, stored)
    yield from wrong_rows(history, stored)
    yield from wrong_documents(history, stored)


def duplicate_versions(history):
    """Yield the versions that several patches were accepted as."""
    accepted = defaultdict(list)
    for outcome in history.of_type(PatchOutcome):
        if outcome.outcome == ACCEPTED:
            accepted[outcome.version].append(outcome)
    for version, outcomes in accepted.items():
        if len({outcome.patch_id for outcome in outcomes}) > 1:
            reason = "more than one patch was accepted as this version"
            yield Violation(RULE, f"version {version}", reason, outcomes)


def wrong_outcomes(history, stored):
    """Yield accepted patches that are not stored, and stale ones that are."""
    submitted = {patch.patch_id: patch for patch in history.of_type(PatchSubmitted)}
    stored_by_id = {patch.patch_id: patch for patch in stored.values()}
    for outcome in history.of_type(PatchOutcome):
        patch = submitted.get(outcome.patch_id)
        row = stored.get(outcome.version)
        lost = outcome.outcome == ACCEPTED and (
            row is None
            or row.patch_id != outcome.patch_id
            or (patch is not None and row.base != patch.base)
        )
        denied = outcome.outcome == STALE and outcome.patch_id in stored_by_id
        if lost or denied:
            reason = (
                "accepted, but not stored as this version on its base"
                if lost
                else "rejected as stale, but stored"
            )
            records = [patch, outcome, row, stored_by_id.get(outcome.patch_id)]
            trace = ordered_trace(one for one in records if one is not None)
            yield Violation(RULE, outcome.patch_id, reason, trace)


def wrong_rows(history, stored):
    """Yield missing versions, and those not based on the one before."""
    for version in range(1, max(stored, default=0) + 1):
        row = stored.get(version)
        if row is None or row.base != version - 1:
            reason = (
                "no patch is stored for this version"
                if row is None
                else f"based on version {row.base}, not {version - 1}"
            )
            yield Violation(RULE, f"version {version}", reason, [row] if row else [])


def wrong_documents(history, stored):
    """Yield daemons whose values differ from the patches applied in order."""
    expected = replay(stored)
    for document in history.of_type(Document):
        if (
            document.version in expected
            and document.values != expected[document.version]
        ):
            reason = f"version {document.version} differs from its patches in order"
            trace = [stored[document.version], document]
            yield Violation(RULE, document.daemon, reason, ordered_trace(trace))


def replay(stored):
    """Return the values of each version, computed from the patches."""
    values = {0: {}}
    for version in sorted(stored):
        if version - 1 in values:
            values[version] = merged(values[version - 1], stored[version].changes)
    return values


def merged(target, patch):
    """Return the result of a JSON merge patch.

    This does not use the system's own implementation, which is under test.
    """
    if not isinstance(patch, dict):
        return patch
    base = target if isinstance(target, dict) else {}
    names = (base.keys() | patch.keys()) - {n for n, v in patch.items() if v is None}
    return {
        name: merged(base.get(name), patch[name]) if name in patch else base[name]
        for name in names
    }
