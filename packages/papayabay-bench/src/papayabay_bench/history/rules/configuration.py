"""Exactly one patch wins each version, and none is lost or merged."""

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
    """Yield lost, doubled, denied and merged patches."""
    stored = {patch.version: patch for patch in history.of_type(PatchStored)}
    yield from two_winners(history)
    yield from wrong_outcomes(history, stored)
    yield from wrong_rows(history, stored)
    yield from wrong_documents(history, stored)


def two_winners(history):
    """Yield the versions that two patches were told to have made."""
    winners = defaultdict(list)
    for outcome in history.of_type(PatchOutcome):
        if outcome.outcome == ACCEPTED:
            winners[outcome.version].append(outcome)
    for version, outcomes in winners.items():
        if len({outcome.patch_id for outcome in outcomes}) > 1:
            reason = "several patches were accepted as this version"
            yield Violation(RULE, f"version {version}", reason, outcomes)


def wrong_outcomes(history, stored):
    """Yield accepted patches that are not stored, and stale ones that are."""
    submitted = {patch.patch_id: patch for patch in history.of_type(PatchSubmitted)}
    held = {patch.patch_id: patch for patch in stored.values()}
    for outcome in history.of_type(PatchOutcome):
        patch = submitted.get(outcome.patch_id)
        row = stored.get(outcome.version)
        lost = outcome.outcome == ACCEPTED and (
            row is None
            or row.patch_id != outcome.patch_id
            or (patch is not None and row.base != patch.base)
        )
        denied = outcome.outcome == STALE and outcome.patch_id in held
        if lost or denied:
            reason = "accepted but not stored" if lost else "called stale but stored"
            records = [patch, outcome, row, held.get(outcome.patch_id)]
            trace = ordered_trace(one for one in records if one is not None)
            yield Violation(RULE, outcome.patch_id, reason, trace)


def wrong_rows(history, stored):
    """Yield versions without a row, or not written against the one before."""
    for version in range(1, max(stored, default=0) + 1):
        row = stored.get(version)
        if row is None or row.base != version - 1:
            reason = "no row" if row is None else f"written against {row.base}"
            yield Violation(RULE, f"version {version}", reason, [row] if row else [])


def wrong_documents(history, stored):
    """Yield daemons whose values aren't the patches applied in order."""
    made = replay(stored)
    for document in history.of_type(Document):
        if document.version in made and document.values != made[document.version]:
            reason = f"version {document.version} isn't its patches applied in order"
            trace = [stored[document.version], document]
            yield Violation(RULE, document.daemon, reason, ordered_trace(trace))


def replay(stored):
    """Return the values of each version, made anew from its patches."""
    made = {0: {}}
    for version in sorted(stored):
        if version - 1 in made:
            made[version] = merged(made[version - 1], stored[version].changes)
    return made


def merged(target, patch):
    """Apply a JSON merge patch; on purpose not the code under test."""
    if not isinstance(patch, dict):
        return patch
    base = target if isinstance(target, dict) else {}
    names = (base.keys() | patch.keys()) - {n for n, v in patch.items() if v is None}
    return {
        name: merged(base.get(name), patch[name]) if name in patch else base[name]
        for name in names
    }
