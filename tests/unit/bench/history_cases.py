"""Histories that violate exactly one rule, and similar ones that are valid."""

from papayabay_bench.history.limits import Limits
from papayabay_bench.history.records import (
    Answered,
    Arrival,
    Document,
    Effect,
    Fault,
    Invocation,
    PatchOutcome,
    PatchStored,
    PatchSubmitted,
    Sample,
)

LIMITS = Limits(retries=2)


def sent(attempt, time=0.0, key="", entry="e-0"):
    path = "/orders/1"
    return Invocation(attempt, "r", key, entry, "orders", "POST", path, 0, time)


def answered(attempt, outcome="good", kind="", effect="run", time=1.0, status=503):
    status = 200 if outcome == "good" else status
    return Answered(attempt, outcome, status, kind, effect, time)


def arrived(
    attempt, nonce="r", end="answered", time=0.5, target="t-0", path="/orders/1"
):
    return Arrival(target, "orders", attempt, nonce, path, end, 200, time, time + 0.1)


def effect(attempt, key="k", path="/orders/1", service="orders", time=0.6):
    return Effect("t-0", service, attempt, key, path, time)


def sample(version=1, inversions=0, idle=0, time=0.0, daemon="d-0", life=1):
    return Sample(daemon, life, version, inversions, idle, time, time + 0.01)


def fault(kind, subject, phase, time):
    return Fault(kind, subject, phase, time)


def stored(version, patch_id, changes=None, base=None):
    base = version - 1 if base is None else base
    return PatchStored(version, patch_id, base, changes or {}, 9.0)


def accepted(patch_id, version, time=1.0):
    return PatchOutcome(patch_id, "accepted", version, time)


VIOLATING = {
    "answers": {
        "misdelivered to a caller": [sent("a"), answered("a", "wrong")],
        "misdelivered to a target": [sent("a"), arrived("a", end="crossed")],
    },
    "at-most-once": {
        "in two attempts with the same key": [effect("a"), effect("b", time=0.8)],
        "twice in one attempt": [effect("a"), effect("a", time=0.8)],
        "twice in one attempt without a key": [
            effect("a", key=""),
            effect("a", key="", time=2.0),
        ],
    },
    "not-run": {
        "performed an effect": [
            sent("a"),
            answered("a", "error", "overloaded", "not-run"),
            effect("a"),
        ],
        "failed work without an effect": [
            sent("a"),
            arrived("a", end="failed"),
            answered("a", "error", "overloaded", "not-run"),
        ],
        "undone, but its outgoing call was run": [
            sent("a"),
            arrived("a", end="undone"),
            arrived("a", nonce="x.0"),
            answered("a", "error", "refused-below", "not-run"),
        ],
        "effect after the answer": [
            sent("a"),
            answered("a", "error", "leaving", "not-run"),
            effect("a", time=5.0),
        ],
    },
    "retries": {
        "at one hop": [sent("a"), *(arrived("a", time=n / 10) for n in range(4))],
        "summed over two hops": [
            sent("a"),
            *(arrived("a", nonce="r", time=n / 10) for n in range(2)),
            *(arrived("a", nonce="x.0", time=n / 10) for n in range(3)),
        ],
        "shed attempts are counted": [
            sent("a"),
            *(arrived("a", end="shed", time=n / 10) for n in range(4)),
        ],
    },
    "class-order": {
        "slot given to a call before a more important one": [
            sample(time=0.0),
            sample(inversions=1, time=0.1),
            sample(inversions=1, time=0.2),
        ],
        "in the first sample of a process": [sample(inversions=2, time=0.0)],
    },
    "idle-refusal": {
        "refused beside a free slot": [
            sample(time=0.0),
            sample(idle=1, time=0.1),
            sample(idle=3, time=0.2),
        ],
    },
    "versions": {
        "decrease": [sample(2, time=0.0), sample(1, time=0.1)],
        "late": [
            sample(0, time=0.0),
            accepted("p", 1, 1.0),
            stored(1, "p"),
            sample(0, time=7.5),
        ],
        "late after a pause": [
            sample(0, time=0.0),
            accepted("p", 1, 1.0),
            stored(1, "p"),
            fault("pause", "d-0", "begin", 1.0),
            fault("pause", "d-0", "end", 3.0),
            sample(0, time=9.5),
        ],
    },
    "configuration": {
        "two patches accepted as one version": [
            accepted("p", 1),
            accepted("q", 1),
            stored(1, "p"),
        ],
        "accepted but not stored": [accepted("p", 1)],
        "another patch stored as the version": [accepted("p", 1), stored(1, "q")],
        "accepted on a newer base": [
            PatchSubmitted("p", 0, "o", 0.0),
            accepted("p", 2),
            stored(1, "q"),
            stored(2, "p"),
        ],
        "rejected as stale but stored": [
            PatchOutcome("p", "stale", 2, 1.0),
            stored(1, "p"),
        ],
        "missing version": [stored(2, "p")],
        "not based on the version before": [stored(1, "p"), stored(2, "q", base=0)],
        "values differ from the patches": [
            stored(1, "p", {"a": {"b": 1, "c": 2}}),
            stored(2, "q", {"a": {"b": None}}),
            Document("d-0", 2, {"a": {"b": 1, "c": 2}}, 9.5),
        ],
    },
    "leaving": {
        "withdrawn target": [
            fault("leave", "t-0", "begin", 1.0),
            sent("a", time=3.0),
            arrived("a", time=3.1),
        ],
        "drained daemon's target": [
            fault("drain", "t-0", "begin", 1.0),
            sent("a", time=3.0),
            arrived("a", time=3.1),
        ],
    },
    "lifetimes": {
        "run after its deadline": [sent("a"), arrived("a", time=1.5)],
        "paused daemon is not the entry": [
            fault("pause", "d-9", "begin", 0.0),
            sent("a"),
            arrived("a", time=1.5),
        ],
    },
    "draining": {
        "connection broken": [
            fault("drain", "e-0", "begin", 0.5),
            sent("a", time=0.4),
            answered("a", "cut", effect=""),
        ],
        "link lost": [
            fault("drain", "t-0", "begin", 0.5),
            sent("a", time=0.4),
            answered("a", "error", "link-lost", "unknown"),
        ],
    },
    "asked": {
        "without a client's request": [arrived("a")],
        "with another path": [sent("a"), arrived("a", path="/orders/2")],
    },
    "denied": {
        "existing service rejected as unknown": [
            sent("a"),
            answered("a", "error", "unknown-service", "not-run", status=404),
        ],
    },
    "gone": {
        "run after the client's time-out": [
            sent("a"),
            answered("a", "timed-out", effect="", time=0.2),
            arrived("a", time=0.8),
        ],
    },
}
"""Histories that violate exactly one rule, by rule and by description."""

VALID = {
    "answers belong to their calls": [sent("a"), arrived("a"), answered("a")],
    "one effect at each of two services": [
        effect("a"),
        effect("a", service="stock", path="/reserve"),
    ],
    "two keys": [effect("a", key="k"), effect("b", key="l")],
    "retry refused after the first attempt ran": [
        sent("a", key="k"),
        effect("a"),
        sent("b", key="k", time=2.0),
        answered("b", "error", "store-unavailable", "not-run", 2.1),
    ],
    "shed by the target": [
        sent("a"),
        arrived("a", end="shed"),
        answered("a", "error", "target-shed", "not-run"),
    ],
    "undone, since its outgoing call was refused": [
        sent("a"),
        arrived("a", end="undone"),
        answered("a", "error", "refused-below", "not-run"),
    ],
    "outcome unknown after an effect": [
        sent("a"),
        effect("a"),
        answered("a", "error", "expired", "unknown"),
    ],
    "as many retries as allowed": [
        sent("a"),
        *(arrived("a", time=n / 10) for n in range(3)),
    ],
    "several outgoing calls are no retries": [
        sent("a"),
        *(arrived("a", nonce=f"x.{n}") for n in range(9)),
    ],
    "version reset by a restart": [
        sample(5, time=0.0),
        sample(0, time=1.0, life=2),
        sample(5, time=1.1, life=2),
    ],
    "in force just within the limit": [
        sample(1, time=0.0),
        accepted("p", 1, 1.0),
        stored(1, "p"),
        sample(1, time=6.9),
    ],
    "late, but paused in between": [
        sample(0, time=0.0),
        accepted("p", 1, 1.0),
        stored(1, "p"),
        fault("pause", "d-0", "begin", 2.0),
        fault("pause", "d-0", "end", 8.0),
        sample(0, time=8.1),
    ],
    "one patch accepted and one stale": [
        accepted("p", 1),
        PatchOutcome("q", "stale", 1, 1.0),
        PatchOutcome("u", "unknown", 0, 1.0),
        stored(1, "p", {"a": {"b": 1}}),
        Document("d-0", 1, {"a": {"b": 1}}, 9.5),
    ],
    "unknown at first, then settled as accepted": [
        PatchOutcome("p", "unknown", 0, 1.0),
        accepted("p", 1, 2.0),
        stored(1, "p"),
    ],
    "work within two seconds of leaving": [
        fault("leave", "t-0", "begin", 1.0),
        sent("a", time=2.8),
        arrived("a", time=2.9),
    ],
    "work after the target announced itself again": [
        fault("leave", "t-0", "begin", 1.0),
        fault("leave", "t-0", "end", 4.0),
        sent("a", time=4.0),
        arrived("a", time=4.1),
    ],
    "unread at a paused entry": [
        fault("pause", "e-0", "begin", 0.0),
        sent("a", time=0.1),
        fault("pause", "e-0", "end", 2.0),
        arrived("a", time=2.1),
    ],
    "refused while draining": [
        fault("drain", "e-0", "begin", 0.5),
        sent("a", time=0.6),
        answered("a", "unconnected", effect=""),
        sent("b", time=0.6),
        answered("b", "error", "leaving", "not-run"),
    ],
    "interrupted by a kill during a drain": [
        fault("kill", "t-1", "begin", 0.2),
        fault("kill", "t-1", "end", 0.3),
        fault("drain", "t-0", "begin", 0.5),
        sent("a", time=0.4),
        answered("a", "error", "link-lost", "unknown"),
    ],
    "run just after the client's time-out": [
        sent("a"),
        answered("a", "timed-out", effect="", time=0.2),
        arrived("a", time=0.6),
    ],
    "run after the time-out of a request with a key": [
        sent("a", key="k"),
        answered("a", "timed-out", effect="", time=0.2),
        arrived("a", time=0.8),
    ],
    "retryable rejection and key conflict": [
        sent("a"),
        answered("a", "error", "retries-spent", "not-run", status=429),
        sent("b"),
        answered("b", "error", "key-conflict", "not-run", status=422),
    ],
    "rejected by the target itself": [sent("a"), answered("a", "error", status=404)],
}
"""Histories that violate no rule, though they resemble those above."""
